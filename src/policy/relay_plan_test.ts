import { type Hash, loadHash } from "./rendezvous.ts";
import { type RelayCandidate, RelayPlan, selectRelays } from "./relay_plan.ts";

let hash: Hash;

beforeAll(async () => {
  hash = await loadHash();
});

function nameRouters(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `router-${index}`);
}

function toCandidates(names: readonly string[]): RelayCandidate[] {
  return names.map((name) => ({ name, linkMbps: 10 }));
}

function createPlan(self: string, routers: readonly string[]): RelayPlan {
  const plan = new RelayPlan({ self, linkMbps: 10, hash, staleMs: 1_500 });
  plan.setRouters(toCandidates(routers));
  return plan;
}

test("uses all routers as relays in a small fleet, few in a larger one", () => {
  const counts = [1, 6, 9, 10, 83, 330].map((size) =>
    selectRelays(toCandidates(nameRouters(size)), { hash }).length
  );
  expect(counts).toEqual([1, 6, 9, 3, 5, 10]);
});

test("selects the same relays on all routers and spreads the requests", () => {
  const names = nameRouters(83);
  const relays = selectRelays(toCandidates(names), { hash });
  const asked = new Map<string, number>();
  for (const name of names) {
    const plan = createPlan(name, names);
    expect(plan.isRelay).toBe(relays.includes(name));
    const relay = plan.next(0)!;
    expect(relay).not.toBe(name);
    expect(relays).toContain(relay);
    asked.set(relay, (asked.get(relay) ?? 0) + 1);
  }
  expect(Math.max(...asked.values())).toBeLessThan(2 * 83 / relays.length);
});

test("avoids a relay for some seconds after two missed answers", () => {
  const names = nameRouters(20);
  const self = names.find((name) => !createPlan(name, names).isRelay)!;
  const plan = createPlan(self, names);
  const first = plan.next(0)!;
  plan.recordMissedAnswer(first, 0);
  expect(plan.next(0)).toBe(first);
  plan.recordMissedAnswer(first, 400);
  const second = plan.next(400);
  expect(second).not.toBe(first);
  expect(plan.next(3_400)).toBe(first);
});

test("avoids relays with old data but always returns a relay", () => {
  const names = nameRouters(12);
  const self = names.find((name) => !createPlan(name, names).isRelay)!;
  const plan = createPlan(self, names);
  const relays = new Set<string>();
  for (let round = 0; round < 3; round++) {
    const relay = plan.next(0)!;
    relays.add(relay);
    plan.recordAnswer(relay, { ageMs: 1_600, now: 0 });
  }
  expect(relays.size).toBe(3);
  expect(relays).toContain(plan.next(0));
  expect(plan.next(0)).toBeDefined();
});

test("returns no relay for the only router", () => {
  const plan = createPlan("router-1", []);
  expect(plan.isRelay).toBe(true);
  expect(plan.next(0)).toBeUndefined();
});

test("prefers hosts with fast links as relays", () => {
  const fast = ["router-7", "router-30", "router-61"];
  const candidates = nameRouters(83).map((name) => ({
    name,
    linkMbps: fast.includes(name) ? 200 : 10,
  }));
  const relays = selectRelays(candidates, { hash });
  expect(relays.slice(0, 3).sort()).toEqual([...fast].sort());
  expect(relays).toHaveLength(5);
});
