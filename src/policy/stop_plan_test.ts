import { mayServeWhileStopping } from "./stop_plan.ts";

test("serves requests while the balancer still sends them", () => {
  expect(mayServeWhileStopping({
    stoppingMs: 2_500,
    lifetimeMs: 5_000,
    remainingMs: 15_000,
  })).toBe(true);
});

test("later serves only requests that end before the process does", () => {
  const late = { stoppingMs: 3_500, lifetimeMs: 4_000 };
  expect(mayServeWhileStopping({ ...late, remainingMs: 12_000 })).toBe(false);
  expect(mayServeWhileStopping({ ...late, remainingMs: 800 })).toBe(true);
});
