import { Buffer } from "node:buffer";
import fc from "fast-check";
import { JsonListReader, OversizeError } from "./json_list_reader.ts";

const SEED = 54;
const MAX_STRING_BYTES = 20_000;

interface ReadElement {
  readonly element: unknown;
  readonly isShortened: boolean;
}

function createReader(elements: ReadElement[] = []): JsonListReader {
  return new JsonListReader({
    name: "items",
    getMaxStringBytes: (before) =>
      before.includes('"foreign"') ? 0 : MAX_STRING_BYTES,
    onElement: (element, isShortened) =>
      elements.push({ element, isShortened }),
  });
}

/** Reads a text in parts that end at the positions `cuts`. */
function read(text: string, cuts: readonly number[] = []) {
  const bytes = Buffer.from(text);
  const elements: ReadElement[] = [];
  const reader = createReader(elements);
  const ends = cuts.map((cut) => cut % (bytes.length + 1));
  let start = 0;
  for (const end of [...ends.sort((a, b) => a - b), bytes.length]) {
    reader.push(bytes.subarray(start, end));
    start = end;
  }
  return { elements, rest: reader.finish() };
}

// Guards against elements that are lost or changed where parts of a text meet.
test("elements are those of the text, however it is cut", () => {
  const item = fc.record({
    key: fc.string({ unit: "binary" }),
    value: fc.string({ unit: "binary", maxLength: 30 }),
    rev: fc.integer(),
    more: fc.jsonValue({ maxDepth: 1 }),
  });
  const page = fc.record({
    items: fc.array(item, { maxLength: 5 }),
    other: fc.array(fc.integer(), { maxLength: 3 }),
    currentRev: fc.integer(),
  });
  const cuts = fc.array(fc.nat(), { maxLength: 8 });
  fc.assert(
    fc.property(page, cuts, fc.constantFrom(0, 2), (value, at, indent) => {
      const text = JSON.stringify(value, undefined, indent);
      const { elements, rest } = read(text, at);
      const expected = JSON.parse(text);
      expect(elements.map(({ element }) => element)).toEqual(expected.items);
      expect(rest).toEqual({ ...expected, items: [] });
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

// Guards against long values that are held until their element is complete.
test.each([
  { name: "kept", key: "own", length: MAX_STRING_BYTES, isShortened: false },
  {
    name: "dropped",
    key: "own",
    length: MAX_STRING_BYTES + 1,
    isShortened: true,
  },
  {
    name: "dropped of other keys",
    key: "foreign",
    length: 17_000,
    isShortened: true,
  },
])("a long string is $name", ({ key, length, isShortened }) => {
  const value = "\\".repeat(length / 2 | 0) + "x".repeat(length);
  const text = JSON.stringify({
    items: [{ key, value: value.slice(-length) }, { key }],
  });
  const cuts = Array.from({ length: 9 }, (_, index) => index * 3_001);
  expect(read(text, cuts).elements).toEqual([
    {
      element: { key, value: isShortened ? "" : value.slice(-length) },
      isShortened,
    },
    { element: { key }, isShortened: false },
  ]);
});

// Guards against a text without end or sense that exhausts the heap.
test.each([
  { name: "an element of many values", text: '{"items":[{"a":[', part: "{}," },
  { name: "a long text around the list", text: "{", part: '"a":1,' },
  { name: "a long number", text: '{"items":[{"a":', part: "1" },
  {
    name: "many elements that are no objects",
    text: '{"items":[',
    part: "[],",
  },
])("$name is refused", ({ text, part }) => {
  const reader = createReader();
  reader.push(Buffer.from(text));
  const chunk = Buffer.from(part.repeat(10_000));
  expect(() => {
    for (let count = 0; count < 100; count++) reader.push(chunk);
  }).toThrow(OversizeError);
});

test.each([
  { name: "a text that ends early", text: '{"items":[{"a":1}' },
  { name: "an element that is no JSON", text: '{"items":[{"a"}]}' },
  { name: "an element that is no object", text: '{"items":[{},1]}' },
  { name: "a text after the object", text: '{"items":[]}}' },
])("$name is refused at the end", ({ text }) => {
  expect(() => read(text)).toThrow(SyntaxError);
});
