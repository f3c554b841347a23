import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createKeyValueServer,
  type KeyValueServer,
} from "../../testing/kv_server.ts";
import { createRelay } from "../../testing/relay.ts";
import { createEtcdKeyValue } from "./etcd_key_value.ts";
import type { KeyValue, WatchEvent } from "./key_value.ts";

const PROGRESS_INTERVAL_MS = 20;
const SILENCE_MS = 50 * PROGRESS_INTERVAL_MS;
const POLL_DELAY_MS = 5;
const MAX_POLLS = 1_000;

let server: KeyValueServer;
let kv: KeyValue;

beforeEach(async () => {
  server = await createKeyValueServer({ progressMs: PROGRESS_INTERVAL_MS });
  kv = createEtcdKeyValue({ address: server.address });
});

afterEach(async () => {
  await kv.close();
  await server.close();
});

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let i = 0; i < MAX_POLLS && !condition(); i++) {
    await sleep(POLL_DELAY_MS);
  }
  expect(condition()).toBe(true);
}

function collectEvents(prefix: string, options = {}): WatchEvent[] {
  const events: WatchEvent[] = [];
  kv.watch(prefix, (event) => events.push(event), options);
  return events;
}

test("a conditional write returns its revision or the current item", async () => {
  const written = (await kv.create("a/é", "1")).unwrap();
  expect(written).toEqual({ kind: "written", revision: 2 });
  const current = { key: "a/é", value: "1", revision: 2 };
  const conflict = { kind: "conflict", current };
  expect((await kv.create("a/é", "2")).val).toEqual(conflict);
  expect((await kv.replace("a/é", "2", { revision: 1 })).val)
    .toEqual(conflict);
  expect((await kv.remove("a/é", 1)).val).toEqual(conflict);
  expect((await kv.replace("a/é", "2", { revision: 2 })).val)
    .toEqual({ kind: "written", revision: 3 });
  expect((await kv.remove("a/é", 3)).val)
    .toEqual({ kind: "written", revision: 4 });
  expect((await kv.remove("a/é", 3)).val)
    .toEqual({ kind: "conflict", current: undefined });
  expect((await kv.get("a/é")).unwrap()).toBeUndefined();
});

test("a list respects its prefix, start key and limit", async () => {
  for (const key of ["a/1", "a/2", "a/3", "a0", "b"]) await kv.create(key, "");
  const listKeys = async (prefix: string, options = {}) =>
    (await kv.list(prefix, options)).unwrap().items.map((item) => item.key);
  expect(await listKeys("a/")).toEqual(["a/1", "a/2", "a/3"]);
  expect(await listKeys("a/", { from: "a/2", limit: 1 })).toEqual(["a/2"]);
  expect(await listKeys("")).toHaveLength(5);
});

test("revoking a lease deletes its keys", async () => {
  const lease = (await kv.grantLease(60)).unwrap();
  await kv.create("k", "v", { lease });
  expect((await kv.renewLease(lease)).unwrap()).toBe(60);
  expect((await kv.revokeLease(lease)).ok).toBe(true);
  expect((await kv.get("k")).unwrap()).toBeUndefined();
  expect((await kv.renewLease(lease)).unwrap()).toBe(0);
  expect((await kv.revokeLease(lease)).val).toMatchObject({ kind: "refused" });
});

test("a write that took effect is unknown if its response is lost", async () => {
  server.setFaults({ loseNext: 1 });
  expect((await kv.create("k", "v")).val).toMatchObject({ kind: "unknown" });
  expect((await kv.get("k")).unwrap()).toMatchObject({ value: "v" });
});

test("a write that times out is unknown, and a read is unavailable", async () => {
  const shortTimeoutClient = createEtcdKeyValue({
    address: server.address,
    timeoutMs: 20,
  });
  server.setFaults({ delayMs: 200 });
  expect((await shortTimeoutClient.get("k")).val).toMatchObject({
    kind: "unavailable",
  });
  expect((await shortTimeoutClient.create("k", "v")).val).toMatchObject({
    kind: "unknown",
  });
  await waitUntil(() => server.store.range({ key: "k" }).length === 1);
  await shortTimeoutClient.close();
});

test("reads, writes and watches fail while the service is down", async () => {
  const events = collectEvents("");
  await waitUntil(() => server.getStats().watches === 1);
  server.setFaults({ down: true });
  expect((await kv.get("k")).val).toMatchObject({ kind: "unavailable" });
  expect((await kv.create("k", "v")).val).toMatchObject({ kind: "unknown" });
  await waitUntil(() => events.length === 1);
  expect(events).toMatchObject([{
    kind: "closed",
    failure: { kind: "unavailable" },
  }]);
});

