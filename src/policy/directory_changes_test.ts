import fc from "fast-check";
import {
  type ChatChange,
  createDirectoryChanges,
  encodeChanges,
  tryDecodeChanges,
} from "./directory_changes.ts";

const uint32 = fc.integer({ min: 0, max: 2 ** 32 - 1 });
const changeListArbitrary = fc.array(fc.record<ChatChange>({
  chat: fc.record({ hi: uint32, lo: uint32 }),
  upstream: fc.constantFrom("a", "b", "c"),
  tokens: uint32,
}));

test("decoded changes equal the encoded ones", () => {
  fc.assert(
    fc.property(changeListArbitrary, (changes) => {
      expect(tryDecodeChanges(encodeChanges(changes))).toEqual(changes);
    }),
    { seed: 1, numRuns: 300 },
  );
});

test.each([
  ["a partial row", { names: ["a"], rows: "AAAA" }],
  ["an unknown name index", { names: [], rows: "A".repeat(56) }],
])("%s is rejected", (_name, encoded) => {
  expect(tryDecodeChanges(encoded)).toBeUndefined();
});

test("only the newest change of a chat is kept", () => {
  const changes = createDirectoryChanges();
  const chat = { hi: 1, lo: 2 };
  changes.recordChange({ chat, upstream: "a", tokens: 1 });
  changes.recordChange({ chat, upstream: "b", tokens: 2 });
  changes.recordChange({ chat: { hi: 3, lo: 4 }, upstream: "a", tokens: 3 });
  expect(changes.take(1)).toEqual([{ chat, upstream: "b", tokens: 2 }]);
  expect(changes.size).toBe(1);
});
