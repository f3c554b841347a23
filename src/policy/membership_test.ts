import { createMembership } from "./membership.ts";

const REPLICAS = ["a", "b", "c"];

function create() {
  return createMembership({ self: "b", livenessMs: 3_000, stableMs: 5_000 });
}

test("the owner is the first live router, and self counts as live", () => {
  const membership = create();
  expect(membership.ownerOf(REPLICAS, 0)).toBe("b");
  membership.heard("a", 10);
  expect(membership.ownerOf(REPLICAS, 3_010)).toBe("a");
  expect(membership.ownerOf(REPLICAS, 3_011)).toBe("b");
  membership.leaving("b");
  expect(membership.ownerOf(REPLICAS, 3_011)).toBeUndefined();
});

test("a peer that returns is live only once it is stable", () => {
  const membership = create();
  membership.heard("a", 0);
  for (let now = 4_000; now <= 9_000; now += 1_000) {
    membership.heard("a", now);
    expect(membership.isLive("a", now)).toBe(now === 9_000);
  }
});

test("a peer is leaving until it sends a message as a new incarnation", () => {
  const membership = create();
  membership.heard("a", 0, { incarnation: "1" });
  membership.leaving("a", { incarnation: "0" });
  expect(membership.isLive("a", 0)).toBe(true);
  membership.leaving("a", { incarnation: "1" });
  membership.heard("a", 1_000, { incarnation: "1" });
  expect(membership.isLive("a", 1_000)).toBe(false);
  for (let now = 2_000; now <= 7_000; now += 1_000) {
    membership.heard("a", now, { incarnation: "2" });
  }
  expect(membership.isLive("a", 7_000)).toBe(true);
});

test("a peer whose process ended is not live until it is stable again", () => {
  const membership = createMembership({ self: "a", stableMs: 5_000 });
  membership.heard("b", 0);
  membership.lost("b");
  expect(membership.isLive("b", 1)).toBe(false);
  for (let now = 100; now < 5_100; now += 1_000) {
    membership.heard("b", now);
    expect(membership.isLive("b", now)).toBe(false);
  }
  membership.heard("b", 5_100);
  expect(membership.isLive("b", 5_100)).toBe(true);
});
