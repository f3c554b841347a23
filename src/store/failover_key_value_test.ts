import { Err } from "ts-results";
import { createFailoverKeyValue } from "./failover_key_value.ts";
import {
  type KeyValue,
  PlatformFailure,
  type PlatformFailureKind,
} from "./key_value.ts";
import { MemoryKeyValue } from "./testing/memory_key_value.ts";

/** A service whose creates fail in one way; counts them. */
function createFailing(kind: PlatformFailureKind) {
  let creates = 0;
  const client = new MemoryKeyValue() as KeyValue;
  client.create = () => {
    creates++;
    return Promise.resolve(Err(new PlatformFailure(kind, "fails")));
  };
  return { client, count: () => creates };
}

test("a call that did not take effect is made at the next address", async () => {
  const failing = createFailing("unavailable");
  const store = createFailoverKeyValue([failing.client, new MemoryKeyValue()]);
  expect((await store.create("a", "1")).unwrap().kind).toBe("written");
  expect((await store.create("b", "1")).unwrap().kind).toBe("written");
  // The address that answered is kept.
  expect(failing.count()).toBe(1);
});

test.each(["unknown", "refused"] as const)(
  "a call that ended as %s is not made again",
  async (kind) => {
    const other = new MemoryKeyValue();
    const store = createFailoverKeyValue([createFailing(kind).client, other]);
    const created = await store.create("a", "1");
    expect(created.err && created.val.kind).toBe(kind);
    expect((await other.get("a")).unwrap()).toBeUndefined();
  },
);
