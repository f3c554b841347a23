import { createLoans, type Loans, type Stamp } from "./loans.ts";

const LOAN_MS = 3_000;
const DRIFT_MS = 50;
/** When a rank that was lent out at 0 is back, and when a new start may lend. */
const BACK_MS = LOAN_MS + DRIFT_MS;

function create(self: string, startedAt = -BACK_MS): Loans {
  const incarnation = `${self}-1`;
  const timing = { loanMs: LOAN_MS, driftMs: DRIFT_MS };
  return createLoans({ self, incarnation, startedAt, ...timing });
}

function stamp(router: string, at: number, incarnation = 1): Stamp {
  return { incarnation: `${router}-${incarnation}`, at };
}

function namesOf(loans: Loans, now: number): string[] {
  return loans.heldRanks(now).map(({ replica }) => replica);
}

/** A lender that has heard `a` at 0 and believes it to be the owner. */
function createLender(): Loans {
  const lender = create("b");
  lender.setOwner("a");
  lender.receive("a", { sentAt: stamp("a", 0), lends: false }, 0);
  return lender;
}

test("a loan is good until the echo and out until later", () => {
  const lender = createLender();
  const borrower = create("a");
  const offer = lender.offerFor("a", 100);
  expect(offer).toEqual({ echo: stamp("a", 0), lends: true });
  borrower.receive("b", { sentAt: stamp("b", 100), ...offer }, 200);
  expect(borrower.heldRanks(200)).toEqual([
    { replica: "a", gainedAt: 0 },
    { replica: "b", gainedAt: 200 },
  ]);
  expect(namesOf(borrower, LOAN_MS - 1)).toEqual(["a", "b"]);
  expect(namesOf(borrower, LOAN_MS)).toEqual(["a"]);
  expect(namesOf(lender, 100 + BACK_MS - 1)).toEqual([]);
  expect(lender.heldRanks(100 + BACK_MS))
    .toEqual([{ replica: "b", gainedAt: 100 + BACK_MS }]);
});

test("a lender that changes its mind waits until the loan is back", () => {
  const lender = createLender();
  lender.offerFor("a", 0);
  lender.setOwner("c");
  for (const now of [0, 2_000]) {
    lender.receive("c", { sentAt: stamp("c", now), lends: false }, now);
  }
  expect(lender.offerFor("c", BACK_MS - 1).lends).toBe(false);
  expect(lender.offerFor("a", BACK_MS - 1).lends).toBe(false);
  expect(lender.offerFor("c", BACK_MS).lends).toBe(true);
  expect(namesOf(lender, BACK_MS)).toEqual([]);
});

test("a new start neither uses nor lends its rank at first", () => {
  const lender = create("b", 0);
  lender.setOwner("a");
  const now = BACK_MS - 1;
  lender.receive("a", { sentAt: stamp("a", now), lends: false }, now);
  expect(namesOf(lender, now)).toEqual([]);
  expect(lender.offerFor("a", now).lends).toBe(false);
  expect(namesOf(lender, BACK_MS)).toEqual(["b"]);
  expect(lender.offerFor("a", BACK_MS).lends).toBe(true);
});

test("a silent owner is lent nothing", () => {
  expect(createLender().offerFor("a", LOAN_MS + 1).lends).toBe(false);
});

test.each<[string, Stamp]>([
  ["another process's", stamp("a", 0, 2)],
  ["a future", stamp("a", 101)],
  ["an expired", stamp("a", 100 - LOAN_MS)],
])("a borrower ignores %s echo", (_name, echo) => {
  const borrower = create("a");
  const heartbeat = { sentAt: stamp("b", 0), echo, lends: true };
  borrower.receive("b", heartbeat, 100);
  expect(namesOf(borrower, 100)).toEqual(["a"]);
});

test("a break in a loan makes it a new gain", () => {
  const borrower = create("a");
  const lend = (at: number, now: number) =>
    borrower.receive(
      "b",
      { sentAt: stamp("b", now), echo: stamp("a", at), lends: true },
      now,
    );
  lend(0, 10);
  lend(1_000, 2_000);
  expect(borrower.heldRanks(2_000)[1]?.gainedAt).toBe(10);
  lend(4_000, 4_010);
  expect(borrower.heldRanks(4_010)[1]?.gainedAt).toBe(4_010);
});

test("a returned loan is back at once, and late loans are refused", () => {
  const lender = createLender();
  const borrower = create("a");
  const offer = lender.offerFor("a", 100);
  const returnedStamp = borrower.returnAll(150);
  borrower.receive("b", { sentAt: stamp("b", 100), ...offer }, 200);
  expect(namesOf(borrower, 200)).toEqual(["a"]);
  lender.returned("c", returnedStamp, 250);
  expect(namesOf(lender, 250)).toEqual([]);
  lender.returned("a", returnedStamp, 250);
  expect(lender.heldRanks(250)).toEqual([{ replica: "b", gainedAt: 250 }]);
});

test("a late return does not end a newer loan", () => {
  const lender = createLender();
  lender.receive("a", { sentAt: stamp("a", 200), lends: false }, 300);
  lender.offerFor("a", 300);
  lender.returned("a", stamp("a", 150), 400);
  lender.returned("a", stamp("a", 350, 2), 400);
  expect(namesOf(lender, 400)).toEqual([]);
});

test("a return by one of two borrowing processes ends no loan", () => {
  const lender = createLender();
  lender.offerFor("a", 0);
  lender.receive("a", { sentAt: stamp("a", 900, 2), lends: false }, 10);
  lender.offerFor("a", 10);
  lender.returned("a", stamp("a", 950, 2), 20);
  expect(namesOf(lender, 20)).toEqual([]);
});
