import { createLoans, type Loans, type ProcessTimestamp } from "./loans.ts";

const LOAN_MS = 3_000;
const DRIFT_MS = 50;
/** Time until a lent rank, or the rank of a new process, is usable. */
const RECLAIM_MS = LOAN_MS + DRIFT_MS;

function create(self: string, startedAt = -RECLAIM_MS): Loans {
  const incarnation = `${self}-1`;
  const timing = { loanMs: LOAN_MS, driftMs: DRIFT_MS };
  return createLoans({ self, incarnation, startedAt, ...timing });
}

function stamp(router: string, at: number, incarnation = 1): ProcessTimestamp {
  return { incarnation: `${router}-${incarnation}`, at };
}

function getHeldNames(loans: Loans, now: number): string[] {
  return loans.getHeldRanks(now).map(({ replica }) => replica);
}

/** Creates a lender that got a heartbeat of its owner `a` at 0. */
function createLender(): Loans {
  const lender = create("b");
  lender.setOwner("a");
  lender.receive("a", { sentAt: stamp("a", 0), lends: false }, 0);
  return lender;
}

test("a loan ends for the borrower before it ends for the lender", () => {
  const lender = createLender();
  const borrower = create("a");
  const offer = lender.createOffer("a", 100);
  expect(offer).toEqual({ echo: stamp("a", 0), lends: true });
  borrower.receive("b", { sentAt: stamp("b", 100), ...offer }, 200);
  expect(borrower.getHeldRanks(200)).toEqual([
    { replica: "a", heldSince: 0 },
    { replica: "b", heldSince: 200 },
  ]);
  expect(getHeldNames(borrower, LOAN_MS - 1)).toEqual(["a", "b"]);
  expect(getHeldNames(borrower, LOAN_MS)).toEqual(["a"]);
  expect(getHeldNames(lender, 100 + RECLAIM_MS - 1)).toEqual([]);
  expect(lender.getHeldRanks(100 + RECLAIM_MS))
    .toEqual([{ replica: "b", heldSince: 100 + RECLAIM_MS }]);
});

test("a lender lends to a new owner only after the previous loan ended", () => {
  const lender = createLender();
  lender.createOffer("a", 0);
  lender.setOwner("c");
  for (const now of [0, 2_000]) {
    lender.receive("c", { sentAt: stamp("c", now), lends: false }, now);
  }
  expect(lender.createOffer("c", RECLAIM_MS - 1).lends).toBe(false);
  expect(lender.createOffer("a", RECLAIM_MS - 1).lends).toBe(false);
  expect(lender.createOffer("c", RECLAIM_MS).lends).toBe(true);
  expect(getHeldNames(lender, RECLAIM_MS)).toEqual([]);
});

test("a new process does not use or lend its rank while it may be lent", () => {
  const lender = create("b", 0);
  lender.setOwner("a");
  const now = RECLAIM_MS - 1;
  lender.receive("a", { sentAt: stamp("a", now), lends: false }, now);
  expect(getHeldNames(lender, now)).toEqual([]);
  expect(lender.createOffer("a", now).lends).toBe(false);
  expect(getHeldNames(lender, RECLAIM_MS)).toEqual(["b"]);
  expect(lender.createOffer("a", RECLAIM_MS).lends).toBe(true);
});

test("nothing is lent to a silent owner", () => {
  expect(createLender().createOffer("a", LOAN_MS + 1).lends).toBe(false);
});

test.each<[string, ProcessTimestamp]>([
  ["from another process", stamp("a", 0, 2)],
  ["from the future", stamp("a", 101)],
  ["that has expired", stamp("a", 100 - LOAN_MS)],
])("a borrower ignores an echo %s", (_name, echo) => {
  const borrower = create("a");
  const heartbeat = { sentAt: stamp("b", 0), echo, lends: true };
  borrower.receive("b", heartbeat, 100);
  expect(getHeldNames(borrower, 100)).toEqual(["a"]);
});

test("a rank lent again after an interruption is held since then", () => {
  const borrower = create("a");
  const receiveLoan = (at: number, now: number) =>
    borrower.receive(
      "b",
      { sentAt: stamp("b", now), echo: stamp("a", at), lends: true },
      now,
    );
  receiveLoan(0, 10);
  receiveLoan(1_000, 2_000);
  expect(borrower.getHeldRanks(2_000)[1]?.heldSince).toBe(10);
  receiveLoan(4_000, 4_010);
  expect(borrower.getHeldRanks(4_010)[1]?.heldSince).toBe(4_010);
});

test("a return ends the loan at once, and delayed loans are ignored", () => {
  const lender = createLender();
  const borrower = create("a");
  const offer = lender.createOffer("a", 100);
  const returnedStamp = borrower.returnAll(150);
  borrower.receive("b", { sentAt: stamp("b", 100), ...offer }, 200);
  expect(getHeldNames(borrower, 200)).toEqual(["a"]);
  lender.recordReturn("c", returnedStamp, 250);
  expect(getHeldNames(lender, 250)).toEqual([]);
  lender.recordReturn("a", returnedStamp, 250);
  expect(lender.getHeldRanks(250)).toEqual([{ replica: "b", heldSince: 250 }]);
});

test("a delayed return does not end a newer loan", () => {
  const lender = createLender();
  lender.receive("a", { sentAt: stamp("a", 200), lends: false }, 300);
  lender.createOffer("a", 300);
  lender.recordReturn("a", stamp("a", 150), 400);
  lender.recordReturn("a", stamp("a", 350, 2), 400);
  expect(getHeldNames(lender, 400)).toEqual([]);
});

test("a return by one of two borrowing processes does not end the loan", () => {
  const lender = createLender();
  lender.createOffer("a", 0);
  lender.receive("a", { sentAt: stamp("a", 900, 2), lends: false }, 10);
  lender.createOffer("a", 10);
  lender.recordReturn("a", stamp("a", 950, 2), 20);
  expect(getHeldNames(lender, 20)).toEqual([]);
});
