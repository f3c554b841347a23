/**
 * Reads placements, configuration versions, failures and breaches of invariants
 * from the logs of the routers.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** One placement; the time is in wall-clock milliseconds. */
export interface LoggedPlacement {
  readonly atMs: number;
  readonly upstream: string;
  readonly requestId: string;
}

/** Parsed log of one process of a router. */
export interface RouterLog {
  /** Name of the router and number of its start, as `NAME.NUMBER`. */
  readonly process: string;
  /** Configuration versions in the order in which they came into force. */
  readonly versions: readonly number[];
  readonly placements: readonly LoggedPlacement[];
  /** Lines that report a breach of an invariant. */
  readonly breaches: readonly string[];
  /** Lines that report an unexpected error. */
  readonly failures: readonly string[];
}

interface LogLine {
  readonly at?: string;
  readonly message?: string;
  readonly version?: number;
  readonly upstream?: string;
  readonly requestId?: string;
}

const LOG_SUFFIX = ".log";
const FAILURE_MESSAGES = [
  "A message failed.",
  "A filter failed.",
  "A call failed.",
];

/**
 * Reads the logs of every process of the named routers; returns an empty list
 * if the directory does not exist.
 */
export function readRouterLogs(
  directory: string,
  routers: readonly string[],
): RouterLog[] {
  if (!existsSync(directory)) return [];
  return readdirSync(directory)
    .filter((file) => isLogOf(file, routers))
    .map((file) => {
      const text = readFileSync(join(directory, file), "utf8");
      return parseRouterLog(file.slice(0, -LOG_SUFFIX.length), text);
    });
}

/** Parses the log of one process. */
export function parseRouterLog(process: string, text: string): RouterLog {
  const versions: number[] = [];
  const placements: LoggedPlacement[] = [];
  const breaches: string[] = [];
  const failures: string[] = [];
  for (const raw of text.split("\n")) {
    const line = parseLine(raw);
    const message = line?.message;
    if (line === undefined || message === undefined) continue;
    const { at = "", version, upstream = "", requestId = "" } = line;
    if (message === "config: A configuration is in force.") {
      versions.push(version ?? 0);
    } else if (message === "place: Placed a request.") {
      placements.push({ atMs: Date.parse(at), upstream, requestId });
    } else if (message.startsWith("invariant: ")) {
      breaches.push(raw);
    } else if (FAILURE_MESSAGES.some((failure) => message.endsWith(failure))) {
      failures.push(raw);
    }
  }
  return { process, versions, placements, breaches, failures };
}

function isLogOf(file: string, routers: readonly string[]): boolean {
  if (!file.endsWith(LOG_SUFFIX)) return false;
  return routers.some((router) => file.startsWith(`${router}.`));
}

/**
 * Parses a line; returns undefined for one that is not JSON, such as the last
 * line of a process that was killed while writing it.
 */
function parseLine(raw: string): LogLine | undefined {
  if (!raw.startsWith("{")) return undefined;
  try {
    return JSON.parse(raw) as LogLine;
  } catch {
    return undefined;
  }
}
