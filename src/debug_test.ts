import * as Debug from "./debug.ts";

test("a breach throws unless a breach handler is installed", () => {
  expect(() => Debug.assert(false, "sum", () => "3 > 2")).toThrow("sum: 3 > 2");
  const reportedInvariants: string[] = [];
  const previous = Debug.setBreachHandler((breach) => {
    reportedInvariants.push(breach.invariant);
  });
  Debug.assert(false, "sum");
  Debug.assert(true, "other");
  Debug.setBreachHandler(previous);
  expect(reportedInvariants).toEqual(["sum"]);
});
