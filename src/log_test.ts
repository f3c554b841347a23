import { createLogFactory } from "./log.ts";

test("a log line has its level and the prefix of its component", () => {
  const lines: Record<string, unknown>[] = [];
  const createLog = createLogFactory({
    router: "r1",
    write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  createLog("pool").debug("Below the minimum level.");
  createLog("pool").warn("An upstream was removed.", { upstream: "u1" });
  expect(lines).toEqual([{
    at: expect.any(String),
    level: "warn",
    router: "r1",
    message: "pool: An upstream was removed.",
    upstream: "u1",
  }]);
});
