/** What a run under faults leaves behind, for the verdict. */
import type { Change, Entry } from "../src/config/configuration.ts";
import type { Outcome } from "./load/outcome.ts";
import type { LoadReport } from "./load/report.ts";
import type { ChaosKind } from "../testing/chaos_schedule.ts";
import type { UpstreamRecord } from "../testing/upstream_state.ts";
import type { RouterLog } from "./chaos_logs.ts";

/** A fault as it was carried out; times are wall clock, in milliseconds. */
export interface ChaosWindow {
  readonly kind: ChaosKind;
  readonly target: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** An answer that was not whole. */
export interface ChaosAnswer {
  /** Name of the router that the caller sent to. */
  readonly router: string;
  /** Upstream that the answer named, if it named one. */
  readonly upstream: string | undefined;
  readonly requestId: string | undefined;
  readonly outcome: Exclude<Outcome, { kind: "whole" }>;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A record of an upstream's process, taken before it was ended. */
export interface UpstreamEvidence {
  readonly upstream: string;
  readonly coldLimit: number;
  readonly record: UpstreamRecord;
}

/** A change that an operator was told is committed. */
export interface AcceptedChange {
  readonly version: number;
  readonly author: string;
  readonly change: Change;
}

/** A router that was stopped gracefully. */
export interface GracefulStop {
  readonly router: string;
  readonly exitCode: number | null;
}

/** Everything that a run leaves behind. */
export interface ChaosEvidence {
  readonly load: LoadReport;
  /** Load after the last fault has ended. */
  readonly recovery: LoadReport;
  readonly answers: readonly ChaosAnswer[];
  readonly windows: readonly ChaosWindow[];
  readonly upstreams: readonly UpstreamEvidence[];
  /** Names of the upstreams by failure domain and by host. */
  readonly upstreamsOf: ReadonlyMap<string, readonly string[]>;
  readonly logs: readonly RouterLog[];
  readonly accepted: readonly AcceptedChange[];
  readonly history: readonly Entry[];
  /** Races of operators that both sides won. */
  readonly doubleWins: readonly string[];
  /** Version in force on each router at the end. */
  readonly versions: ReadonlyMap<string, number>;
  readonly stops: readonly GracefulStop[];
}
