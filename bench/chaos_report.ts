/** Renders what a run under faults came to. */
import type { ChaosEvidence } from "./chaos_evidence.ts";
import { type ChaosFault, isExcused } from "./chaos_verdict.ts";
import { renderTable, type Row } from "./demo_table.ts";
import type { KindReport, LoadReport } from "./load/report.ts";

const MAX_LISTED = 20;

/** Renders the figures and the faults. */
export function renderChaos(
  evidence: ChaosEvidence,
  faults: readonly ChaosFault[],
): string {
  const { load, recovery } = evidence;
  const rows: Row[] = [
    ["", "sent", "whole", "refused", "unknown", "broken"],
    toRow("chats under faults", load.chats),
    toRow("bookings under faults", load.bookings),
    toRow("chats after them", recovery.chats),
    toRow("bookings after them", recovery.bookings),
  ];
  const parts = [
    renderTable(rows),
    renderTable(createFigures(evidence)),
    `Refusals: ${renderCounts(sumRefusals(load))}`,
  ];
  if (faults.length > 0) parts.push(renderFaults(faults));
  return parts.join("\n\n");
}

function createFigures(evidence: ChaosEvidence): Row[] {
  const { load, windows, answers, upstreams } = evidence;
  const broken = answers.filter(({ outcome }) => outcome.kind === "broken");
  const excused = broken.filter((answer) => isExcused(answer, windows));
  const falls = upstreams.reduce((sum, { record }) => sum + record.falls, 0);
  return [
    ["faults carried out", `${windows.length}`],
    ["broken by a kill or a cut of the other end", `${excused.length}`],
    ["broken otherwise", `${broken.length - excused.length}`],
    ["bookings that ran", `${load.bookingRuns?.ran ?? 0}`],
    ["bookings that ran twice", `${load.bookingRuns?.ranTwice.length ?? 0}`],
    ["falls of upstreams", `${falls}`],
    ["cache reuse of returning chats", load.cacheReuse.ratio.toFixed(3)],
    ["first token p99, ms", load.firstTokenMs.p99.toFixed(0)],
  ];
}

function toRow(label: string, kind: KindReport): Row {
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

function renderFaults(faults: readonly ChaosFault[]): string {
  const counts: Record<string, number> = {};
  for (const { check } of faults) counts[check] = (counts[check] ?? 0) + 1;
  const listed = faults.slice(0, MAX_LISTED)
    .map(({ check, detail }) => `- ${check}: ${detail}`);
  return `Faults: ${renderCounts(counts)}\n${listed.join("\n")}`;
}
