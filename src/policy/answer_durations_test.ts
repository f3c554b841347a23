import { AnswerDurations } from "./answer_durations.ts";

test("estimates from recent answers of the same route", () => {
  const durations = new AnswerDurations();
  for (let each = 1; each <= 4; each++) durations.record("plan", each);
  expect(durations.findMs("plan", 0.5)).toBeUndefined();
  for (let each = 5; each <= 9; each++) durations.record("plan", each);
  durations.record("plan", 9_000);
  expect(durations.findMs("plan", 0.5)).toBe(5);
  expect(durations.findMs("plan", 0.9)).toBe(9);
  expect(durations.findMs("plan", 1)).toBe(9_000);
  expect(durations.findMs("other", 0.5)).toBeUndefined();
  for (let each = 0; each < 200; each++) durations.record("plan", 4);
  expect(durations.findMs("plan", 1)).toBe(4);
});

test("forgets the routes without answers for longest", () => {
  const durations = new AnswerDurations();
  for (let each = 0; each < 20; each++) durations.record("old", 1);
  for (let each = 0; each < 1_024; each++) durations.record(`r-${each}`, 1);
  expect(durations.findMs("old", 0.5)).toBeUndefined();
});
