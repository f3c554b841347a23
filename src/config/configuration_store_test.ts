import fc from "fast-check";
import { PlatformFailure } from "../store/key_value.ts";
import { MemoryKeyValue } from "../store/testing/memory_key_value.ts";
import { type Change, EMPTY_CONFIGURATION } from "./configuration.ts";
import { decodeLogItem } from "./configuration_codec.ts";
import { applyEntry, getEntryKey, LOG_PREFIX } from "./configuration_log.ts";
import {
  type ConfigurationStoreOptions,
  createConfigurationStore,
} from "./configuration_store.ts";
import { checkManifest } from "./manifest_check.ts";

function createManifestChange(names: string[]): Change {
  const manifest = checkManifest({
    failureDomains: names.map((name) => ({ name })),
    services: [{
      name: "desk",
      kind: "plain",
      routes: [{ method: "GET", path: "/desk", idempotent: true }],
      upstreams: [{
        name: "up",
        host: "host-1",
        failureDomain: names[0],
        address: "127.0.0.1:1",
        hardLimit: 2,
        coldLimit: 1,
      }],
    }],
    workspaces: [{ name: "one", key: "secret-key-1" }],
  }).unwrap();
  return { kind: "manifest", manifest };
}

function createDomainChange(name: string, state: "in" | "out"): Change {
  return { kind: "failure-domain", name, state };
}

function createStore(
  keyValue: MemoryKeyValue,
  options: Partial<ConfigurationStoreOptions> = {},
) {
  let ids = 0;
  return createConfigurationStore({
    keyValue,
    retryDelayMs: 0,
    getTime: () => 1,
    createId: () => `${keyValue.calls.length}-${ids++}`,
    ...options,
  });
}

const MANIFEST_AB = createManifestChange(["a", "b"]);
const ANSWER_LOST = new PlatformFailure("unknown", "the response was lost");
const UNAVAILABLE = new PlatformFailure("unavailable", "down");

test("of two manifests with one base, the second conflicts with the first", async () => {
  const keyValue = new MemoryKeyValue();
  const results = await Promise.all(
    ["ada", "ben"].map((author) =>
      createStore(keyValue).commit(author, MANIFEST_AB, { basedOn: 0 })
    ),
  );
  expect(results.map(({ ok }) => ok).sort()).toEqual([false, true]);
  const winner = results.find(({ ok }) => ok)!.val;
  expect(results.find(({ err }) => err)!.val)
    .toEqual({ kind: "conflict", winner, version: 1 });
  const ahead = await createStore(keyValue).commit("c", MANIFEST_AB, {
    basedOn: 2,
  });
  expect(ahead.val).toEqual({ kind: "ahead", version: 1 });
});

test("independent changes are committed on an old base, dependent ones conflict", async () => {
  const store = createStore(new MemoryKeyValue());
  const none = await store.commit("a", createDomainChange("a", "out"), {
    basedOn: 0,
  });
  expect(none.val)
    .toEqual({ kind: "refused", refusal: { kind: "no-manifest" } });
  await store.commit("ada", MANIFEST_AB, { basedOn: 0 });
  const out = await store.commit("ben", createDomainChange("b", "out"), {
    basedOn: 0,
  });
  expect(out.unwrap().version).toBe(2);
  const back = await store.commit("cy", createDomainChange("b", "in"), {
    basedOn: 1,
  });
  expect(back.val).toMatchObject({ kind: "conflict", winner: out.val });
  const host: Change = { kind: "host", name: "host-1", state: "out" };
  await store.commit("cy", host, { basedOn: 1 });
  const manifestWithoutA = createManifestChange(["b"]);
  expect((await store.commit("ada", manifestWithoutA, { basedOn: 2 })).val)
    .toMatchObject({ kind: "conflict", winner: { change: host } });
  const last = await store.commit("ada", manifestWithoutA, { basedOn: 3 });
  const removedDomain = createDomainChange("a", "out");
  expect((await store.commit("ben", removedDomain, { basedOn: 3 })).val)
    .toMatchObject({ kind: "conflict", winner: last.val });
  expect((await store.commit("ben", removedDomain, { basedOn: 4 })).val)
    .toMatchObject({ kind: "refused", refusal: { name: "a" } });
  expect((await store.read(EMPTY_CONFIGURATION)).unwrap()).toMatchObject({
    version: 4,
    failureDomainsOut: ["b"],
    hostsOut: ["host-1"],
  });
  const history = (await store.history(2)).unwrap();
  expect(history.map(({ version }) => version)).toEqual([4, 3]);
});

