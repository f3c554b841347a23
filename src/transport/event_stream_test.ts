import { Buffer } from "node:buffer";
import fc from "fast-check";
import { EventSplitter, splitEvents } from "./event_stream.ts";

async function* splitBytes(bytes: Buffer, sizes: number[]) {
  let start = 0;
  for (const size of sizes) {
    yield bytes.subarray(start, start + size);
    start += size;
  }
  yield bytes.subarray(start);
}

test("events are complete wherever the stream is split into chunks", async () => {
  const stream = Buffer.from(
    'id: 0\ndata: {"a":1}\n\nid: 1\ndata: é\n\ndata: [DONE]\n\n',
  );
  const sizes = fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 12 });
  await fc.assert(
    fc.asyncProperty(sizes, async (cuts) => {
      const events = [];
      for await (const event of splitEvents(splitBytes(stream, cuts))) {
        events.push(event);
      }
      expect(Buffer.concat(events.map((event) => event.bytes))).toEqual(stream);
      expect(events.map((event) => event.id)).toEqual([0, 1, undefined]);
      expect(events.map((event) => event.isFinal)).toEqual([
        false,
        false,
        true,
      ]);
    }),
    { seed: 1, numRuns: 200 },
  );
});

test("an incomplete last event is dropped", async () => {
  const events = [];
  const truncated = Buffer.from("id: 0\ndata: a\n\nid: 1\nda");
  for await (const event of splitEvents(splitBytes(truncated, []))) {
    events.push(event);
  }
  expect(events.map((event) => event.id)).toEqual([0]);
});

// Guards against an event in tiny chunks that is copied and read again for each
// (FAULT): a splitter that does takes minutes here.
test("an event in chunks of one byte is read once", () => {
  const splitter = new EventSplitter();
  const read = Buffer.alloc(65_536, "e");
  for (let bytes = 0; bytes < 1_000_000; bytes++) {
    splitter.push(read.subarray(7, 8));
  }
  expect(splitter.heldBytes).toBeLessThan(1_200_000);
  splitter.push(Buffer.from("\n"));
  const [event] = splitter.push(Buffer.from("\n"));
  expect(event?.bytes).toHaveLength(1_000_002);
  expect(splitter.hasIncompleteEvent).toBe(false);
});
