/** Renders rows as a plain-text table. */

/** A row: a label, then its cells. */
export type Row = readonly [label: string, ...cells: readonly string[]];

const GAP = "  ";

/**
 * Renders one row per line. The first column is aligned left, the others right.
 */
export function renderTable(rows: readonly Row[]): string {
  const columns = Math.max(0, ...rows.map((row) => row.length));
  const widths = Array.from(
    { length: columns },
    (_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) => renderRow(row, widths)).join("\n");
}

function renderRow(row: Row, widths: readonly number[]): string {
  return row
    .map((cell, column) =>
      column === 0
        ? cell.padEnd(widths[column]!)
        : cell.padStart(widths[column]!)
    )
    .join(GAP)
    .trimEnd();
}
