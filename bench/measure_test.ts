import { solveCosts } from "./measure_cost.ts";
import { summarisePhase } from "./measure_run.ts";
import { summariseSkew } from "./measure_skew.ts";
import { isMet } from "./measure_targets.ts";

describe("measurement", () => {
  test("computes the cost per request and per token from two loads", () => {
    const few = { requests: 100, tokens: 400, cpuSeconds: 0.14 };
    const many = { requests: 10, tokens: 1_000, cpuSeconds: 0.11 };
    const cost = solveCosts(few, many);
    expect(cost.cpuMsPerRequest).toBeCloseTo(1);
    expect(cost.cpuUsPerToken).toBeCloseTo(100);
    expect(cost.coreShareAtPeak).toBeCloseTo(0.599);
  });

  test("sums the counts of a phase's seconds", () => {
    const second = { whole: 1, refused: 0, broken: 0 };
    const timeline = [0, 1, 2].map((number) => ({
      ...second,
      second: number,
      sent: 2,
      prefixTokens: 10,
      cachedTokens: number,
    }));
    const exchanges = [1_500, 2_500].map((sentAt) => ({
      path: "/v1/chat/completions",
      sentAt,
      status: 200,
      isStream: true,
      headMs: 5,
    }));
    const options = { timeline, exchanges, started: 0 };
    const figures = summarisePhase({ from: 1, to: 2 }, options);
    expect(figures).toMatchObject({ sent: 2, whole: 1, reuse: 0.1 });
    expect(figures.firstTokenMs.count).toBe(1);
  });

  test("compares skew with the rounded limit", () => {
    const samples = [
      { atMs: 0, mean: 2, max: 3 },
      { atMs: 1, mean: 2, max: 4 },
      { atMs: 2, mean: 0.5, max: 4 },
    ];
    const skew = summariseSkew(samples, { loadFactor: 1.25 });
    expect(skew).toMatchObject({ loaded: 2, max: 2, aboveLimitShare: 0.5 });
  });

  test("meets a target at its bound, but not beyond", () => {
    expect(isMet(1, { kind: "at-least", bound: 1 })).toBe(true);
    expect(isMet(1.01, { kind: "at-most", bound: 1 })).toBe(false);
  });
});
