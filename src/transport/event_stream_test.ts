import { Buffer } from "node:buffer";
import fc from "fast-check";
import { splitEvents } from "./event_stream.ts";

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
