/** Reads what the routers logged: placements, versions, errors and breaches. */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** One placement; the time is wall clock, in milliseconds. */
export interface LoggedPlacement {
  readonly atMs: number;
  readonly upstream: string;
  readonly requestId: string;
}

/** What one process of a router logged. */
export interface RouterLog {
  /** Name of the router and number of its start. */
  readonly process: string;
  /** Versions in the order in which they came in force. */
  readonly versions: readonly number[];
  readonly placements: readonly LoggedPlacement[];
  /** Lines on breaches of invariants. */
  readonly breaches: readonly string[];
  /** Lines on failures that the program did not expect. */
  readonly failures: readonly string[];
}

interface Line {
  readonly at?: string;
  readonly message?: string;
  readonly version?: number;
  readonly upstream?: string;
  readonly requestId?: string;
}

const SUFFIX = ".log";
const FAILURES = [
  "A message failed.",
  "A filter failed.",
  "A call failed.",
];

/** Reads the logs of every process of the named routers. */
export function readRouterLogs(
  directory: string,
  routers: readonly string[],
): RouterLog[] {
  if (!existsSync(directory)) return [];
  return readdirSync(directory)
    .filter((file) => isLogOf(file, routers))
    .map((file) => {
      const text = readFileSync(join(directory, file), "utf8");
      return parseRouterLog(file.slice(0, -SUFFIX.length), text);
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
    } else if (FAILURES.some((failure) => message.endsWith(failure))) {
      failures.push(raw);
    }
  }
  return { process, versions, placements, breaches, failures };
}

function isLogOf(file: string, routers: readonly string[]): boolean {
  if (!file.endsWith(SUFFIX)) return false;
  return routers.some((router) => file.startsWith(`${router}.`));
}

/** A line that the process was killed in the middle of is left out. */
function parseLine(raw: string): Line | undefined {
  if (!raw.startsWith("{")) return undefined;
  try {
    return JSON.parse(raw) as Line;
  } catch {
    return undefined;
  }
}
