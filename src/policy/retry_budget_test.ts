import { createRetryBudget } from "./retry_budget.ts";

const FAILED = { idempotent: true, tried: [4] };

test("limits retries to a tenth of the requests of the window", () => {
  const budget = createRetryBudget({ windowMs: 12_000 });
  let retries = 0;
  for (let now = 0; now < 6_000; now += 10) {
    budget.recordRequest(now);
    if (budget.tryRetry(FAILED, now).kind === "retry") retries++;
  }
  expect(retries).toBe(60);
  const later = budget.tryRetry(FAILED, 30_000);
  expect(later).toEqual({ kind: "give-up", reason: "budget-spent" });
});

test("retries only idempotent requests, once, at another upstream", () => {
  const budget = createRetryBudget();
  for (let index = 0; index < 100; index++) budget.recordRequest(0);
  expect([
    budget.tryRetry(FAILED, 0),
    budget.tryRetry({ ...FAILED, idempotent: false }, 0),
    budget.tryRetry({ ...FAILED, tried: [4, 5] }, 0),
  ]).toMatchSnapshot();
});
