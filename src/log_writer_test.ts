import { createLogWriter } from "./log_writer.ts";

function createFixture({ writableLength = 0 } = {}) {
  const lines: string[] = [];
  const stream = {
    writableLength,
    isLost: false,
    calls: 0,
    write(line: string, callback: (cause?: Error | null) => void) {
      stream.calls++;
      if (!stream.isLost) lines.push(line.trimEnd());
      callback(stream.isLost ? new Error("write EPIPE") : null);
      return true;
    },
  };
  let now = 0;
  const writer = createLogWriter({
    stream,
    clock: () => now,
    linesPerSecond: 10,
    maxBufferedBytes: 1_000,
    renderDropReport: (count) => `dropped ${count}`,
  });
  return {
    lines,
    stream,
    writer,
    advance: (ms: number) => void (now += ms),
  };
}

test("lines above the rate limit are dropped, counted and reported", () => {
  const { lines, writer, advance } = createFixture();
  for (let line = 0; line < 50; line++) writer.write(`line ${line}`);
  expect(lines).toHaveLength(20);
  expect(writer.droppedLines).toBe(30);
  advance(1_000);
  writer.write("later");
  expect(lines.slice(20)).toEqual(["dropped 30", "later"]);
});

test("lines are dropped while the stream buffers too many bytes for a slow reader", () => {
  const { lines, stream, writer } = createFixture({ writableLength: 1_001 });
  writer.write("lost");
  expect(lines).toEqual([]);
  stream.writableLength = 0;
  writer.write("seen");
  expect(lines).toEqual(["dropped 1", "seen"]);
});

test("output stays within the rate limit for a minute of excess lines", () => {
  const { lines, writer, advance } = createFixture();
  for (let second = 0; second < 60; second++) {
    for (let line = 0; line < 1_000; line++) writer.write("flood");
    advance(1_000);
  }
  // A burst of two seconds, ten lines a second, and one drop report a second.
  expect(lines.length).toBeLessThanOrEqual(20 + 60 * 10 + 60);
});

// Guards against the loss of the log's reader costing more than lines.
test("lines are dropped without a try for a second after one could not be written", () => {
  const { lines, stream, writer, advance } = createFixture();
  stream.isLost = true;
  for (let line = 0; line < 5; line++) writer.write(`lost ${line}`);
  expect(stream.calls).toBe(1);
  expect(writer.isReaderLost()).toBe(true);
  advance(1_000);
  writer.write("lost 5");
  writer.write("lost 6");
  stream.isLost = false;
  advance(1_000);
  expect(writer.isReaderLost()).toBe(false);
  writer.write("seen");
  expect(lines).toEqual(["dropped 7", "seen"]);
  expect(writer.droppedLines).toBe(7);
});
