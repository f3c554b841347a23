import { Err } from "ts-results";
import { createFailoverKeyValue } from "./failover_key_value.ts";
import {
  type KeyValue,
  PlatformFailure,
  type PlatformFailureKind,
} from "./key_value.ts";
import { MemoryKeyValue } from "./testing/memory_key_value.ts";

/** Creates a client whose `create` fails with `kind`, and counts the calls. */
function createFailingClient(kind: PlatformFailureKind) {
  let creates = 0;
  const client = new MemoryKeyValue() as KeyValue;
  client.create = () => {
    creates++;
    return Promise.resolve(Err(new PlatformFailure(kind, "fails")));
  };
  return { client, count: () => creates };
}

test("an unavailable call is retried at the next address", async () => {
  const failing = createFailingClient("unavailable");
  const store = createFailoverKeyValue([failing.client, new MemoryKeyValue()]);
  expect((await store.create("a", "1")).unwrap().kind).toBe("written");
  expect((await store.create("b", "1")).unwrap().kind).toBe("written");
  // The second create starts at the address that responded to the first.
  expect(failing.count()).toBe(1);
});

test.each(["unknown", "refused"] as const)(
  "a call that fails with %s is not retried",
  async (kind) => {
    const other = new MemoryKeyValue();
    const store = createFailoverKeyValue([
      createFailingClient(kind).client,
      other,
    ]);
    const created = await store.create("a", "1");
    expect(created.err && created.val.kind).toBe(kind);
    expect((await other.get("a")).unwrap()).toBeUndefined();
  },
);
