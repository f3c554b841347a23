import fc from "fast-check";
import {
  allowance,
  type CapacityShares,
  createCapacityShares,
} from "./capacity_shares.ts";
import { createLoans, type Loans } from "./loans.ts";
import { type Hash, loadHash, rankByRendezvous } from "./rendezvous.ts";
import { arbitraryScenario } from "./testing/arbitrary_scenario.ts";
import { isOutcomeCorrect, runScenario } from "./testing/shares_model.ts";

const SEED = 20_261;
const RUN_COUNT = 10_000;
const UPSTREAM = "upstream";
const LIMIT = 8;
/** Long enough before 0 that all initial loans and hold-downs have ended. */
const STARTED_AT = -100_000;
let hash: Hash;

beforeAll(async () => {
  hash = await loadHash();
});

test("the slots of all ranks add up to the limit", () => {
  const limit = fc.integer({ min: 1, max: 100 });
  const replicaCount = fc.integer({ min: 1, max: 9 });
  fc.assert(
    fc.property(limit, replicaCount, (limit, replicaCount) => {
      const ranks = Array.from({ length: replicaCount }, (_, rank) => rank);
      const shares = ranks.map((rank) =>
        allowance({ limit, foreign: 0, replicaCount, ranks: [rank] })
      );
      expect(shares.reduce((sum, share) => sum + share)).toBe(limit);
      const all = { limit, foreign: 0, replicaCount, ranks };
      expect(allowance(all)).toBe(limit);
      expect(allowance({ ...all, foreign: limit + 1 })).toBe(0);
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test("the in-flight work never exceeds the limit; the owner gets all of it", () => {
  let admissions = 0;
  let sharedAdmissions = 0;
  fc.assert(
    fc.property(arbitraryScenario, (scenario) => {
      const outcome = runScenario(scenario, hash);
      admissions += outcome.admissions;
      sharedAdmissions += outcome.sharedAdmissions;
      return isOutcomeCorrect(outcome, scenario);
    }),
    { seed: SEED, numRuns: RUN_COUNT },
  );
  expect(admissions).toBeGreaterThan(10 * RUN_COUNT);
  expect(sharedAdmissions).toBeGreaterThan(RUN_COUNT);
});

interface Router {
  readonly name: string;
  readonly loans: Loans;
  readonly shares: CapacityShares;
}

function createRouter(name: string, replicas = ["a", "b"]): Router {
  const incarnation = `${name}-1`;
  const loans = createLoans({ self: name, incarnation, startedAt: STARTED_AT });
  const shares = createCapacityShares({
    loans,
    hash,
    maxConfirmationAgeMs: Infinity,
  });
  shares.setReplicas(replicas, STARTED_AT);
  shares.confirm(STARTED_AT);
  return { name, loans, shares };
}

function recordReport({ shares }: Router, inFlight: number, now: number): void {
  const base = { incarnation: "1", cold: false, leaving: false, ageMs: 0 };
  shares.recordReport(UPSTREAM, { ...base, inFlight }, now);
}

function admitUntilFull({ shares }: Router, now: number): number {
  let count = 0;
  while (shares.tryBegin(UPSTREAM, LIMIT, now)) count++;
  return count;
}

/** Lends the rank of `lender` by heartbeats without delay. */
function lend(lender: Router, borrower: Router, now: number): void {
  const stampOf = ({ name }: Router) => ({ incarnation: `${name}-1`, at: now });
  lender.loans.setOwner(borrower.name);
  const request = { sentAt: stampOf(borrower), lends: false };
  lender.loans.receive(borrower.name, request, now);
  const offer = lender.loans.createOffer(borrower.name, now);
  const answer = { sentAt: stampOf(lender), ...offer };
  borrower.loans.receive(lender.name, answer, now);
}

test("a gained rank adds no capacity that its former holder's work uses", () => {
  const [first, second, third] = ["a", "b", "c"].map((name) =>
    createRouter(name)
  ) as [Router, Router, Router];
  recordReport(first, 0, 0);
  recordReport(second, 0, 0);
  const formerHolderCount = admitUntilFull(second, 0);
  lend(second, third, 100);
  recordReport(third, formerHolderCount, 1_000);
  // `first` has received nothing since 0, so it may still use its own slots.
  expect([
    formerHolderCount,
    admitUntilFull(third, 1_000),
    admitUntilFull(first, 1_000),
  ]).toEqual([4, 0, 4]);
});

test("an owner that holds every rank gets the whole limit", () => {
  const [owner, lender] = ["a", "b"].map((name) => createRouter(name)) as [
    Router,
    Router,
  ];
  recordReport(owner, 0, 0);
  lend(lender, owner, 100);
  expect(owner.shares.roomFor(UPSTREAM, LIMIT, 100)).toBe(4);
  expect(owner.shares.getForeignBound(UPSTREAM, 100)).toBe(Infinity);
  recordReport(owner, 2, 1_000);
  expect(owner.shares.roomFor(UPSTREAM, LIMIT, 1_000)).toBe(6);
  expect(owner.shares.estimateInFlight(UPSTREAM, 1_000)).toBe(2);
  recordReport(owner, 0, 1_100);
  expect(owner.shares.roomFor(UPSTREAM, LIMIT, 1_100)).toBe(8);
});

test("a share shrinks at once and grows after the hold-down", () => {
  const router = createRouter("a", ["a", "b"]);
  recordReport(router, 0, 0);
  router.shares.setReplicas(["a", "b", "c", "d"], 100);
  expect(router.shares.roomFor(UPSTREAM, LIMIT, 100)).toBe(2);
  router.shares.setReplicas(["a"], 200);
  recordReport(router, 0, 12_199);
  expect(router.shares.roomFor(UPSTREAM, LIMIT, 12_199)).toBe(2);
  // The hold-down, the transit bound and the drift.
  recordReport(router, 0, 12_499);
  expect(router.shares.roomFor(UPSTREAM, LIMIT, 12_499)).toBe(2);
  recordReport(router, 0, 12_500);
  expect(router.shares.roomFor(UPSTREAM, LIMIT, 12_500)).toBe(8);
});

test("a start after a gap admits nothing until the hold-down has passed", () => {
  const router = createRouter("a", ["a"]);
  router.shares.setReplicas(["a", "b"], 0, {
    afterGap: true,
    inForceMs: 2_000,
  });
  recordReport(router, 0, 9_999);
  expect(router.shares.roomFor(UPSTREAM, LIMIT, 9_999)).toBe(0);
  recordReport(router, 0, 10_250 + 50);
  expect(router.shares.roomFor(UPSTREAM, LIMIT, 10_300)).toBe(4);
});

test("without a confirmed configuration no request is admitted", () => {
  const loans = createRouter("a").loans;
  const shares = createCapacityShares({
    loans,
    hash,
    maxConfirmationAgeMs: 1_000,
  });
  shares.setReplicas(["a"], STARTED_AT);
  const router = { name: "a", loans, shares };
  recordReport(router, 0, 0);
  expect(shares.roomFor(UPSTREAM, LIMIT, 0)).toBe(0);
  shares.confirm(0);
  expect(shares.roomFor(UPSTREAM, LIMIT, 1_000)).toBe(LIMIT);
  expect(shares.roomFor(UPSTREAM, LIMIT, 1_001)).toBe(0);
});

test("a limit below the replica count leaves the slots to the first ranks", () => {
  const replicas = ["a", "b", "c"];
  const roomByRank = rankByRendezvous(UPSTREAM, replicas, { hash }).map(
    (name) => {
      const router = createRouter(name, replicas);
      recordReport(router, 0, 0);
      return router.shares.roomFor(UPSTREAM, 2, 0);
    },
  );
  expect(roomByRank).toEqual([1, 1, 0]);
});
