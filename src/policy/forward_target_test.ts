/** Tests of the choice of a router to forward a request to. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { chooseForwardTarget } from "./forward_target.ts";

const SOUND = ["sound-1", "sound-2"];
const CUT_ROUTERS = 8;
const REQUESTS_EACH = 50;

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

test("chooses none of none, and the only one", () => {
  const options = { countInFlight: () => 0, random: () => 0.99 };
  expect(chooseForwardTarget([], options)).toBeUndefined();
  expect(chooseForwardTarget(["a"], options)).toBe("a");
});

// Guards against a herd at one of the few routers that still reach the upstreams
// when most have lost their links.
test("spreads the requests of many routers over the few that are left", () => {
  const total = new Map<string, number>();
  for (let router = 1; router <= CUT_ROUTERS; router++) {
    const own = new Map<string, number>();
    const random = createRandom(router);
    for (let request = 0; request < REQUESTS_EACH; request++) {
      const target = chooseForwardTarget(SOUND, {
        countInFlight: (name) => own.get(name) ?? 0,
        random,
      })!;
      own.set(target, (own.get(target) ?? 0) + 1);
      total.set(target, (total.get(target) ?? 0) + 1);
    }
  }
  const half = CUT_ROUTERS * REQUESTS_EACH / 2;
  for (const name of SOUND) {
    expect(total.get(name)).toBeGreaterThan(half * 0.9);
    expect(total.get(name)).toBeLessThan(half * 1.1);
  }
});

test("prefers the one of two that has fewer requests", () => {
  const counts = new Map([["a", 3], ["b", 1]]);
  const random = createRandom(1);
  for (let each = 0; each < 20; each++) {
    const target = chooseForwardTarget(["a", "b"], {
      countInFlight: (name) => counts.get(name)!,
      random,
    });
    expect(target).toBe("b");
  }
});
