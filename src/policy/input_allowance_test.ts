import { InputAllowance } from "./input_allowance.ts";

const MS_PER_SECOND = 1_000;

/** Parts of `bytes` at `perSecond` that pass, up to `max`. */
function countParts(
  { bytes, perSecond, max }: { bytes: number; perSecond: number; max: number },
): number {
  const allowance = new InputAllowance(0);
  for (let parts = 0; parts < max; parts++) {
    const now = parts / perSecond * MS_PER_SECOND;
    if (!allowance.recordPart(bytes, now)) return parts;
  }
  return max;
}

test("tokens of a few bytes pass for as long as a stream takes", () => {
  const max = 400 * 600;
  expect(countParts({ bytes: 4, perSecond: 400, max })).toBe(max);
});

test("comments that keep a connection open pass for as long as it is open", () => {
  expect(countParts({ bytes: 0, perSecond: 10, max: 100_000 })).toBe(100_000);
});

test("parts with enough content pass at any rate", () => {
  expect(countParts({ bytes: 16, perSecond: 1e9, max: 1e5 })).toBe(1e5);
});

// Guards against a sender of tiny parts without end that keeps the thread from
// all other callers (FAULT).
test("tiny parts without end are ended soon", () => {
  const options = { perSecond: 1e6, max: 1e6 };
  expect(countParts({ ...options, bytes: 0 })).toBeLessThan(1_100);
  expect(countParts({ ...options, bytes: 1 })).toBeLessThan(1_100);
});

test("bytes beside the content are bounded, and content itself isn't", () => {
  const allowance = new InputAllowance(0);
  expect(allowance.allowsTotal(32_768, 0)).toBe(true);
  expect(allowance.allowsTotal(32_769, 0)).toBe(false);
  allowance.recordPart(10_000_000, 0);
  expect(allowance.allowsTotal(20_032_768, 0)).toBe(true);
  expect(allowance.allowsTotal(20_032_769, 0)).toBe(false);
  expect(allowance.allowsTotal(20_049_152, MS_PER_SECOND)).toBe(true);
});
