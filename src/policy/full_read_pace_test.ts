import { FullReadPace } from "./full_read_pace.ts";

// Guards against routers that do nothing but read a large store whose history is
// dropped before each read ends.
test("reads take at most half of the time of a router", () => {
  const pace = new FullReadPace();
  let readMs = 0;
  let now = 0;
  while (now < 60_000) {
    if (!pace.isDue(now)) {
      now += 50;
      continue;
    }
    const startedAt = now;
    now += 2_000;
    readMs += 2_000;
    pace.recordRead({ startedAt, now });
  }
  expect(readMs / now).toBeLessThanOrEqual(0.55);
});

// Guards against reads in quick succession of a store that exceeds the room, and
// against one that is not read for long after it has shrunk.
test("a store that exceeds the room is read again after 1 to 10 s", () => {
  const pace = new FullReadPace();
  const pauses = Array.from({ length: 6 }, (_, index) => {
    const now = index * 100_000;
    pace.recordOverflow(now);
    let due = now;
    while (!pace.isDue(due)) due += 100;
    return due - now;
  });
  expect(pauses).toEqual([1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
});
