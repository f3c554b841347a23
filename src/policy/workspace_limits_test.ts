import { createWorkspaceLimits } from "./workspace_limits.ts";

const LIMIT = { name: "a", requestsPerSecond: 60, burst: 12 };

function countAdmitted(
  limits: ReturnType<typeof createWorkspaceLimits>,
  { from, to, stepMs }: { from: number; to: number; stepMs: number },
): number {
  let admitted = 0;
  for (let now = from; now < to; now += stepMs) {
    if (limits.take(LIMIT, now).kind === "ok") admitted++;
  }
  return admitted;
}

test("admits a sixth of the rate at one of six routers", () => {
  const limits = createWorkspaceLimits({ routers: 6 });
  const span = { from: 0, to: 60_000, stepMs: 10 };
  // 60 s at 10 requests/s, and the 2 that the bucket starts with.
  expect(countAdmitted(limits, span)).toBeGreaterThanOrEqual(600);
  expect(countAdmitted(limits, { ...span, from: 60_000, to: 120_000 }))
    .toBeLessThanOrEqual(602);
});

test("admits the whole burst of an idle workspace at one router", () => {
  const limits = createWorkspaceLimits({ routers: 6 });
  limits.take(LIMIT, 0);
  const span = { from: 60_000, to: 60_020, stepMs: 1 };
  expect(countAdmitted(limits, span)).toBe(12);
  const take = limits.take(LIMIT, 60_020);
  // 80 ms, or 81 where the sum of the refills was rounded down.
  expect([80, 81]).toContain(take.kind === "limited" && take.retryAfterMs);
  expect(limits.take(LIMIT, 60_095).kind).toBe("limited");
  expect(limits.take(LIMIT, 60_101).kind).toBe("ok");
  limits.setRouters(1);
  expect(limits.take(LIMIT, 60_118)).toEqual({ kind: "ok" });
});

test("limits the number of buckets and adds no tokens while the clock stands", () => {
  const limits = createWorkspaceLimits({ capacity: 3 });
  for (let index = 0; index < 10; index++) {
    limits.take({ ...LIMIT, name: `${index}` }, 0);
  }
  expect(limits.size).toBe(3);
  expect(countAdmitted(limits, { from: 0, to: 1, stepMs: 0.01 })).toBe(12);
});
