/**
 * Finds out whether an upstream's process is the one of its entry. An upstream
 * may start again at its address, under its id and with other software, before
 * its new entry arrives.
 */
import { Buffer } from "node:buffer";
import { decodeReportedStart } from "../platform/documents.ts";
import { ENGINE_REPORT_PATH } from "../platform/names.ts";
import { RESTART_REPORT_MS } from "../policy/upstream_directory.ts";
import type { UpstreamEntry } from "../routing/types.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";

/** Options of a check. */
export interface ProcessCheckOptions {
  readonly connections: Pick<UpstreamConnections, "isOpenSince" | "send">;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
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

/**
 * Whether the next request to an upstream reuses a connection that was opened so
 * long ago that a new entry of the process there would have arrived.
 */
export function isProvenProcess(
  { address }: UpstreamEntry,
  { connections, clock }: ProcessCheckOptions,
): boolean {
  return connections.isOpenSince(address, clock() - RESTART_REPORT_MS);
}

/**
 * Asks an engine when it started. The next request to its address reuses the
 * connection that carried the answer.
 */
export async function checkProcess(
  { address, bornAt }: UpstreamEntry,
  { connections }: ProcessCheckOptions,
): Promise<ProcessState> {
  let report = await fetchReport({ address, connections });
  if (report?.isReused && decodeReportedStart(report.text) === undefined) {
    // It may be a late copy of an answer to an earlier request.
    report = await fetchReport({ address, connections, isFresh: true });
  }
  if (report === undefined) return "silent";
  const reportedAt = decodeReportedStart(report.text);
  const isUnstated = reportedAt === undefined || bornAt === undefined;
  return isUnstated || reportedAt === bornAt ? "same" : "other";
}

/** What an upstream answers to a request for its report. */
interface ReportAnswer {
  /** Empty if it has none. */
  readonly text: string;
  /** Whether the connection had carried another request before. */
  readonly isReused: boolean;
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
        const text = status === STATUS_OK ? body : "";
        const { isReused } = exchange;
        // The connection becomes idle after this turn of the event loop.
        setImmediate(() => finish({ text, isReused }));
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
