import type { LoadReport } from "../types.ts";
import { createUpstreamLedger } from "./upstream_ledger.ts";

const TRANSIT_MS = 100;

function create() {
  return createUpstreamLedger({ transitMs: TRANSIT_MS, driftMs: 0 });
}

function report(inFlight: number, ageMs = 0): LoadReport {
  return { incarnation: "1", inFlight, cold: false, leaving: false, ageMs };
}

test("uses a report only for work that it must include", () => {
  const ledger = create();
  ledger.recordReport(report(2, 50), 149);
  expect(ledger.getForeignBound(0)).toBe(Infinity);
  ledger.recordReport(report(2, 50), 150);
  expect(ledger.getForeignBound(0)).toBe(2);
  expect(ledger.getForeignBound(1)).toBe(Infinity);
});

test("subtracts own work that the report must include", () => {
  const ledger = create();
  ledger.begin(0);
  ledger.begin(101);
  ledger.recordReport(report(3), 200);
  expect(ledger.getForeignBound(0)).toBe(2);
  ledger.recordEnd(0);
  expect(ledger.getForeignBound(0)).toBe(3);
  expect(ledger.own).toBe(1);
});

test("uses the lowest count, independent of the order of reports", () => {
  const ledger = create();
  ledger.recordReport(report(5), 900);
  ledger.recordReport(report(1), 300);
  ledger.recordReport(report(3), 600);
  expect([0, 250, 600].map((since) => ledger.getForeignBound(since)))
    .toEqual([1, 3, 5]);
});

test("counts abandoned work as own until a report includes it", () => {
  const ledger = create();
  ledger.recordReport(report(0), 100);
  ledger.begin(200);
  ledger.recordAbandoned(200);
  expect([ledger.own, ledger.getForeignBound(0)]).toEqual([1, 0]);
  ledger.recordReport(report(0), 299);
  expect(ledger.own).toBe(1);
  ledger.recordReport(report(1), 300);
  expect([ledger.own, ledger.getForeignBound(0)]).toEqual([0, 1]);
});

test("ignores reports made before abandoned work began", () => {
  const ledger = create();
  ledger.begin(200);
  ledger.recordReport(report(1), 300);
  ledger.recordAbandoned(200);
  ledger.recordReport(report(0), 250);
  expect([ledger.own, ledger.getForeignBound(0)]).toEqual([0, 1]);
});

test("asserts that ended work is known", () => {
  expect(() => create().recordEnd(0)).toThrow("unknown-request");
});
