import { getBindPause, MAX_BIND_WAIT_MS } from "./bind_retry.ts";

// Guards against a port that is taken for a moment ending the start.
test("a required port is tried again for a bounded time, if its error may pass", () => {
  const taken = { use: "required", code: "EADDRINUSE" } as const;
  let waitedMs = 0;
  for (let tries = 0; tries < 1_000; tries++) {
    const pause = getBindPause({ ...taken, waitedMs });
    if (pause === undefined) break;
    expect(pause).toBeLessThanOrEqual(100);
    waitedMs += pause;
  }
  expect(waitedMs).toBe(MAX_BIND_WAIT_MS);
  const denied = { use: "required", code: "EACCES", waitedMs: 0 } as const;
  expect(getBindPause(denied)).toBeUndefined();
});

test("an optional port is tried again once a second without end", () => {
  for (const code of ["EADDRINUSE", "EACCES", undefined]) {
    for (const waitedMs of [0, 3_600_000]) {
      expect(getBindPause({ use: "optional", code, waitedMs })).toBe(1_000);
    }
  }
});