test("a commit with a lost response is resolved by the entry's id", async () => {
  const keyValue = new MemoryKeyValue();
  const store = createStore(keyValue);
  let remainingLosses = 1;
  const failOnce = () => remainingLosses-- > 0 ? ANSWER_LOST : undefined;
  keyValue.faults.after = ({ operation }) =>
    operation === "create" ? failOnce() : undefined;
  expect((await store.commit("ada", MANIFEST_AB, { basedOn: 0 })).ok).toBe(
    true,
  );

  remainingLosses = 1;
  keyValue.faults.after = undefined;
  keyValue.faults.before = ({ operation }) =>
    operation === "create" ? failOnce() : undefined;
  const out = await store.commit("ada", createDomainChange("a", "out"), {
    basedOn: 1,
  });
  expect(out.unwrap().version).toBe(2);

  keyValue.faults.before = ({ operation }) =>
    operation === "create" ? UNAVAILABLE : undefined;
  expect((await store.commit("ada", MANIFEST_AB, { basedOn: 2 })).val)
    .toMatchObject({ kind: "unavailable" });

  let isUnavailable = false;
  keyValue.faults.before = () => isUnavailable ? UNAVAILABLE : undefined;
  keyValue.faults.after = ({ operation }) => {
    isUnavailable = operation === "create";
    return isUnavailable ? ANSWER_LOST : undefined;
  };
  const unknown = (await store.commit("ada", MANIFEST_AB, { basedOn: 2 })).val;
  expect(unknown).toMatchObject({ kind: "outcome-unknown", version: 3 });
  keyValue.faults.before = keyValue.faults.after = undefined;
  const [newest] = (await store.history(1)).unwrap();
  expect(newest).toMatchObject({ id: (unknown as { id: string }).id });
});

test("old entries are replaced by markers, and snapshots cover them", async () => {
  const keyValue = new MemoryKeyValue();
  const options = { snapshotInterval: 4, historyLimit: 6 };
  const store = createStore(keyValue, options);
  const first = (await store.commit("ada", MANIFEST_AB, { basedOn: 0 }))
    .unwrap();
  for (let version = 1; version < 30; version++) {
    const change = createDomainChange("a", version % 2 === 0 ? "in" : "out");
    (await store.commit("ada", change, { basedOn: version })).unwrap();
  }
  const items = (await keyValue.list(LOG_PREFIX)).unwrap().items
    .map(({ value }) => decodeLogItem(value).unwrap().kind);
  expect(items.lastIndexOf("compacted")).toBe(28 - 6 - 1);
  expect(items).toHaveLength(30);

  const head = (await store.read(EMPTY_CONFIGURATION)).unwrap();
  expect(head).toMatchObject({ version: 30, failureDomainsOut: ["a"] });
  const firstConfiguration = applyEntry(EMPTY_CONFIGURATION, first);
  for (const after of [EMPTY_CONFIGURATION, firstConfiguration]) {
    const read = await createStore(keyValue, options).read(after);
    expect(read.val).toEqual(head);
  }
  const staleCommit = await store.commit("ben", MANIFEST_AB, { basedOn: 1 });
  expect(staleCommit.val)
    .toEqual({ kind: "conflict", winner: undefined, version: 30 });
  const delayed = await keyValue.create(getEntryKey(2), "delayed");
  expect(delayed.val).toMatchObject({ kind: "conflict" });
  expect((await store.history(100)).unwrap()).toHaveLength(30 - 22);
  const chunks = await keyValue.list("config/snapshot/");
  expect(chunks.unwrap().items).toHaveLength(3);
});

