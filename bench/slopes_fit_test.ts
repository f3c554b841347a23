import { fitLine } from "./slopes_fit.ts";

describe("fitLine", () => {
  test("fits the line on which the points lie", () => {
    const points = [1, 2, 4].map((size) => ({ size, cost: 3 + 2 * size }));
    const { intercept, slope, r2 } = fitLine(points);
    expect(intercept).toBeCloseTo(3);
    expect(slope).toBeCloseTo(2);
    expect(r2).toBeCloseTo(1);
  });

  test("returns r2 of 1 for a constant cost", () => {
    const points = [1, 2].map((size) => ({ size, cost: 5 }));
    expect(fitLine(points)).toEqual({ intercept: 5, slope: 0, r2: 1 });
  });

  test("throws if all points have the same size", () => {
    const points = [{ size: 1, cost: 1 }, { size: 1, cost: 2 }];
    expect(() => fitLine(points)).toThrow(RangeError);
  });
});
