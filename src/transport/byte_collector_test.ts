import { Buffer } from "node:buffer";
import fc from "fast-check";
import { ByteCollector } from "./byte_collector.ts";

/** A part of a message that lies in a buffer of its own. */
const part = fc.record({
  bytes: fc.integer({ min: 0, max: 5_000 }),
  buffer: fc.integer({ min: 0, max: 9_000 }),
});

function createPart({ bytes, buffer }: { bytes: number; buffer: number }) {
  return Buffer.alloc(Math.max(bytes, buffer), bytes % 251).subarray(0, bytes);
}

test("the bytes of any parts come back in order, in memory of their size", () => {
  fc.assert(
    fc.property(fc.array(part, { maxLength: 60 }), (sizes) => {
      const parts = sizes.map(createPart);
      const collector = new ByteCollector();
      for (const each of parts) collector.push(each);
      const expected = Buffer.concat(parts);
      expect(collector.length).toBe(expected.length);
      expect(collector.heldBytes).toBeLessThanOrEqual(
        1_024 + 4 * expected.length,
      );
      expect(collector.take().equals(expected)).toBe(true);
      expect([collector.length, collector.heldBytes]).toEqual([0, 0]);
    }),
    { seed: 1, numRuns: 300 },
  );
});

// Guards against a process that runs out of memory from one object and one
// socket buffer for each part of a byte (FAULT).
test("parts of one byte take about as much memory as their bytes", () => {
  const collector = new ByteCollector();
  const read = Buffer.alloc(65_536);
  for (let index = 0; index < 300_000; index++) {
    collector.push(read.subarray(5, 6));
  }
  expect(collector.heldBytes).toBeLessThan(400_000);
});

test("a message of one part isn't copied", () => {
  const collector = new ByteCollector();
  const read = Buffer.alloc(600);
  collector.push(read.subarray(500));
  expect(collector.take().buffer === read.buffer).toBe(true);
});
