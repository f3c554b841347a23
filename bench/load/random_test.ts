import { Random } from "./random.ts";

describe("Random", () => {
  test("is not biased in the first draws of small seeds", () => {
    const SEEDS = 200;
    const DRAWS = 30;
    let sum = 0;
    for (let seed = 1; seed <= SEEDS; seed++) {
      const random = new Random(seed);
      for (let draw = 0; draw < DRAWS; draw++) sum += random.nextExponential(1);
    }
    const mean = sum / (SEEDS * DRAWS);
    expect(mean).toBeGreaterThan(0.95);
    expect(mean).toBeLessThan(1.05);
  });
});
