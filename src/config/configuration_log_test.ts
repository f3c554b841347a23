import { Buffer } from "node:buffer";
import fc from "fast-check";
import {
  type Change,
  EMPTY_CONFIGURATION,
  type Entry,
} from "./configuration.ts";
import {
  decodeConfiguration,
  decodeEntry,
  decodeLogItem,
  encodeCompactionMarker,
  encodeConfiguration,
  encodeEntry,
} from "./configuration_codec.ts";
import { applyEntry, getEntryKey } from "./configuration_log.ts";
import { createSnapshot, readSnapshot } from "./configuration_snapshot.ts";
import { checkManifest } from "./manifest_check.ts";

function createManifest(names: string[]) {
  return checkManifest({
    failureDomains: names.map((name) => ({ name })),
    services: [{
      name: "desk",
      kind: "plain",
      routes: [{ method: "GET", path: "/täglich", idempotent: true }],
      upstreams: names.map((name, index) => ({
        name,
        host: `host-${name}`,
        failureDomain: name,
        address: `127.0.0.1:${index + 1}`,
        hardLimit: 2,
        coldLimit: 1,
      })),
    }],
    workspaces: [{ name: "one", key: "sécret-🏺-key" }],
  }).unwrap();
}

function createEntry(version: number, change: Change): Entry {
  return { version, id: `id-${version}`, author: "author", at: 1, change };
}

const MANIFEST: Change = {
  kind: "manifest",
  manifest: createManifest(["a", "b"]),
};

function applyChanges(changes: readonly Change[]) {
  return changes.reduce(
    (state, change) =>
      applyEntry(state, createEntry(state.version + 1, change)),
    EMPTY_CONFIGURATION,
  );
}

test("entries apply in order; a manifest keeps the out state of names it contains", () => {
  const router = {
    name: "r1",
    failureDomain: "a",
    controlAddress: "127.0.0.1:1",
    forwardAddress: "127.0.0.1:2",
  };
  const changes: Change[] = [
    MANIFEST,
    { kind: "failure-domain", name: "b", state: "out" },
    { kind: "failure-domain", name: "a", state: "out" },
    { kind: "host", name: "host-a", state: "out" },
    { kind: "host", name: "host-b", state: "out" },
    { kind: "host", name: "host-b", state: "out" },
    { kind: "failure-domain", name: "a", state: "in" },
    { kind: "routers", routers: [router] },
    { kind: "manifest", manifest: createManifest(["b", "c"]) },
  ];
  expect(applyChanges(changes.slice(0, 8))).toMatchObject({
    version: 8,
    failureDomainsOut: ["b"],
    hostsOut: ["host-a", "host-b"],
    routers: [router],
    routersVersion: 8,
    routersReplaced: 0,
  });
  expect(applyChanges(changes)).toMatchObject({
    failureDomainsOut: ["b"],
    hostsOut: ["host-b"],
    routersVersion: 8,
  });
});

test("an entry other than the next one breaches the invariant", () => {
  const version2 = applyChanges([MANIFEST, MANIFEST]);
  for (const version of [1, 2, 4]) {
    expect(() => applyEntry(version2, createEntry(version, MANIFEST)))
      .toThrow(`configuration-order: entry ${version} does not follow 2`);
  }
});

test("encoded values decode to the original, and invalid text is rejected", () => {
  const entry = createEntry(7, MANIFEST);
  expect(getEntryKey(7)).toBe("config/log/000000000007");
  expect(decodeEntry(encodeEntry(entry)).val).toEqual(entry);
  expect(decodeLogItem(encodeCompactionMarker(7)).val)
    .toEqual({ kind: "compacted", version: 7 });
  expect(decodeConfiguration(encodeConfiguration(EMPTY_CONFIGURATION)).val)
    .toEqual(EMPTY_CONFIGURATION);
  const invalidTexts = [
    "{",
    "{}",
    encodeCompactionMarker(7),
    encodeEntry({ ...entry, version: 0 }),
    encodeEntry({ ...entry, change: { kind: "other" } as unknown as Change }),
    encodeEntry({
      ...entry,
      change: { kind: "manifest", manifest: {} } as unknown as Change,
    }),
  ];
  for (const text of invalidTexts) {
    expect(decodeEntry(text).val).toMatchObject({ kind: "unreadable" });
  }
});

test("a snapshot of any chunk size is readable only if complete and intact", () => {
  const configuration = applyChanges([MANIFEST]);
  fc.assert(
    fc.property(fc.integer({ min: 50, max: 2_000 }), (chunkBytes) => {
      const { head, chunks } = createSnapshot(configuration, { chunkBytes });
      for (const { value } of chunks) {
        expect(Buffer.byteLength(value)).toBeLessThanOrEqual(chunkBytes);
      }
      expect(readSnapshot(head, chunks).val).toEqual(configuration);
      expect(readSnapshot(head, chunks.slice(1)).err).toBe(true);
      expect(readSnapshot({ ...head, digest: "" }, chunks).err).toBe(true);
    }),
    { seed: 1, numRuns: 50 },
  );
});
