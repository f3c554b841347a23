import { setTimeout as sleep } from "node:timers/promises";
import {
  createKeyValueServer,
  type KeyValueServer,
} from "../../testing/kv_server.ts";
import { createEtcdKeyValue } from "./etcd_key_value.ts";
import type { KeyValue } from "./key_value.ts";
import { createWithId } from "./resolved_create.ts";

const SEEDS = 8;
const KEYS_PER_SEED = 12;
const MAX_STEPS = 1_000;
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

test("a lost answer is resolved to the own write", async () => {
  server.setFaults({ loseNext: 1 });
  const first = await createWithId(kv, "k", { value: "id-1" });
  expect(first.val).toEqual({ kind: "written", revision: 2 });
  const again = await createWithId(kv, "k", { value: "id-1" });
  expect(again.val).toEqual(first.val);
  const other = await createWithId(kv, "k", { value: "id-2" });
  expect(other.val).toMatchObject({
    kind: "conflict",
    current: { value: "id-1" },
  });
});

test("another's value settles a lost answer only if it stays", async () => {
  await kv.create("k", "id-1");
  const value = "id-2";
  server.setFaults({ loseNext: 2 });
  const stays = await createWithId(kv, "k", { value, isRemovable: false });
  expect(stays.val).toMatchObject({ kind: "conflict" });
  const goes = await createWithId(kv, "k", { value });
  expect(goes.val).toMatchObject({ kind: "unknown" });
});

test("an own value that was replaced since is still the own", async () => {
  const isOwn = ({ value }: { value: string }) => value.startsWith("id-1");
  await kv.create("k", "id-1 done");
  server.setFaults({ loseNext: 1 });
  const created = await createWithId(kv, "k", { value: "id-1", isOwn });
  expect(created.val).toEqual({ kind: "written", revision: 2 });
});

test("an absent key leaves a delayed write unknown", async () => {
  // The write arrives within the first time and takes effect after the last,
  // also where the machine is busy.
  const slow = createEtcdKeyValue({ address: server.address, timeoutMs: 500 });
  server.setFaults({ delayMs: 3_000 });
  const pending = createWithId(slow, "k", {
    value: "id-1",
    readDelayMs: READ_DELAY_MS,
  });
  await sleep(300);
  server.setFaults({ delayMs: 0 });
  expect((await pending).val).toMatchObject({ kind: "unknown" });
  expect(await getValue("k")).toBeUndefined();
  for (let i = 0; i < MAX_STEPS && server.store.revision === 1; i++) {
    await sleep(5);
  }
  expect(await getValue("k")).toBe("id-1");
  await slow.close();
});

test("a service that is down leaves the write unknown", async () => {
  server.setFaults({ down: true });
  const options = { value: "id-1", readDelayMs: READ_DELAY_MS };
  expect((await createWithId(kv, "k", options)).val)
    .toMatchObject({ kind: "unknown" });
});

test("of racing writers with lost answers exactly one has written", async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const racing = await createKeyValueServer({ seed });
    racing.setFaults({ loseAnswerRate: 0.5 });
    const client = createEtcdKeyValue({ address: racing.address });
    for (let i = 0; i < KEYS_PER_SEED; i++) {
      const outcomes = await Promise.all(
        ["id-1", "id-2", "id-3"].map((value) =>
          createWithId(client, `k${i}`, { value, isRemovable: false })
        ),
      );
      const kinds = outcomes.map((outcome) => outcome.unwrap().kind).sort();
      expect(kinds).toEqual(["conflict", "conflict", "written"]);
    }
    await client.close();
    await racing.close();
  }
});
