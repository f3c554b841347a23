/**
 * Parses router logs, selects the lines about one request, and counts failures.
 */
import { getDiagnostic, getDiagnosticCodes } from "../diagnostics.ts";

/** A line of a router's log, with the fields that every line has. */
export interface LogLine {
  readonly at: string;
  readonly level: string;
  readonly router: string;
  readonly message: string;
  readonly [field: string]: unknown;
}

/** A log line in the trace of a request. */
export interface TraceLine {
  readonly line: LogLine;
  /** `request`: has the request's id; `context`: an earlier line without id. */
  readonly kind: "request" | "context";
}

/** Number of failed requests with the same outcome, upstream and detail. */
export interface FailureCount {
  /**
   * Whether the request itself was wrong, such as one with an unknown key or
   * route, so that it could not be answered.
   */
  readonly isCallerFault: boolean;
  readonly outcome: string;
  /** Upstream of the last try, or `-` if there was no try. */
  readonly upstream: string;
  /** Detail of the last try, or else of the request; `N ms` for durations. */
  readonly detail: string;
  readonly count: number;
  /** Time of the first failure, ISO 8601. */
  readonly first: string;
  /** Time of the last failure, ISO 8601. */
  readonly last: string;
}

/** Options of `traceRequest`. */
export interface TraceOptions {
  /**
   * Lines at most this long before the last line of the request count as
   * context, in milliseconds.
   */
  readonly contextMs?: number;
}

interface Try {
  readonly upstream?: string;
  readonly end?: string;
  readonly detail?: string;
}

/**
 * Longer than the interval at which the store is polled and than the time limit
 * of most requests.
 */
const DEFAULT_CONTEXT_MS = 15_000;
const NO_UPSTREAM = "-";

/**
 * Parses the lines of router logs. Text before the JSON object of a line, and
 * lines without one, are skipped.
 */
export function parseLog(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const row of text.split("\n")) {
    const start = row.indexOf('{"at"');
    if (start < 0) continue;
    try {
      lines.push(JSON.parse(row.slice(start)) as LogLine);
    } catch {
      // The line was cut off when its process was killed.
    }
  }
  return lines;
}

function getTries(line: LogLine): readonly Try[] {
  return Array.isArray(line["tries"]) ? line["tries"] as Try[] : [];
}

function compareTimes(left: LogLine, right: LogLine): number {
  return left.at < right.at ? -1 : left.at > right.at ? 1 : 0;
}

/**
 * Returns the lines of a request in order of time, with earlier lines of the
 * same routers that belong to no request and concern either the upstreams of
 * the request or no upstream. Empty if no line has the request's id.
 */
export function traceRequest(
  lines: readonly LogLine[],
  requestId: string,
  { contextMs = DEFAULT_CONTEXT_MS }: TraceOptions = {},
): TraceLine[] {
  const requestLines = lines.filter((line) => line["requestId"] === requestId);
  const routers = new Set(requestLines.map(({ router }) => router));
  const upstreams = new Set(
    requestLines.flatMap(getTries).map(({ upstream }) => upstream),
  );
  const end = Math.max(...requestLines.map(({ at }) => Date.parse(at)));
  function isContext(line: LogLine): boolean {
    if (line["requestId"] !== undefined || !routers.has(line.router)) {
      return false;
    }
    const beforeEndMs = end - Date.parse(line.at);
    if (beforeEndMs < 0 || beforeEndMs > contextMs) return false;
    const upstream = line["upstream"];
    return upstream === undefined || upstreams.has(String(upstream));
  }
  const traceLines = lines
    .filter((line) => line["requestId"] === requestId || isContext(line))
    .sort(compareTimes);
  return traceLines.map((line) => ({
    line,
    kind: line["requestId"] === requestId ? "request" : "context",
  }));
}

const MIN_SERVER_ERROR_STATUS = 500;
/** Outcomes of requests that no router could have answered. */
const CALLER_FAULTS: ReadonlySet<string> = new Set(
  getDiagnosticCodes().filter((code) => {
    const { status, retryable } = getDiagnostic(code);
    return !retryable && status < MIN_SERVER_ERROR_STATUS;
  }),
);

/**
 * Counts the requests that were not answered, most frequent cause first; those
 * that were wrong themselves come last.
 */
export function countFailures(lines: readonly LogLine[]): FailureCount[] {
  const counts = new Map<string, FailureCount>();
  for (const line of [...lines].sort(compareTimes)) {
    if (line.level !== "warn" || line["requestId"] === undefined) continue;
    const lastTry = getTries(line).at(-1);
    const outcome = String(line["outcome"]);
    const upstream = lastTry?.upstream ?? NO_UPSTREAM;
    const detail = lastTry?.detail ?? String(line["detail"] ?? "");
    // Durations differ between lines with the same cause.
    const normalizedDetail = detail.replace(/\d+ ms/g, "N ms");
    const key = [outcome, upstream, normalizedDetail].join("\u0000");
    const existing = counts.get(key);
    counts.set(key, {
      isCallerFault: CALLER_FAULTS.has(outcome),
      outcome,
      upstream,
      detail: normalizedDetail,
      count: (existing?.count ?? 0) + 1,
      first: existing?.first ?? line.at,
      last: line.at,
    });
  }
  return [...counts.values()].sort((left, right) =>
    Number(left.isCallerFault) - Number(right.isCallerFault) ||
    right.count - left.count
  );
}

const OMITTED_FIELDS = new Set([
  "at",
  "level",
  "router",
  "message",
  "requestId",
  "tries",
]);

function formatFields(line: LogLine): string {
  return Object.entries(line)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(" ");
}

/**
 * Formats a trace with one row per line, followed by a row per try. A `*` marks
 * the lines of the request.
 */
export function formatTrace(traceLines: readonly TraceLine[]): string {
  const rows: string[] = [];
  for (const { line, kind } of traceLines) {
    const mark = kind === "request" ? "*" : " ";
    const { at, router, message } = line;
    rows.push(`${mark} ${at} ${router} ${message} ${formatFields(line)}`);
    for (const [index, attempt] of getTries(line).entries()) {
      rows.push(`    try ${index + 1}: ${JSON.stringify(attempt)}`);
    }
  }
  return rows.join("\n");
}

function formatFailure(
  { count, outcome, upstream, detail, first, last }: FailureCount,
): string {
  return `${String(count).padStart(6)}  ${outcome.padEnd(26)} ` +
    `${upstream.padEnd(16)} ${first} to ${last}  ${detail}`;
}

function sumCounts(failures: readonly FailureCount[]): number {
  return failures.reduce((sum, { count }) => sum + count, 0);
}

/**
 * Formats failure counts as a table, with the requests that were wrong
 * themselves and the sums below.
 */
export function formatFailures(failures: readonly FailureCount[]): string {
  const header = `${"count".padStart(6)}  ${"outcome".padEnd(26)} ` +
    `${"last upstream".padEnd(16)} first to last  detail`;
  const failed = failures.filter(({ isCallerFault }) => !isCallerFault);
  const wrong = failures.filter(({ isCallerFault }) => isCallerFault);
  const rows = [
    header,
    ...failed.map(formatFailure),
    `${sumCounts(failed)} requests failed.`,
  ];
  if (wrong.length === 0) return rows.join("\n");
  return [
    ...rows,
    "",
    "Requests that were wrong themselves, such as an unknown key or route:",
    ...wrong.map(formatFailure),
    `${sumCounts(wrong)} requests were wrong.`,
  ].join("\n");
}
