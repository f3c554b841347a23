/** Data that a chaos run collects and that the verdict is based on. */
import type { Change, Entry } from "../src/config/configuration.ts";
import type { Outcome } from "./load/outcome.ts";
import type { LoadReport } from "./load/report.ts";
import type { ChaosKind } from "../testing/chaos_schedule.ts";
import type { UpstreamRecord } from "../testing/upstream_state.ts";
import type { RouterLog } from "./chaos_logs.ts";

/**
 * An injected fault and the time in which it was active, in wall-clock
 * milliseconds.
 */
export interface FaultWindow {
  readonly kind: ChaosKind;
  readonly target: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * A response that was refused or broken; times are wall-clock milliseconds.
 */
export interface UnsuccessfulResponse {
  /** Name of the router that the request was sent to. */
  readonly router: string;
  /** Upstream from the response headers; undefined if they name none. */
  readonly upstream: string | undefined;
  readonly requestId: string | undefined;
  readonly outcome: Exclude<Outcome, { kind: "whole" }>;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Record of an upstream's process, read before the process ended. */
export interface UpstreamEvidence {
  readonly upstream: string;
  readonly coldLimit: number;
  readonly record: UpstreamRecord;
}

/** A change whose commit was confirmed to the operator. */
export interface AcceptedChange {
  readonly version: number;
  readonly author: string;
  readonly change: Change;
}

/** A graceful stop of a router, and the exit code of its process. */
export interface GracefulStop {
  readonly router: string;
  readonly exitCode: number | null;
}

/** All data collected in a chaos run. */
export interface ChaosEvidence {
  readonly load: LoadReport;
  /** Load sent after the last fault has ended. */
  readonly recovery: LoadReport;
  readonly answers: readonly UnsuccessfulResponse[];
  readonly windows: readonly FaultWindow[];
  readonly upstreams: readonly UpstreamEvidence[];
  /** Upstream names, keyed by failure domain and by host. */
  readonly upstreamsByGroup: ReadonlyMap<string, readonly string[]>;
  readonly logs: readonly RouterLog[];
  readonly accepted: readonly AcceptedChange[];
  readonly history: readonly Entry[];
  /** Races of operators in which both conflicting changes were committed. */
  readonly conflictingCommits: readonly string[];
  /** Configuration version in force on each router at the end. */
  readonly versions: ReadonlyMap<string, number>;
  readonly stops: readonly GracefulStop[];
}
