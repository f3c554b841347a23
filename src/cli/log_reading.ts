/**
 * Reads the logs of routers: one request's story, and failures added up.
 */

/** A line of a router's log. */
export interface LogLine {
  readonly at: string;
  readonly level: string;
  readonly router: string;
  readonly message: string;
  readonly [field: string]: unknown;
}

/** A part of a request's story. */
export interface StoryLine {
  readonly line: LogLine;
  /** Whether the line is about the request, or about what it depended on. */
  readonly kind: "request" | "context";
}

/** Failures of one outcome at one upstream. */
export interface FailureCount {
  readonly outcome: string;
  readonly upstream: string;
  readonly detail: string;
  readonly count: number;
  readonly first: string;
  readonly last: string;
}

/** Options of a story. */
export interface StoryOptions {
  /** How long before its end changes count as context, in milliseconds. */
  readonly contextMs?: number;
}

interface Try {
  readonly upstream?: string;
  readonly end?: string;
  readonly detail?: string;
}

/** Longer than a poll of the store and the time limit of most requests. */
const CONTEXT_MS = 15_000;
const NO_UPSTREAM = "-";

/** Reads lines; what precedes the JSON of a line, and other text, is skipped. */
export function parseLog(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const row of text.split("\n")) {
    const start = row.indexOf('{"at"');
    if (start < 0) continue;
    try {
      lines.push(JSON.parse(row.slice(start)) as LogLine);
    } catch {
      // A line that was cut off when its process was killed.
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

/** The lines of a request and what its routers learned around it. */
export function tellStory(
  lines: readonly LogLine[],
  requestId: string,
  { contextMs = CONTEXT_MS }: StoryOptions = {},
): StoryLine[] {
  const own = lines.filter((line) => line["requestId"] === requestId);
  const routers = new Set(own.map(({ router }) => router));
  const upstreams = new Set(
    own.flatMap(getTries).map(({ upstream }) => upstream),
  );
  const end = Math.max(...own.map(({ at }) => Date.parse(at)));
  function isContext(line: LogLine): boolean {
    if (line["requestId"] !== undefined || !routers.has(line.router)) {
      return false;
    }
    const beforeMs = end - Date.parse(line.at);
    if (beforeMs < 0 || beforeMs > contextMs) return false;
    const upstream = line["upstream"];
    return upstream === undefined || upstreams.has(String(upstream));
  }
  const story = lines
    .filter((line) => line["requestId"] === requestId || isContext(line))
    .sort(compareTimes);
  return story.map((line) => ({
    line,
    kind: line["requestId"] === requestId ? "request" : "context",
  }));
}

/** Adds up the requests that were not answered, most frequent first. */
export function countFailures(lines: readonly LogLine[]): FailureCount[] {
  const counts = new Map<string, FailureCount>();
  for (const line of [...lines].sort(compareTimes)) {
    if (line.level !== "warn" || line["requestId"] === undefined) continue;
    const last = getTries(line).at(-1);
    const outcome = String(line["outcome"]);
    const upstream = last?.upstream ?? NO_UPSTREAM;
    const detail = last?.detail ?? String(line["detail"] ?? "");
    // Ages and times differ from line to line.
    const cause = detail.replace(/\d+ ms/g, "N ms");
    const key = [outcome, upstream, cause].join("\u0000");
    const known = counts.get(key);
    counts.set(key, {
      outcome,
      upstream,
      detail: cause,
      count: (known?.count ?? 0) + 1,
      first: known?.first ?? line.at,
      last: line.at,
    });
  }
  return [...counts.values()].sort((left, right) => right.count - left.count);
}

const STORY_FIELDS_SKIPPED = new Set([
  "at",
  "level",
  "router",
  "message",
  "requestId",
  "tries",
]);

function formatFields(line: LogLine): string {
  return Object.entries(line)
    .filter(([name]) => !STORY_FIELDS_SKIPPED.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(" ");
}

/** Renders a story, a line each; the tries of the request stand below it. */
export function formatStory(story: readonly StoryLine[]): string {
  const rows: string[] = [];
  for (const { line, kind } of story) {
    const mark = kind === "request" ? "*" : " ";
    const { at, router, message } = line;
    rows.push(`${mark} ${at} ${router} ${message} ${formatFields(line)}`);
    for (const [index, each] of getTries(line).entries()) {
      rows.push(`    try ${index + 1}: ${JSON.stringify(each)}`);
    }
  }
  return rows.join("\n");
}

/** Renders failures as a table. */
export function formatFailures(failures: readonly FailureCount[]): string {
  const rows = failures.map(
    ({ count, outcome, upstream, detail, first, last }) =>
      `${String(count).padStart(6)}  ${outcome.padEnd(26)} ` +
      `${upstream.padEnd(16)} ${first} to ${last}  ${detail}`,
  );
  const head = `${"count".padStart(6)}  ${"outcome".padEnd(26)} ` +
    `${"last upstream".padEnd(16)} first to last  detail`;
  return [head, ...rows].join("\n");
}
