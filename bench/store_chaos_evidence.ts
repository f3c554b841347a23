/**
 * Data that a chaos run of a fleet with a metadata store collects from callers,
 * upstreams and operators.
 */
import type { ChaosEvent } from "../testing/chaos_schedule.ts";
import type { ProcessEnd } from "../testing/processes.ts";
import type {
  UpstreamArrival,
  UpstreamCrash,
  UpstreamCut,
} from "../testing/registered_upstream.ts";

/**
 * Kinds of requests: a `read` may be repeated, a `book` or `plan` must run at
 * most once, and a `chat` is a stream that may be resumed.
 */
export type CallKind = "read" | "book" | "chat" | "plan";

/** Result of a request, as its caller saw it. */
export type CallOutcome =
  /** Complete, and signed by the upstream that ran it. */
  | "whole"
  /** A status stating that the request did not run: 408, 421, 429 or 503. */
  | "refused"
  /** 401: the key is unknown. */
  | "unauthorized"
  /** Any other status: the request may or may not have run. */
  | "failed"
  /** Ended early, which the caller can detect. */
  | "broken"
  /**
   * Complete by the protocol before its last event or byte: by its framing or,
   * without a length, by a close.
   */
  | "short"
  | "no-connection"
  /** A response that must never occur; the detail gives the reason. */
  | "wrong";

/** A request as its caller saw it; times are of the monotonic clock. */
export interface Call {
  readonly requestId: string;
  readonly kind: CallKind;
  readonly router: string;
  readonly key: string;
  readonly fromMs: number;
  readonly toMs: number;
  readonly end: CallOutcome;
  readonly detail: string;
  /**
   * The last request, and the id of the last event or the bytes of the body that
   * came.
   */
  readonly last: { readonly requestId: string; readonly received: number };
  /** Versions of the software that made the events of a stream. */
  readonly versions: readonly string[];
  /** How the first request ended, before the caller took the stream up again. */
  readonly first: { readonly end: CallOutcome; readonly toMs: number };
  /** Each time that the caller took the stream up again. */
  readonly resumptions: readonly Resumption[];
}

/** A stream that a caller took up again after it was cut. */
export interface Resumption {
  readonly router: string;
  /** Version of the software that began the stream. */
  readonly version: string;
  /** Engines with this version that took new requests at that time. */
  readonly servingCount: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether another event came. */
  readonly hasGoneOn: boolean;
}

/** A request that crashes each upstream that begins to run it. */
export interface CrashingCall extends Call {
  /** What of the request crashes upstreams; see `UpstreamCrash`. */
  readonly cause: string;
  readonly causeKind: "part" | "request";
}

/**
 * An injected fault and the time in which it may have had an effect, on the
 * monotonic clock.
 */
export interface FaultWindow extends Pick<ChaosEvent, "kind" | "target"> {
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * An upstream, key or failure domain that was withdrawn, and when the store
 * recorded it, on the monotonic clock.
 */
export interface Withdrawal {
  readonly what: "upstream" | "key" | "failure-domain";
  readonly name: string;
  readonly atMs: number;
  /** When it was restored; Infinity if never. */
  readonly untilMs: number;
}

/** Bounds that the fleet is configured with; times are in milliseconds. */
export interface StoreChaosBounds {
  readonly drainMs: number;
  readonly evacuateMs: number;
  readonly revokeMs: number;
  /** Time without faults after which the bounds apply to a router again. */
  readonly faultFreeMs: number;
  /** Crashes under a prompt part after which the routers must avoid it. */
  readonly maxPartCrashes: number;
  /** The same for a request that comes again as a whole. */
  readonly maxRequestCrashes: number;
  /** Requests that may reach an upstream `faultFreeMs` after these crashes. */
  readonly maxLaterArrivals: number;
  /** Streams that may hold events of two versions of the software. */
  readonly maxMixedStreams: number;
  /** Resumptions from which on their share counts. */
  readonly minResumptions: number;
  /** Least share of these that go on, as a part of that of new streams. */
  readonly minResumedShare: number;
  /** Maximum number of requests that a cold upstream may get in any second. */
  readonly maxColdRequestsPerSecond: number;
  /** Memory that the host grants a router, in bytes. */
  readonly memoryBytes: number;
  /** Least share of sound requests served beside faults of others. */
  readonly minSoundShare: number;
  /** Longest time that a sound read may take then, in milliseconds. */
  readonly maxSoundReadMs: number;
}

/** All data that the verdict is based on. */
export interface StoreChaosEvidence {
  readonly calls: readonly Call[];
  /** Requests sent after the faults, which must be served. */
  readonly recovery: readonly Call[];
  /** Requests that crash upstreams. */
  readonly crashing: readonly CrashingCall[];
  readonly crashes: readonly UpstreamCrash[];
  /** Answers that upstreams cut off themselves. */
  readonly cuts: readonly UpstreamCut[];
  readonly arrivals: readonly UpstreamArrival[];
  readonly windows: readonly FaultWindow[];
  readonly withdrawals: readonly Withdrawal[];
  readonly bounds: StoreChaosBounds;
  readonly stops: readonly {
    readonly router: string;
    readonly exitCode: number | null;
  }[];
  /** Requests beyond what the upstreams can run. */
  readonly overload: readonly Call[];
  /** Brittle upstreams that fell over, for each time of such requests. */
  readonly brittleFalls: readonly number[];
  readonly upstreamCount: number;
  /** How each process of a router ended. */
  readonly ends: readonly ProcessEnd[];
  /** Largest memory of each router's processes, in bytes. */
  readonly peakMemory: ReadonlyMap<string, number>;
  /** Longest time in which the run itself did nothing, in milliseconds. */
  readonly ownDelayMs: number;
  /** Share of the requests that used a connection that was open already. */
  readonly reusedShare: number;
}
