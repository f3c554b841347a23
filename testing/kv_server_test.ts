import { Buffer } from "node:buffer";
import { createKeyValueServer, type KeyValueServer } from "./kv_server.ts";
import { MemoryStore } from "./kv_store.ts";

let server: KeyValueServer;

afterEach(() => server.close());

function encode(text: string): string {
  return Buffer.from(text).toString("base64");
}

async function post(path: string, body: unknown): Promise<unknown> {
  const answer = await fetch(`http://${server.address}${path}`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  return { status: answer.status, body: await answer.json() };
}

test("answers calls in etcd's JSON mapping", async () => {
  server = await createKeyValueServer();
  const [key, value] = [encode("a/1"), encode("x")];
  const createIfAbsent = {
    compare: [{ target: "CREATE", key, createRevision: "0" }],
    success: [{ requestPut: { key, value } }],
    failure: [{ requestRange: { key } }],
  };
  const answers = [
    await post("/v3/kv/txn", createIfAbsent),
    await post("/v3/kv/txn", createIfAbsent),
    await post("/v3/kv/put", { key: encode("a/2"), value }),
    await post("/v3/kv/range", {
      key: encode("a/"),
      range_end: encode("a0"),
      limit: 1,
    }),
    await post("/v3/kv/txn", {
      compare: [{ target: "MOD", key, mod_revision: "2" }],
      success: [{ request_delete_range: { key } }],
    }),
    await post("/v3/kv/deleterange", { key }),
    await post("/v3/lease/keepalive", { ID: "42" }),
    await post("/v3/lease/revoke", { ID: "42" }),
    await post("/v3/kv/put", { key, value, lease: "42" }),
    await post("/v3/kv/put", { key, value: "A".repeat(1_500_000) }),
  ];
  expect(answers).toMatchSnapshot();
  expect(server.getStats()).toEqual({ reads: 1, writes: 9, watches: 0 });
});

test("refuses writes above their rate limit without limiting reads", async () => {
  server = await createKeyValueServer({ writesPerSecond: 0.001 });
  const put = { key: encode("k"), value: encode("v") };
  expect(await post("/v3/kv/put", put)).toMatchObject({ status: 200 });
  expect(await post("/v3/kv/put", put)).toMatchObject({
    status: 429,
    body: { code: 8 },
  });
  const read = { key: encode("k") };
  expect(await post("/v3/kv/range", read)).toMatchObject({ status: 200 });
});

test("loses the same responses for the same seed", async () => {
  const runs: string[] = [];
  for (const seed of [7, 7, 8]) {
    server = await createKeyValueServer({ seed });
    await post("/faults", { loseAnswerRate: 0.5 });
    let outcome = "";
    for (let i = 0; i < 16; i++) {
      const put = { key: encode(`k${i}`), value: encode("v") };
      const answered = post("/v3/kv/put", put);
      outcome += await answered.then(() => "+", () => "-");
    }
    expect(server.store.range({ key: "", end: "\0" })).toHaveLength(16);
    runs.push(outcome);
    await server.close();
  }
  expect(runs[0]).toBe(runs[1]);
  expect(runs[0]).not.toBe(runs[2]);
});

test("deletes the keys of an expired lease and no others", async () => {
  let now = 0;
  const store = new MemoryStore({ now: () => now, historyLimit: 3 });
  server = await createKeyValueServer({ store });
  const lease = store.grantLease(10);
  const put = { kind: "put", value: "v" } as const;
  store.apply([{ ...put, key: "a", lease }, { ...put, key: "b", lease }]);
  store.apply([{ ...put, key: "b", lease: "0" }]);
  now = 9_000;
  expect(store.renewLease(lease)).toBe(10);
  now = 19_000;
  expect(store.renewLease(lease)).toBe(0);
  const keys = store.range({ key: "", end: "\0" }).map((item) => item.key);
  expect(keys).toEqual(["b"]);
  expect(store.compactRevision).toBe(3);
});
