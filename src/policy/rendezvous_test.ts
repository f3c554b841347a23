import fc from "fast-check";
import {
  getPoolIndex,
  type Hash,
  loadHash,
  rankByRendezvous,
  rankByWeightedRendezvous,
} from "./rendezvous.ts";

const SEED = 1;
let hash: Hash;

beforeAll(async () => {
  hash = await loadHash();
});

const names = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 2 });

test("ranking is independent of input order and stable under removal", () => {
  fc.assert(
    fc.property(fc.string(), names, (key, list) => {
      const ranked = rankByRendezvous(key, list, { hash });
      expect(rankByRendezvous(key, list.toReversed(), { hash }))
        .toEqual(ranked);
      const removed = list[0];
      const remaining = list.filter((name) => name !== removed);
      expect(rankByRendezvous(key, remaining, { hash }))
        .toEqual(ranked.filter((name) => name !== removed));
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test("ranks names first in proportion to their weights", () => {
  const weights: Record<string, number> = { a: 1, b: 3, none: 0 };
  const firsts = { a: 0, b: 0, none: 0 } as Record<string, number>;
  for (let index = 0; index < 4_000; index++) {
    const [first] = rankByWeightedRendezvous(
      `chat-${index}`,
      ["a", "b", "none"],
      { hash, weightOf: (name) => weights[name] ?? 0 },
    );
    firsts[first ?? ""]!++;
  }
  expect(firsts.none).toBe(0);
  expect(Math.round(firsts.b! / 100) / 10).toBeCloseTo(3, 0);
});

test("splits each pool in two when the pool count doubles", () => {
  for (let index = 0; index < 100; index++) {
    const name = `upstream-${index}`;
    const pool = getPoolIndex(name, 8, { hash });
    expect([pool, pool + 8]).toContain(getPoolIndex(name, 16, { hash }));
  }
  expect(() => getPoolIndex("a", 6, { hash })).toThrow("pool-count");
});
