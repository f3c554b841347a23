/** Renders figures as plain-text tables. */
import type { Verdict } from "./measure_targets.ts";

/** Renders one row per line with aligned columns; the first row is the head. */
export function renderTable(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd()
  ).join("\n");
}

/**
 * Formats a whole number, or one of magnitude 100 or more, as an integer; any
 * other number with three significant digits; NaN as `-`.
 */
export function formatNumber(value: number): string {
  if (Number.isNaN(value)) return "-";
  if (Math.abs(value) >= 100 || Number.isInteger(value)) {
    return Math.round(value).toString();
  }
  return value.toPrecision(3);
}

/** Creates the rows of a table of verdicts, with a head. */
export function createVerdictRows(verdicts: readonly Verdict[]): string[][] {
  const head = ["figure", "value", "target", "met"];
  const rows = verdicts.map(({ figure, value, unit, target, isMet }) => [
    figure,
    `${formatNumber(value)} ${unit}`.trim(),
    target === undefined
      ? ""
      : `${target.kind === "at-least" ? ">=" : "<="} ${target.bound}`,
    isMet === undefined ? "" : isMet ? "pass" : "FAIL",
  ]);
  return [head, ...rows];
}
