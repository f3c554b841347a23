import { getCoveredShare, mayServeWhileStopping } from "./stop_plan.ts";

const DRAINING = {
  stoppingMs: 2_500,
  lifetimeMs: 5_000,
  remainingMs: 15_000,
  isRepeatable: false,
  usualMs: 3_000,
};

test("serves requests while the balancer still sends them", () => {
  expect(mayServeWhileStopping(DRAINING)).toBe(true);
});

// Guards against requests that are passed on and cut at the end of the grace
// time (LOST).
test("refuses requests that usually outlast the process, or may do so for all that is known", () => {
  expect(mayServeWhileStopping({ ...DRAINING, usualMs: 5_000 })).toBe(false);
  const unknown = { ...DRAINING, usualMs: undefined };
  expect(mayServeWhileStopping(unknown)).toBe(false);
  expect(mayServeWhileStopping({ ...unknown, isRepeatable: true })).toBe(true);
  const short = { ...DRAINING, remainingMs: 4_000 };
  expect(mayServeWhileStopping({ ...short, usualMs: 9_000 })).toBe(true);
  expect(mayServeWhileStopping({ ...short, usualMs: undefined })).toBe(true);
});

test("later serves only requests that end before the process does", () => {
  const late = {
    stoppingMs: 3_500,
    lifetimeMs: 4_000,
    isRepeatable: false,
    usualMs: 300,
  };
  expect(mayServeWhileStopping({ ...late, remainingMs: 12_000 })).toBe(false);
  expect(mayServeWhileStopping({ ...late, remainingMs: 800 })).toBe(true);
});

test("a request that can be sent again may outlast the process more often", () => {
  expect(getCoveredShare(true)).toBeLessThan(getCoveredShare(false));
});