test("a write is unavailable if the connection is refused", async () => {
  const unused: Server = createServer();
  await new Promise<void>((resolve) => unused.listen(0, "127.0.0.1", resolve));
  const { port } = unused.address() as { port: number };
  await new Promise((resolve) => unused.close(resolve));
  const client = createEtcdKeyValue({ address: `127.0.0.1:${port}` });
  expect((await client.create("k", "v")).val)
    .toMatchObject({ kind: "unavailable" });
  await client.close();
});

test("a connection that goes silent fails only one call", async () => {
  const relay = await createRelay({ target: server.address });
  const client = createEtcdKeyValue({
    address: relay.address,
    timeoutMs: 100,
  });
  await client.create("k", "v");
  // The pool releases a connection shortly after its response has ended.
  await sleep(POLL_DELAY_MS);
  await relay.setFaults({ silence: true });
  expect((await client.get("k")).val).toMatchObject({ kind: "unavailable" });
  expect((await client.get("k")).val).toMatchObject({ value: "v" });
  await client.close();
  await relay.close();
});

test("calls over the rate limit are refused", async () => {
  const limited = await createKeyValueServer({ readsPerSecond: 0.001 });
  const client = createEtcdKeyValue({ address: limited.address });
  expect((await client.get("k")).ok).toBe(true);
  expect((await client.get("k")).val).toMatchObject({ kind: "refused" });
  await client.close();
  await limited.close();
});

test("a watch replays changes from a revision and then reports new ones", async () => {
  await kv.create("a/1", "1");
  await kv.create("b/1", "1");
  await kv.remove("a/1", 2);
  const events = collectEvents("a/", { fromRevision: 2 });
  await waitUntil(() => events.length === 2);
  await kv.create("a/2", "2");
  await waitUntil(() => events.length === 3);
  expect(events).toEqual([
    { kind: "put", item: { key: "a/1", value: "1", revision: 2 } },
    { kind: "delete", key: "a/1" },
    { kind: "put", item: { key: "a/2", value: "2", revision: 5 } },
  ]);
});

test("a watch whose connection goes silent closes once; an idle one stays open", async () => {
  const silent = collectEvents("", { silenceMs: SILENCE_MS });
  await waitUntil(() => server.getStats().watches === 1);
  server.setFaults({ silentWatches: true });
  const idle = collectEvents("", { silenceMs: SILENCE_MS });
  await waitUntil(() => silent.length > 0);
  await sleep(SILENCE_MS);
  expect(silent.map((event) => event.kind)).toEqual(["closed"]);
  await kv.create("k", "v");
  await waitUntil(() => idle.length > 0);
  expect(idle.map((event) => event.kind)).toEqual(["put"]);
});

// Guards against a line without end that fills the heap before it is refused.
test("a watch whose line is longer than an answer may be closes", async () => {
  const endless = createHttpServer((_request, response) => {
    response.write(Buffer.alloc(20_000_000, "a"));
  });
  await once(endless.listen(0, "127.0.0.1"), "listening");
  const { port } = endless.address() as AddressInfo;
  const client = createEtcdKeyValue({ address: `127.0.0.1:${port}` });
  const events: WatchEvent[] = [];
  client.watch("", (event) => events.push(event));
  await waitUntil(() => events.length > 0);
  expect(events).toMatchObject([{
    kind: "closed",
    failure: { message: expect.stringContaining("line is too long") },
  }]);
  await client.close();
  endless.closeAllConnections();
  endless.close();
});

test("a watch from a compacted revision is refused", async () => {
  server.store.compactRevision = 5;
  const events = collectEvents("", { fromRevision: 2 });
  await waitUntil(() => events.length === 1);
  expect(events).toMatchObject([{ failure: { kind: "refused" } }]);
});

test("bytes sent and received are counted", async () => {
  const counts = { in: 0, out: 0 };
  const client = createEtcdKeyValue({
    address: server.address,
    onBytes: (direction, count) => counts[direction] += count,
  });
  await client.create("k", "v".repeat(3_000));
  expect(counts.out).toBeGreaterThan(4_000);
  expect(counts.in).toBeLessThan(1_000);
  await client.get("k");
  expect(counts.in).toBeGreaterThan(4_000);
  await client.close();
});
