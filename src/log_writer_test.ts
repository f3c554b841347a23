import { createLogWriter } from "./log_writer.ts";

function createFixture({ writableLength = 0 } = {}) {
  const lines: string[] = [];
  const stream = {
    writableLength,
    write(line: string) {
      lines.push(line.trimEnd());
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
