import fc from "fast-check";
import { type Hash, loadHash } from "./rendezvous.ts";
import { getRateShare, UpstreamRates } from "./upstream_rates.ts";

let hash: Hash;
beforeAll(async () => {
  hash = await loadHash();
});

function createNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `router-${index}`);
}

function createRates(self = "router-0"): UpstreamRates {
  return new UpstreamRates({ self, hash });
}

function createFleet(count: number): ReadonlyMap<string, unknown> {
  return new Map(createNames(count).map((name) => [name, ""]));
}

const ALONE = createFleet(1);

// Pattern: an upstream in need names what it takes from all routers together.
test("all routers together keep the rate, at any size of the fleet", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 200 }),
      fc.double({ min: 0.1, max: 30, noNaN: true }),
      fc.integer({ min: 0, max: 3_000 }),
      (count, rate, idleMs) => {
        const routers = createFleet(count);
        const fleet = createNames(count).map(createRates);
        for (const rates of fleet) {
          rates.recordStatement("up", { rate, sentAt: 0, now: 0 });
        }
        let sent = 0;
        for (let now = idleMs; now < idleMs + 4_000; now += 20) {
          for (const rates of fleet) {
            if (!rates.hasRoom("up", { routers, now })) continue;
            rates.recordSent("up", now);
            sent++;
          }
        }
        expect(sent).toBeLessThanOrEqual(1.5 * 4 * rate + 5);
      },
    ),
    { seed: 11, numRuns: 60 },
  );
});

test("the shares of the routers add up to the rate", () => {
  for (const count of [1, 6, 195]) {
    const routers = createNames(count);
    const shares = routers.map((self) =>
      getRateShare(4.5, { self, upstream: "up", routers, hash })
    );
    const total = shares.reduce((sum, share) => sum + share, 0);
    expect(total).toBeCloseTo(4.5);
  }
});

test("an upstream that has named no limit has room", () => {
  const rates = createRates();
  rates.recordStatement("up", { rate: "none", sentAt: 0, now: 10 });
  expect(rates.hasRoom("up", { routers: ALONE, now: 20 })).toBe(true);
  expect(rates.createReports(20)).toEqual([]);
});

// Guards against an older answer that ends a limit because it arrives late.
test("an answer ends a limit only if its request was sent after the limit", () => {
  const rates = createRates();
  rates.recordStatement("up", { rate: 2, sentAt: 0, now: 100 });
  rates.recordStatement("up", { rate: "none", sentAt: 50, now: 110 });
  expect(rates.hasRoom("up", { routers: ALONE, now: 110 })).toBe(false);
  rates.recordStatement("up", { rate: "none", sentAt: 101, now: 120 });
  expect(rates.hasRoom("up", { routers: ALONE, now: 120 })).toBe(true);
});

test("a limit that no answer renews ends after ten seconds", () => {
  const rates = createRates();
  rates.recordStatement("up", { rate: 0, sentAt: 0, now: 0 });
  expect(rates.hasRoom("up", { routers: ALONE, now: 5_000 })).toBe(false);
  expect(rates.getWait("up", { routers: ALONE, now: 5_000 })).toBeLessThan(
    20_000,
  );
  expect(rates.hasRoom("up", { routers: ALONE, now: 10_001 })).toBe(true);
});

test("states when the next request may be sent", () => {
  const rates = createRates();
  rates.recordStatement("up", { rate: 2, sentAt: 0, now: 0 });
  expect(rates.getWait("up", { routers: ALONE, now: 0 })).toBe(500);
  expect(rates.getWait("up", { routers: ALONE, now: 200 })).toBeCloseTo(300);
  expect(rates.hasRoom("up", { routers: ALONE, now: 500 })).toBe(true);
});

// Guards against routers that act on a limit only once they have had an answer.
test("other routers learn a limit, its renewal and its end", () => {
  const one = createRates("router-0");
  const other = createRates("router-1");
  const routers = createFleet(2);
  const isKnown = () => true;
  one.recordStatement("up", { rate: 1, sentAt: 0, now: 10 });
  other.receiveReports(one.createReports(60), { now: 70, isKnown });
  expect(other.hasRoom("up", { routers, now: 70 })).toBe(false);
  one.recordStatement("up", { rate: 1, sentAt: 8_000, now: 8_010 });
  other.receiveReports(one.createReports(8_060), { now: 8_070, isKnown });
  expect(other.countLimited(12_000)).toBe(1);
  one.recordStatement("up", { rate: "none", sentAt: 12_500, now: 12_510 });
  other.receiveReports(one.createReports(12_560), { now: 12_570, isKnown });
  expect(other.hasRoom("up", { routers, now: 12_570 })).toBe(true);
  // An older report of a third router does not bring the limit back.
  const late = [{ upstream: "up", rate: 1, ageMs: 1_000 }];
  other.receiveReports(late, { now: 12_600, isKnown });
  expect(other.hasRoom("up", { routers, now: 12_600 })).toBe(true);
});

// Guards against a statement that seems newer each time it is passed on, and
// so never ends.
test("a limit that routers tell each other for long ends all the same", () => {
  const fleet = createNames(3).map(createRates);
  fleet[0]!.recordStatement("up", { rate: 1, sentAt: 0, now: 0 });
  for (let now = 0; now < 15_000; now += 200) {
    for (const from of fleet) {
      const reports = from.createReports(now);
      for (const to of fleet) {
        to.receiveReports(reports, { now: now + 20, isKnown: () => true });
      }
    }
  }
  for (const rates of fleet) expect(rates.countLimited(15_000)).toBe(0);
});

test("reports on unknown upstreams are not kept", () => {
  const rates = createRates();
  const reports = [{ upstream: "other", rate: 1, ageMs: 0 }];
  rates.receiveReports(reports, { now: 0, isKnown: () => false });
  expect(rates.countLimited(0)).toBe(0);
});
