import { AttemptPlan, type NextStep, type TryFailure } from "./attempt_plan.ts";
import type { RouteKind } from "../routing/types.ts";

const GRANTED = { tryRetry: () => true };
const KINDS: readonly RouteKind[] = ["idempotent", "non-idempotent", "stream"];
const ENDS: readonly TryFailure[] = [
  "not-sent",
  "misdirected",
  "refused",
  "failed",
  "no-answer",
];

test("next steps after the first and second failed try of each kind", () => {
  const rows: Record<string, NextStep[]> = {};
  for (const kind of KINDS) {
    for (const end of ENDS) {
      const plan = new AttemptPlan({
        kind,
        isResumable: false,
        maxAttempts: 2,
      });
      rows[`${kind}, ${end}`] = [
        plan.next(end, GRANTED),
        plan.next(end, GRANTED),
      ];
    }
  }
  expect(rows).toMatchSnapshot();
});

test("a resumable stream is retried like an idempotent request", () => {
  const plan = new AttemptPlan({
    kind: "stream",
    isResumable: true,
    maxAttempts: 2,
  });
  expect(plan.next("no-answer", GRANTED)).toBe("try-again");
  expect(plan.next("refused", GRANTED)).toBe("fail");
});

test("a misdirected try does not count as an attempt", () => {
  const plan = new AttemptPlan({
    kind: "stream",
    isResumable: false,
    maxAttempts: 1,
  });
  expect(plan.next("misdirected", GRANTED)).toBe("try-again");
  expect(plan.next("no-answer", GRANTED)).toBe("fail");
});

test("without a retry in the budget the first failure is final", () => {
  const plan = new AttemptPlan({
    kind: "idempotent",
    isResumable: false,
    maxAttempts: 3,
  });
  expect(plan.next("refused", { tryRetry: () => false })).toBe("refuse");
});

test("a try that is abandoned while in flight may have run", () => {
  const plan = new AttemptPlan({
    kind: "non-idempotent",
    isResumable: false,
    maxAttempts: 2,
  });
  expect(plan.next("refused", GRANTED)).toBe("try-again");
  expect(plan.isNotRun).toBe(true);
  plan.abandon();
  expect(plan.isNotRun).toBe(false);
});

test("the retry budget is not used if no other try would follow", () => {
  const plan = new AttemptPlan({
    kind: "non-idempotent",
    isResumable: false,
    maxAttempts: 2,
  });
  const tryRetry = jest.fn(() => true);
  expect(plan.next("no-answer", { tryRetry })).toBe("fail");
  expect(tryRetry).not.toHaveBeenCalled();
});

// Guards against a request that is sent to more upstreams than its route allows
// because several of them have it at a time (BUDGET).
test("open tries count as attempts", () => {
  const create = (kind: RouteKind) =>
    new AttemptPlan({ kind, isResumable: false, maxAttempts: 3 });
  const plan = create("idempotent");
  expect([1, 2, 3].map((open) => plan.mayTryBeside(open)))
    .toEqual([true, true, false]);
  plan.recordFailure("refused");
  expect([1, 2].map((open) => plan.mayTryBeside(open))).toEqual([true, false]);
  expect(plan.isNotRun).toBe(true);
  plan.recordLeft();
  expect(plan.mayTryBeside(1)).toBe(false);
  expect(plan.isNotRun).toBe(false);
  expect(create("non-idempotent").mayTryBeside(1)).toBe(false);
});
