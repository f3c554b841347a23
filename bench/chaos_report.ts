/** Renders the result of a chaos run as text. */
import type { ChaosEvidence } from "./chaos_evidence.ts";
import { type ChaosViolation, isAcceptable } from "./chaos_verdict.ts";
import { renderTable, type Row } from "./demo_table.ts";
import type { LoadReport, OutcomeReport } from "./load/report.ts";

const MAX_LISTED_VIOLATIONS = 20;

/** Renders the figures of a run and the violations found in it. */
export function renderChaosReport(
  evidence: ChaosEvidence,
  violations: readonly ChaosViolation[],
): string {
  const { load, recovery } = evidence;
  const rows: Row[] = [
    ["", "sent", "whole", "refused", "unknown", "broken"],
    createCountRow("chats under faults", load.chats),
    createCountRow("bookings under faults", load.bookings),
    createCountRow("chats after them", recovery.chats),
    createCountRow("bookings after them", recovery.bookings),
  ];
  const parts = [
    renderTable(rows),
    renderTable(createFigureRows(evidence)),
    `Refusals: ${renderCounts(sumRefusals(load))}`,
  ];
  if (violations.length > 0) parts.push(renderViolations(violations));
  return parts.join("\n\n");
}

function createFigureRows(evidence: ChaosEvidence): Row[] {
  const { load, windows, answers, upstreams } = evidence;
  const broken = answers.filter(({ outcome }) => outcome.kind === "broken");
  const acceptable = broken.filter((answer) => isAcceptable(answer, windows));
  const falls = upstreams.reduce((sum, { record }) => sum + record.falls, 0);
  return [
    ["faults carried out", `${windows.length}`],
    ["broken by a kill or a cut of the other end", `${acceptable.length}`],
    ["broken otherwise", `${broken.length - acceptable.length}`],
    ["bookings that ran", `${load.bookingRuns?.ran ?? 0}`],
    ["bookings that ran twice", `${load.bookingRuns?.ranTwice.length ?? 0}`],
    ["falls of upstreams", `${falls}`],
    ["cache reuse of returning chats", load.cacheReuse.ratio.toFixed(3)],
    ["first token p99, ms", load.firstTokenMs.p99.toFixed(0)],
  ];
}

function createCountRow(label: string, kind: OutcomeReport): Row {
  const { sent, whole, refusedUnknown, broken, refused } = kind;
  const refusals = Object.values(refused).reduce((sum, each) => sum + each, 0);
  const cells = [sent, whole, refusals, refusedUnknown, broken].map(String);
  return [label, ...cells];
}

function sumRefusals({ chats, bookings }: LoadReport): Record<string, number> {
  const total: Record<string, number> = { ...chats.refused };
  for (const [code, count] of Object.entries(bookings.refused)) {
    total[code] = (total[code] ?? 0) + count;
  }
  return total;
}

function renderCounts(counts: Readonly<Record<string, number>>): string {
  const entries = Object.entries(counts);
  if (entries.length === 0) return "none";
  return entries.map(([name, count]) => `${name} ${count}`).join(", ");
}

function renderViolations(violations: readonly ChaosViolation[]): string {
  const counts: Record<string, number> = {};
  for (const { check } of violations) counts[check] = (counts[check] ?? 0) + 1;
  const listed = violations.slice(0, MAX_LISTED_VIOLATIONS)
    .map(({ check, detail }) => `- ${check}: ${detail}`);
  return `Faults: ${renderCounts(counts)}\n${listed.join("\n")}`;
}
