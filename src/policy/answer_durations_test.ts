import { AnswerDurations } from "./answer_durations.ts";

test("estimates from recent answers of the same route", () => {
  const durations = new AnswerDurations();
  for (let each = 1; each <= 19; each++) durations.record("plan", each);
  expect(durations.findUsualMs("plan")).toBeUndefined();
  durations.record("plan", 9_000);
  expect(durations.findUsualMs("plan")).toBe(19);
  durations.record("plan", 9_000);
  expect(durations.findUsualMs("plan")).toBe(9_000);
  expect(durations.findUsualMs("other")).toBeUndefined();
  for (let each = 0; each < 200; each++) durations.record("plan", 5);
  expect(durations.findUsualMs("plan")).toBe(5);
});

test("forgets the routes without answers for longest", () => {
  const durations = new AnswerDurations();
  for (let each = 0; each < 20; each++) durations.record("old", 1);
  for (let each = 0; each < 1_024; each++) durations.record(`r-${each}`, 1);
  expect(durations.findUsualMs("old")).toBeUndefined();
});
