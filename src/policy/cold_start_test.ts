import fc from "fast-check";
import type { LoadReport } from "../types.ts";
import { type AttemptResult, createColdStart } from "./cold_start.ts";

const OPTIONS = {
  hardLimit: 16,
  coldLimit: 2,
  staleMs: 10_000,
  doublingMs: 1_000,
};
const SUCCESS: AttemptResult = { ok: true, firstByteMs: 20, incarnation: "1" };

function report(change: Partial<LoadReport> = {}): LoadReport {
  const base = { incarnation: "1", inFlight: 0, leaving: false, ageMs: 0 };
  return { ...base, cold: false, ...change };
}

function createWarm() {
  const upstream = createColdStart(OPTIONS);
  for (let now = 0; now < 4_000; now += 100) {
    upstream.recordAttempt(SUCCESS, now);
  }
  expect(upstream.limit(4_000)).toBe(16);
  return upstream;
}

test("the limit grows with requests and at most doubles per interval", () => {
  const upstream = createColdStart(OPTIONS);
  expect([upstream.limit(0), upstream.isCold(0)]).toEqual([2, true]);
  const limits: number[] = [];
  for (let now = 0; now < 3_000; now += 1_000) {
    for (let count = 0; count < 20; count++) {
      upstream.recordAttempt(SUCCESS, now);
    }
    limits.push(upstream.limit(now));
  }
  expect(limits).toEqual([4, 8, 16]);
  expect(upstream.isCold(3_000)).toBe(false);
});

test("requests that leave the limit unused don't grow it", () => {
  const upstream = createColdStart({ ...OPTIONS, coldLimit: 4 });
  upstream.recordAttempt({ ...SUCCESS, utilisation: 0.25 }, 0);
  expect(upstream.limit(0)).toBe(4);
  upstream.recordAttempt({ ...SUCCESS, utilisation: 0.5 }, 0);
  expect(upstream.limit(0)).toBe(5);
});

test("a failure halves the limit", () => {
  const upstream = createWarm();
  upstream.recordAttempt({ ok: false }, 4_000);
  expect(upstream.limit(4_000)).toBe(8);
});

test.each<[string, (upstream: ReturnType<typeof createWarm>) => void]>([
  ["a cold flag", (u) => u.recordReport(report({ cold: true }), 4_000)],
  ["a report's new incarnation", (u) => {
    u.recordReport(report({ incarnation: "2" }), 4_000);
  }],
  ["an answer's new incarnation", (u) => {
    u.recordAttempt({ ...SUCCESS, incarnation: "2" }, 4_000);
  }],
  ["a run of slow answers", (u) => {
    for (let count = 0; count < 3; count++) {
      u.recordAttempt({ ...SUCCESS, firstByteMs: 5_000 }, 4_000);
    }
  }],
  ["silence", (u) => u.limit(13_901)],
])("%s makes a warm upstream cold", (_name, makeCold) => {
  const upstream = createWarm();
  makeCold(upstream);
  expect(upstream.isCold(4_000)).toBe(true);
  expect(upstream.limit(4_000)).toBe(2);
});

test.each<[string, Partial<AttemptResult>, number]>([
  ["an outlier", { firstByteMs: 5_000 }, 2],
  ["a load that slows the pool", {
    firstByteMs: 900,
    poolFirstByteMs: 600,
  }, 30],
])("%s does not make a warm upstream cold", (_name, change, count) => {
  const upstream = createWarm();
  for (let sent = 0; sent < count; sent++) {
    upstream.recordAttempt({ ...SUCCESS, ...change }, 4_000);
  }
  expect(upstream.limit(4_000)).toBe(16);
});

test("an outdated report does not clear the cold flag", () => {
  const upstream = createWarm();
  upstream.recordReport(report({ cold: true }), 4_000);
  upstream.recordReport(report({ ageMs: 500 }), 4_100);
  upstream.recordAttempt(SUCCESS, 4_200);
  expect(upstream.limit(4_200)).toBe(2);
  upstream.recordReport(report(), 4_300);
  upstream.recordAttempt(SUCCESS, 4_300);
  expect(upstream.limit(4_300)).toBe(3);
});

test("the limit stays within its bounds, and at the cold limit while cold", () => {
  const steps = fc.array(fc.record({
    waitMs: fc.nat({ max: 6_000 }),
    cold: fc.boolean(),
    ageMs: fc.nat({ max: 3_000 }),
    ok: fc.boolean(),
    incarnation: fc.constantFrom("1", "2"),
    isReport: fc.boolean(),
  }));
  fc.assert(
    fc.property(steps, (list) => {
      const upstream = createColdStart(OPTIONS);
      let now = 0;
      for (const step of list) {
        now += step.waitMs;
        if (step.isReport) upstream.recordReport(report(step), now);
        else upstream.recordAttempt(step, now);
        const limit = upstream.limit(now);
        expect(limit).toBeGreaterThanOrEqual(2);
        expect(limit).toBeLessThanOrEqual(16);
        if (step.isReport && step.cold && step.ageMs === 0) {
          expect(limit).toBe(2);
        }
      }
    }),
    { seed: 1, numRuns: 500 },
  );
});
