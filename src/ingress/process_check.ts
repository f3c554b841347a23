/**
 * Finds out whether an upstream's process is the one of its entry. An upstream
 * may start again at its address, under its id and with other software, before
 * its new entry arrives.
 */
import { Buffer } from "node:buffer";
import { decodeReportedStart } from "../platform/documents.ts";
import { ENGINE_REPORT_PATH } from "../platform/names.ts";
import {
  isSameProcess,
  ProcessProofs,
  type ReportedStart,
} from "../policy/process_proofs.ts";
import { RESTART_REPORT_MS } from "../policy/upstream_directory.ts";
import type { UpstreamEntry } from "../routing/types.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";

/** Options of a check. */
export interface ProcessCheckOptions {
  readonly connections: Pick<UpstreamConnections, "isOpenSince" | "send">;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /**
   * Time since the view of the upstreams was last confirmed as current, in
   * milliseconds; infinite before the first time.
   */
  readonly getViewAgeMs: () => number;
}

/**
 * Whether an upstream's process is that of its entry. `same` also stands for an
 * upstream that does not state its start time.
 */
export type ProcessState = "same" | "other" | "silent";

/** Time for the report, in milliseconds; engines answer without a slot. */
const REPORT_TIMEOUT_MS = 200;
/** Longest report that is read; one of a full engine has some kilobytes. */
const MAX_REPORT_BYTES = 1_048_576;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/**
 * Asks an engine when it started. The next request to its address reuses the
 * connection that carried the answer.
 */
export async function checkProcess(
  entry: UpstreamEntry,
  { connections }: Pick<ProcessCheckOptions, "connections">,
): Promise<ProcessState> {
  const start = await findReportedStart(entry.address, connections);
  if (start.kind === "silent") return "silent";
  return isSameProcess(entry, start) ? "same" : "other";
}

/** What a process has stated of its start. */
export interface ProcessAnswer {
  readonly start: ReportedStart;
  /** Monotonic time at which it was asked, in milliseconds. */
  readonly askedAt: number;
}

/** Asks engines when they started, and remembers it while they are in contact. */
export class ProcessChecks {
  readonly #options: ProcessCheckOptions;
  readonly #proofs = new ProcessProofs();
  /** Calls in progress, by address. */
  readonly #pending = new Map<string, Promise<ProcessAnswer>>();

  constructor(options: ProcessCheckOptions) {
    this.#options = options;
  }

  /**
   * Whether an entry certainly describes the process that answers now. It does
   * if a connection has been open for so long that the view would hold the entry
   * of another process.
   */
  isProven(entry: UpstreamEntry): boolean {
    const { connections, clock, getViewAgeMs } = this.#options;
    const isOpenSince = (since: number) =>
      connections.isOpenSince(entry.address, since);
    return this.#proofs.isProven(entry, isOpenSince) ||
      isOpenSince(clock() - getViewAgeMs() - RESTART_REPORT_MS);
  }

  /** Asks the process at `address` when it started. */
  ask(address: string): Promise<ProcessAnswer> {
    const pending = this.#pending.get(address);
    if (pending !== undefined) return pending;
    const { connections, clock } = this.#options;
    const call = findReportedStart(address, connections);
    const askedAt = clock();
    const recorded = call.then((start) => {
      this.#pending.delete(address);
      this.#proofs.record(address, { start, askedAt });
      return { start, askedAt };
    });
    this.#pending.set(address, recorded);
    return recorded;
  }
}

async function findReportedStart(
  address: string,
  connections: ProcessCheckOptions["connections"],
): Promise<ReportedStart> {
  let report = await fetchReport({ address, connections });
  if (report?.isReused && decodeReportedStart(report.text) === undefined) {
    // It may be a late copy of an answer to an earlier request.
    report = await fetchReport({ address, connections, isFresh: true });
  }
  if (report === undefined || report.isError) return { kind: "silent" };
  const bornAt = decodeReportedStart(report.text);
  return bornAt === undefined
    ? { kind: "unstated" }
    : { kind: "stated", bornAt };
}

/** What an upstream answers to a request for its report. */
interface ReportAnswer {
  /** Empty if it has none. */
  readonly text: string;
  /** Whether the connection had carried another request before. */
  readonly isReused: boolean;
  /** Whether it is an error, which says nothing of the process. */
  readonly isError: boolean;
}

/** Returns an engine's report of itself; undefined if it does not answer. */
function fetchReport(
  { address, connections, isFresh = false }: {
    address: string;
    connections: Pick<UpstreamConnections, "send">;
    isFresh?: boolean;
  },
): Promise<ReportAnswer | undefined> {
  const chunks: Buffer[] = [];
  let status = 0;
  let size = 0;
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined = undefined;
    function finish(answer: ReportAnswer | undefined): void {
      clearTimeout(timer);
      resolve(answer);
    }
    const exchange = connections.send({
      address,
      method: "GET",
      path: ENGINE_REPORT_PATH,
      headers: [],
      body: undefined,
      maxIdleMs: Infinity,
      isFresh,
    }, {
      onHead: (each) => status = each,
      onData: (chunk) => {
        size += chunk.length;
        if (size <= MAX_REPORT_BYTES) chunks.push(chunk);
        else cancel();
      },
      onEnd: () => {
        const body = Buffer.concat(chunks).toString("utf8");
        const isError = status !== STATUS_OK && status !== STATUS_NOT_FOUND;
        const text = status === STATUS_OK ? body : "";
        const { isReused } = exchange;
        // The connection becomes idle after this turn of the event loop.
        setImmediate(() => finish({ text, isReused, isError }));
      },
      onFailure: () => finish(undefined),
    });
    function cancel(): void {
      exchange.cancel();
      finish(undefined);
    }
    timer = setTimeout(cancel, REPORT_TIMEOUT_MS);
  });
}
