import { getPollPause } from "./poll_pause.ts";

test("the tightest bound decides how often the store is asked", () => {
  expect(getPollPause({ drainMs: 2_000, applyMs: 2_000 })).toBe(600);
  expect(getPollPause({ drainMs: 3_000, applyMs: 5_000 })).toBe(900);
  expect(getPollPause({ drainMs: 100, applyMs: 5_000 })).toBe(100);
  expect(getPollPause({ drainMs: 60_000, applyMs: 60_000 })).toBe(1_000);
});
