import { getPollPause, getStorePollIntervals } from "./poll_pause.ts";

test("derives the poll pause from the tightest bound", () => {
  expect(getPollPause({ drainMs: 2_000, applyMs: 2_000 })).toBe(600);
  expect(getPollPause({ drainMs: 3_000, applyMs: 5_000 })).toBe(900);
  expect(getPollPause({ drainMs: 100, applyMs: 5_000 })).toBe(100);
  expect(getPollPause({ drainMs: 60_000, applyMs: 60_000 })).toBe(1_000);
});

test("keeps the bound if polls and relay requests are lost", () => {
  for (const drainMs of [1_000, 2_000, 3_000, 10_000]) {
    const pace = getStorePollIntervals({ drainMs, applyMs: drainMs });
    const latest = 2 * pace.relayPauseMs + 3 * pace.askMs;
    expect(latest).toBeLessThanOrEqual(drainMs * 0.8);
    expect(pace.staleMs).toBeGreaterThan(pace.relayPauseMs + pace.askMs);
    expect(pace.ownPollMs).toBeGreaterThan(pace.staleMs);
  }
  expect(getStorePollIntervals({ drainMs: 3_000, applyMs: 5_000 }))
    .toMatchSnapshot();
});
