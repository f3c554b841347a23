import fc from "fast-check";
import {
  type ChatChange,
  createDirectoryChanges,
  encodeChanges,
  tryDecodeChanges,
} from "./directory_changes.ts";

const uint32 = fc.integer({ min: 0, max: 2 ** 32 - 1 });
const changeLists = fc.array(fc.record<ChatChange>({
  chat: fc.record({ hi: uint32, lo: uint32 }),
  upstream: fc.constantFrom("a", "b", "c"),
  tokens: uint32,
}));

test("changes come off the wire as they were", () => {
  fc.assert(
    fc.property(changeLists, (changes) => {
      expect(tryDecodeChanges(encodeChanges(changes))).toEqual(changes);
    }),
    { seed: 1, numRuns: 300 },
  );
});

test.each([
  ["a torn row", { names: ["a"], rows: "AAAA" }],
  ["an unknown name", { names: [], rows: "A".repeat(56) }],
])("%s is refused", (_name, encoded) => {
  expect(tryDecodeChanges(encoded)).toBeUndefined();
});

test("of a chat only the newest change is kept", () => {
  const changes = createDirectoryChanges();
  const chat = { hi: 1, lo: 2 };
  changes.note({ chat, upstream: "a", tokens: 1 });
  changes.note({ chat, upstream: "b", tokens: 2 });
  changes.note({ chat: { hi: 3, lo: 4 }, upstream: "a", tokens: 3 });
  expect(changes.take(1)).toEqual([{ chat, upstream: "b", tokens: 2 }]);
  expect(changes.size).toBe(1);
});