test("a compaction interrupted at any call leaves the log readable", async () => {
  for (let successfulCalls = 0; successfulCalls < 40; successfulCalls++) {
    const keyValue = new MemoryKeyValue();
    const options = { snapshotInterval: 2, historyLimit: 2 };
    const store = createStore(keyValue, options);
    (await store.commit("ada", MANIFEST_AB, { basedOn: 0 })).unwrap();
    for (let version = 1; version < 12; version++) {
      let calls = 0;
      let isCompacting = false;
      keyValue.faults.before = ({ key }) => {
        isCompacting ||= key.startsWith("config/snapshot/");
        return isCompacting && calls++ >= successfulCalls
          ? UNAVAILABLE
          : undefined;
      };
      const change = createDomainChange("a", version % 2 === 0 ? "in" : "out");
      (await store.commit("ada", change, { basedOn: version })).unwrap();
      keyValue.faults.before = undefined;
    }
    const read = await createStore(keyValue, options).read(EMPTY_CONFIGURATION);
    expect(read.unwrap())
      .toMatchObject({ version: 12, failureDomainsOut: ["a"] });
  }
});

test("under races and faults, each commit has the effect that it reports", async () => {
  const step = fc.record({
    change: fc.constantFrom(
      MANIFEST_AB,
      createDomainChange("a", "out"),
      createDomainChange("a", "in"),
      createDomainChange("b", "out"),
    ),
    isStale: fc.boolean(),
  });
  const fault = fc.constantFrom(0, 0, 0, 0, 0, 0, 1, 2, 3);
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { maxLength: 40 }),
      fc.array(fault, { minLength: 97, maxLength: 97 }),
      async (steps, faults) => {
        const keyValue = new MemoryKeyValue();
        let next = 0;
        const nextFault = () => faults[next++ % faults.length]!;
        keyValue.faults.before = () =>
          [undefined, UNAVAILABLE, ANSWER_LOST][nextFault()] ?? undefined;
        keyValue.faults.after = () =>
          nextFault() === 3 ? ANSWER_LOST : undefined;
        const outcomes = new Map<string, string>();
        let ids = 0;
        const runAuthor = async (author: number) => {
          let id = "";
          const store = createStore(keyValue, {
            snapshotInterval: 3,
            historyLimit: 1_000,
            createId: () => id = `${author}-${ids++}`,
          });
          let seen = EMPTY_CONFIGURATION;
          for (const { change, isStale } of steps) {
            const read = await store.read(seen);
            if (read.ok && !isStale) {
              expect(read.val.version).toBeGreaterThanOrEqual(seen.version);
              seen = read.val;
            }
            const result = await store.commit(`${author}`, change, {
              basedOn: seen.version,
            });
            outcomes.set(id, result.ok ? "committed" : result.val.kind);
          }
        };
        await Promise.all([0, 1, 2].map(runAuthor));
        keyValue.faults.before = keyValue.faults.after = undefined;
        const log = (await createStore(keyValue).history(1_000)).unwrap();
        const storedIds = log.map((entry) => entry.id);
        expect(new Set(storedIds).size).toBe(storedIds.length);
        for (const [id, outcome] of outcomes) {
          if (outcome === "outcome-unknown") continue;
          expect([id, outcome, storedIds.includes(id)])
            .toEqual([id, outcome, outcome === "committed"]);
        }
        const replayed = log.reverse().reduce(applyEntry, EMPTY_CONFIGURATION);
        const read = await createStore(keyValue).read(EMPTY_CONFIGURATION);
        expect(read.val).toEqual(replayed);
      },
    ),
    { seed: 1, numRuns: 60 },
  );
});
