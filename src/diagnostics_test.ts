import { createRefusal } from "./diagnostics.ts";

// Guards against answers and log lines as long as the text that they quote.
test("a detail is cut to a length", () => {
  const { detail } = createRefusal("bad-request", `/${"a".repeat(30_000)}`);
  expect(detail.length).toBe(1_001);
  expect(detail).toMatch(/^\/a+…$/);
  expect(createRefusal("bad-request", "short").detail).toBe("short");
});
