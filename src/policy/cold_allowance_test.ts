import fc from "fast-check";
import { ColdAllowance, getColdShare } from "./cold_allowance.ts";
import { type Hash, loadHash } from "./rendezvous.ts";

let hash: Hash;

beforeAll(async () => {
  hash = await loadHash();
});

test("the shares of all routers add up to the bound", () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 90 }),
    fc.integer({ min: 1, max: 60 }),
    (count, perSecond) => {
      const routers = Array.from({ length: count }, (_, each) => `r-${each}`);
      const shares = routers.map((self) =>
        getColdShare({ perSecond }, {
          self,
          upstream: "up",
          routers,
          hash,
        })
      );
      const sum = shares.reduce((total, share) => total + share, 0);
      expect(sum).toBe(perSecond);
    },
  ));
});

test("a router that is not registered yet counts itself", () => {
  const share = getColdShare({ perSecond: 6 }, {
    self: "new",
    upstream: "up",
    routers: ["a", "b"],
    hash,
  });
  expect(share).toBe(2);
});

test("no interval of one second exceeds the share", () => {
  const allowance = new ColdAllowance({ self: "a", hash });
  const bound = { perSecond: 4 };
  const sent: number[] = [];
  for (let now = 0; now < 5_000; now += 50) {
    if (!allowance.hasRoom("up", { bound, routers: ["a"], now })) continue;
    allowance.recordSent("up", now);
    sent.push(now);
  }
  for (const start of sent) {
    const within = sent.filter((at) => at >= start && at < start + 1_000);
    expect(within.length).toBeLessThanOrEqual(4);
  }
  expect(sent.length).toBeGreaterThanOrEqual(16);
});
