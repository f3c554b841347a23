import { UnhandledErrors } from "./unhandled_errors.ts";

function countUntilStop({ intervalMs }: { intervalMs: number }): number {
  const errors = new UnhandledErrors();
  for (let count = 1; count <= 1_000; count++) {
    if (errors.record(count * intervalMs) === "stop") return count;
  }
  return Infinity;
}

test("a process goes on after single errors and stops after many", () => {
  expect(countUntilStop({ intervalMs: 1_000 })).toBe(Infinity);
  expect(countUntilStop({ intervalMs: 530 })).toBe(Infinity);
  expect(countUntilStop({ intervalMs: 500 })).toBe(20);
  expect(countUntilStop({ intervalMs: 0 })).toBe(20);
});
