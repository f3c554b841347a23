/** Checks the results of the demo and renders them as a table. */
import type { LoadReport, OutcomeReport } from "./load/report.ts";
import { renderTable, type Row } from "./demo_table.ts";

/** Control traffic of one router during the load. */
export interface ControlTraffic {
  readonly router: string;
  readonly bytesPerSecond: number;
}

/** Results of the demo. */
export interface DemoResult {
  readonly load: LoadReport;
  readonly control: readonly ControlTraffic[];
  /** Breaches of invariants, summed over the counters of the routers. */
  readonly breaches: number;
  /** Falls of upstreams, summed over their records. */
  readonly falls: number;
}

/** Returns the failed checks with their counts; empty if the demo passed. */
export function findDemoFailures(result: DemoResult): string[] {
  const { load, breaches, falls } = result;
  const { bookingRuns } = load;
  const counts: readonly (readonly [string, number])[] = [
    ["chats that were broken", load.chats.broken],
    ["chats that were refused", countRefused(load.chats)],
    ["bookings that were broken", load.bookings.broken],
    ["bookings that were refused", countRefused(load.bookings)],
    ["bookings that ran twice", bookingRuns?.ranTwice.length ?? 0],
    [
      "bookings that ran though they were refused as not run",
      bookingRuns?.ranThoughRefused.length ?? 0,
    ],
    ["bookings without a run", bookingRuns?.missing.length ?? 0],
    ["breaches of invariants", breaches],
    ["falls of upstreams", falls],
  ];
  const failures = counts
    .filter(([, count]) => count > 0)
    .map(([what, count]) => `${what}: ${count}`);
  if (load.chats.whole === 0) failures.push("no chat was answered");
  if (load.bookings.whole === 0) failures.push("no booking was answered");
  return failures;
}

/** Renders the results as plain-text tables. */
export function renderDemoReport(
  { load, control, ...result }: DemoResult,
): string {
  const bytes = control.map(({ bytesPerSecond }) => bytesPerSecond);
  const rows: Row[] = [
    ["", "chats", "bookings"],
    ["sent", `${load.chats.sent}`, `${load.bookings.sent}`],
    ["whole", `${load.chats.whole}`, `${load.bookings.whole}`],
    ["refused", renderRefused(load.chats), renderRefused(load.bookings)],
    ["broken", `${load.chats.broken}`, `${load.bookings.broken}`],
  ];
  const { cacheReuse, firstTokenMs, bookingRuns } = load;
  const figures: Row[] = [
    ["cache reuse of returning chats", cacheReuse.ratio.toFixed(3)],
    ["load skew over engines, max/mean", load.upstreamSkew.toFixed(2)],
    ["first token p50, ms", firstTokenMs.p50.toFixed(0)],
    ["first token p99, ms", firstTokenMs.p99.toFixed(0)],
    ["bookings run twice", `${bookingRuns?.ranTwice.length ?? "unknown"}`],
    ["control bytes/s per router, mean", getMean(bytes).toFixed(0)],
    ["control bytes/s per router, max", Math.max(0, ...bytes).toFixed(0)],
    ["breaches of invariants", `${result.breaches}`],
    ["falls of upstreams", `${result.falls}`],
  ];
  return `${renderTable(rows)}\n\n${renderTable(figures)}\n`;
}

function countRefused({ refused }: OutcomeReport): number {
  return Object.values(refused).reduce((sum, count) => sum + count, 0);
}

function renderRefused(kind: OutcomeReport): string {
  const count = countRefused(kind);
  if (count === 0) return "0";
  const codes = Object.entries(kind.refused)
    .map(([code, each]) => `${code} ${each}`);
  return `${count} (${codes.join(", ")})`;
}

function getMean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}
