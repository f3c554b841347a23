import { setTimeout as sleep } from "node:timers/promises";
import {
  createKeyValueServer,
  type KeyValueServer,
} from "../../testing/kv_server.ts";
import { createEtcdKeyValue } from "./etcd_key_value.ts";
import type { KeyValue } from "./key_value.ts";
import { createResolved } from "./resolved_create.ts";

const SEEDS = 8;
const KEYS_PER_SEED = 12;
const MAX_POLLS = 1_000;
const READ_DELAY_MS = 1;

let server: KeyValueServer;
let kv: KeyValue;

beforeEach(async () => {
  server = await createKeyValueServer();
  kv = createEtcdKeyValue({ address: server.address });
});

afterEach(async () => {
  await kv.close();
  await server.close();
});

async function getValue(key: string): Promise<string | undefined> {
  return (await kv.get(key)).unwrap()?.value;
}

test("a lost response is resolved by reading the value back", async () => {
  server.setFaults({ loseNext: 1 });
  const first = await createResolved(kv, "k", { value: "id-1" });
  expect(first.val).toEqual({ kind: "written", revision: 2 });
  const again = await createResolved(kv, "k", { value: "id-1" });
  expect(again.val).toEqual(first.val);
  const other = await createResolved(kv, "k", { value: "id-2" });
  expect(other.val).toMatchObject({
    kind: "conflict",
    current: { value: "id-1" },
  });
});

test("another writer's value is a conflict only if it can't be deleted", async () => {
  await kv.create("k", "id-1");
  const value = "id-2";
  server.setFaults({ loseNext: 2 });
  const permanent = await createResolved(kv, "k", {
    value,
    isRemovable: false,
  });
  expect(permanent.val).toMatchObject({ kind: "conflict" });
  const removable = await createResolved(kv, "k", { value });
  expect(removable.val).toMatchObject({ kind: "unknown" });
});

test("a value that has replaced this call's value counts as written", async () => {
  const isOwn = ({ value }: { value: string }) => value.startsWith("id-1");
  await kv.create("k", "id-1 done");
  server.setFaults({ loseNext: 1 });
  const created = await createResolved(kv, "k", { value: "id-1", isOwn });
  expect(created.val).toEqual({ kind: "written", revision: 2 });
});

test("a delayed write is unknown while the key is missing", async () => {
  // The server receives the write before the client's timeout and applies it
  // after the last read. The margins allow for a busy machine.
  const client = createEtcdKeyValue({
    address: server.address,
    timeoutMs: 500,
  });
  server.setFaults({ delayMs: 3_000 });
  const pending = createResolved(client, "k", {
    value: "id-1",
    readDelayMs: READ_DELAY_MS,
  });
  await sleep(300);
  server.setFaults({ delayMs: 0 });
  expect((await pending).val).toMatchObject({ kind: "unknown" });
  expect(await getValue("k")).toBeUndefined();
  for (let i = 0; i < MAX_POLLS && server.store.revision === 1; i++) {
    await sleep(5);
  }
  expect(await getValue("k")).toBe("id-1");
  await client.close();
});

test("a write to a service that is down is unknown", async () => {
  server.setFaults({ down: true });
  const options = { value: "id-1", readDelayMs: READ_DELAY_MS };
  expect((await createResolved(kv, "k", options)).val)
    .toMatchObject({ kind: "unknown" });
});

test("exactly one of several concurrent writers with lost responses succeeds", async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const faultyServer = await createKeyValueServer({ seed });
    faultyServer.setFaults({ loseAnswerRate: 0.5 });
    const client = createEtcdKeyValue({ address: faultyServer.address });
    for (let i = 0; i < KEYS_PER_SEED; i++) {
      const outcomes = await Promise.all(
        ["id-1", "id-2", "id-3"].map((value) =>
          createResolved(client, `k${i}`, { value, isRemovable: false })
        ),
      );
      const kinds = outcomes.map((outcome) => outcome.unwrap().kind).sort();
      expect(kinds).toEqual(["conflict", "conflict", "written"]);
    }
    await client.close();
    await faultyServer.close();
  }
});
