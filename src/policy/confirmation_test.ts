import { Confirmation, elapsedSince } from "./confirmation.ts";

function at(steady: number, wall = steady) {
  return { steady, wall };
}

test("keys are trusted until the bound less the watch delay and margin", () => {
  const confirmation = new Confirmation({ revocationMs: 5_000 });
  expect(confirmation.isTrustedAt(at(0))).toBe(false);
  confirmation.confirm(at(1_000));
  expect(confirmation.isTrustedAt(at(4_700))).toBe(true);
  expect(confirmation.isTrustedAt(at(4_701))).toBe(false);
});

test("a late response to an older call does not lower the age", () => {
  const confirmation = new Confirmation({ revocationMs: 5_000 });
  confirmation.confirm(at(2_000));
  confirmation.confirm(at(500));
  expect(confirmation.ageAt(at(2_100))).toBe(100);
});

test("time in which the host was suspended counts", () => {
  // The monotonic clock stopped for ten seconds.
  expect(elapsedSince(at(1_000), at(1_200, 11_200))).toBe(10_200);
});

test("a time of day that jumps back does not shorten the elapsed time", () => {
  expect(elapsedSince(at(1_000), at(4_000, -50_000))).toBe(3_000);
});
