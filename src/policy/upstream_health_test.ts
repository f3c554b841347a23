import { UpstreamHealth } from "./upstream_health.ts";

const NAMES = ["a", "b", "c"];

function recordEnds(
  health: UpstreamHealth,
  name: string,
  { answered = 0, failed = 0 }: { answered?: number; failed?: number },
): void {
  for (let each = 0; each < answered; each++) {
    health.recordEnd(name, "answered", 0);
  }
  for (let each = 0; each < failed; each++) health.recordEnd(name, "failed", 0);
}

test("avoids an upstream that fails much more often than its peers", () => {
  const health = new UpstreamHealth();
  recordEnds(health, "a", { answered: 10, failed: 1 });
  recordEnds(health, "b", { answered: 4, failed: 6 });
  recordEnds(health, "c", { answered: 10 });
  expect([...health.findSuspects(NAMES, 0)]).toEqual(["b"]);
});

test("avoids no upstream if all fail equally often", () => {
  const health = new UpstreamHealth();
  for (const name of NAMES) {
    recordEnds(health, name, { answered: 5, failed: 5 });
  }
  expect(health.findSuspects(NAMES, 0).size).toBe(0);
});

test("avoids an unreachable upstream for a time that doubles", () => {
  const health = new UpstreamHealth();
  health.recordEnd("a", "unreachable", 0);
  expect(health.findSuspects(NAMES, 399).has("a")).toBe(true);
  expect(health.findSuspects(NAMES, 400).has("a")).toBe(false);
  health.recordEnd("a", "unreachable", 400);
  expect(health.findSuspects(NAMES, 1_199).has("a")).toBe(true);
  health.recordEnd("a", "answered", 1_200);
  expect(health.findSuspects(NAMES, 1_200).has("a")).toBe(false);
});

test("lists the upstreams that can't be reached, and knows late answers", () => {
  const health = new UpstreamHealth();
  health.recordEnd("a", "unreachable", 0);
  health.recordEnd("b", "answered", 0);
  health.recordEnd("c", "failed", 0);
  health.recordEnd("d", "unreachable", 0);
  health.recordEnd("d", "answered", 100);
  expect(health.listUnreachable(1_999)).toEqual(["a"]);
  expect(health.listUnreachable(2_000)).toEqual([]);
  expect(health.hasAnsweredLately("b", 1_000)).toBe(true);
  expect(health.hasAnsweredLately("b", 1_001)).toBe(false);
  expect(health.hasAnsweredLately("a", 0)).toBe(false);
});

test("decays old failures and drops them for a new process", () => {
  const health = new UpstreamHealth();
  recordEnds(health, "a", { failed: 6 });
  recordEnds(health, "b", { answered: 10 });
  expect(health.findSuspects(NAMES, 0).has("a")).toBe(true);
  expect(health.findSuspects(NAMES, 10_000).has("a")).toBe(false);
  recordEnds(health, "c", { failed: 6 });
  health.forget("c");
  expect(health.findSuspects(NAMES, 0).has("c")).toBe(false);
});

// Guards against an upstream that sends without end and gets each third request
// again and again (FAULT).
test("an upstream of excessive answers is avoided like one that is unreachable", () => {
  const health = new UpstreamHealth();
  const peers = ["a", "b"];
  health.recordEnd("a", "excess", 0);
  expect(health.findSuspects(peers, 1).has("a")).toBe(false);
  health.recordEnd("a", "excess", 10);
  expect(health.findSuspects(peers, 11).has("a")).toBe(true);
  expect(health.listUnreachable(11)).toEqual(["a"]);
  expect(health.findSuspects(peers, 411).has("a")).toBe(false);
  health.recordEnd("a", "excess", 420);
  expect(health.findSuspects(peers, 1_000).has("a")).toBe(true);
  expect(health.findSuspects(peers, 1_300).has("a")).toBe(false);
});

test("an answer between them ends the count of excessive answers", () => {
  const health = new UpstreamHealth();
  for (let at = 0; at < 10; at++) {
    health.recordEnd("a", "excess", at);
    health.recordEnd("a", "answered", at);
  }
  expect(health.listUnreachable(11)).toEqual([]);
});
