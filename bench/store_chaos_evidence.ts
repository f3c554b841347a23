/** What callers, upstreams and operators saw of a fleet with a metadata store. */
import type { ChaosEvent } from "../testing/chaos_schedule.ts";
import type { UpstreamArrival } from "../testing/registered_upstream.ts";

/** Kinds of requests, by what may be repeated of them. */
export type CallKind = "read" | "book" | "chat" | "plan";

/** How a request ended for its caller. */
export type CallEnd =
  /** Whole, signed by the upstream that ran it. */
  | "whole"
  /** 429 or 503: states that it did not run. */
  | "refused"
  /** 401: the key is not known. */
  | "unauthorized"
  /** Another status: promises nothing. */
  | "failed"
  /** Ended early, so that the caller can tell. */
  | "broken"
  | "no-connection"
  /** An answer that must never come; the detail says why. */
  | "wrong";

/** A request as its caller saw it; times are of the monotonic clock. */
export interface Call {
  readonly requestId: string;
  readonly kind: CallKind;
  readonly router: string;
  readonly key: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly end: CallEnd;
  readonly detail: string;
}

/** A fault with the times in which it may have had an effect. */
export interface FaultWindow extends Pick<ChaosEvent, "kind" | "target"> {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Something that was taken away, and when the store took the word of it. */
export interface Withdrawal {
  readonly what: "upstream" | "key" | "failure-domain";
  readonly name: string;
  readonly atMs: number;
  /** When it was given back; Infinity if never. */
  readonly untilMs: number;
}

/** Bounds that the fleet was started with, in milliseconds. */
export interface StoreChaosBounds {
  readonly drainMs: number;
  readonly evacuateMs: number;
  readonly revokeMs: number;
  /** Calm time after which bounds hold for a router again. */
  readonly contactMs: number;
  /** Requests that a cold upstream bears in any second. */
  readonly coldPerSecond: number;
}

/** Everything that a verdict needs. */
export interface StoreChaosEvidence {
  readonly calls: readonly Call[];
  /** Requests sent after the faults, when all must be well. */
  readonly recovery: readonly Call[];
  readonly arrivals: readonly UpstreamArrival[];
  readonly windows: readonly FaultWindow[];
  readonly withdrawals: readonly Withdrawal[];
  readonly bounds: StoreChaosBounds;
  readonly stops: readonly {
    readonly router: string;
    readonly exitCode: number | null;
  }[];
}
