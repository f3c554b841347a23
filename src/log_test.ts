import { createLogFactory } from "./log.ts";

test("a line has its level and the prefix of its part", () => {
  const lines: Record<string, unknown>[] = [];
  const logs = createLogFactory({
    router: "r1",
    write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  logs("pool").debug("Below the level.");
  logs("pool").warn("An upstream is gone.", { upstream: "u1" });
  expect(lines).toEqual([{
    at: expect.any(String),
    level: "warn",
    router: "r1",
    message: "pool: An upstream is gone.",
    upstream: "u1",
  }]);
});
