import { createMembership } from "./membership.ts";

const REPLICAS = ["a", "b", "c"];

function create() {
  return createMembership({ self: "b", livenessMs: 3_000, stableMs: 5_000 });
}

test("the owner is the first live router, and self counts as live", () => {
  const membership = create();
  expect(membership.findOwner(REPLICAS, 0)).toBe("b");
  membership.recordMessage("a", 10);
  expect(membership.findOwner(REPLICAS, 3_010)).toBe("a");
  expect(membership.findOwner(REPLICAS, 3_011)).toBe("b");
  membership.recordLeaving("b");
  expect(membership.findOwner(REPLICAS, 3_011)).toBeUndefined();
});

test("a peer that returns is live only once it is stable", () => {
  const membership = create();
  membership.recordMessage("a", 0);
  for (let now = 4_000; now <= 9_000; now += 1_000) {
    membership.recordMessage("a", now);
    expect(membership.isLive("a", now)).toBe(now === 9_000);
  }
});

test("a peer is leaving until it sends a message as a new incarnation", () => {
  const membership = create();
  membership.recordMessage("a", 0, { incarnation: "1" });
  membership.recordLeaving("a", { incarnation: "0" });
  expect(membership.isLive("a", 0)).toBe(true);
  membership.recordLeaving("a", { incarnation: "1" });
  membership.recordMessage("a", 1_000, { incarnation: "1" });
  expect(membership.isLive("a", 1_000)).toBe(false);
  for (let now = 2_000; now <= 7_000; now += 1_000) {
    membership.recordMessage("a", now, { incarnation: "2" });
  }
  expect(membership.isLive("a", 7_000)).toBe(true);
});

test("a peer whose process ended is not live until it is stable again", () => {
  const membership = createMembership({ self: "a", stableMs: 5_000 });
  membership.recordMessage("b", 0);
  membership.recordProcessExit("b");
  expect(membership.isLive("b", 1)).toBe(false);
  for (let now = 100; now < 5_100; now += 1_000) {
    membership.recordMessage("b", now);
    expect(membership.isLive("b", now)).toBe(false);
  }
  membership.recordMessage("b", 5_100);
  expect(membership.isLive("b", 5_100)).toBe(true);
});
