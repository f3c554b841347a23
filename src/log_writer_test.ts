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
    maxWaitingBytes: 1_000,
    renderDropped: (count) => `dropped ${count}`,
  });
  return {
    lines,
    stream,
    writer,
    advance: (ms: number) => void (now += ms),
  };
}

test("lines beyond the rate are dropped, counted and told", () => {
  const { lines, writer, advance } = createFixture();
  for (let line = 0; line < 50; line++) writer.write(`line ${line}`);
  expect(lines).toHaveLength(20);
  expect(writer.dropped).toBe(30);
  advance(1_000);
  writer.write("later");
  expect(lines.slice(20)).toEqual(["dropped 30", "later"]);
});

test("a reader that is slow loses lines and never holds the writer up", () => {
  const { lines, stream, writer } = createFixture({ writableLength: 1_001 });
  writer.write("lost");
  expect(lines).toEqual([]);
  stream.writableLength = 0;
  writer.write("seen");
  expect(lines).toEqual(["dropped 1", "seen"]);
});

test("a minute of a flood stays within the rate", () => {
  const { lines, writer, advance } = createFixture();
  for (let second = 0; second < 60; second++) {
    for (let line = 0; line < 1_000; line++) writer.write("flood");
    advance(1_000);
  }
  // Two seconds of burst, ten lines a second and a count with each batch.
  expect(lines.length).toBeLessThanOrEqual(20 + 60 * 10 + 60);
});
