/**
 * Types that several parts share.
 *
 * Times are milliseconds. `now` in `src/policy/` is a monotonic reading that
 * the caller passes in.
 */

/** Whether the request reached an upstream, as far as the fleet can tell. */
export type Ran = "no" | "unknown";

/** What an upstream says of its own load, on an answer or to a poll. */
export interface LoadReport {
  /** Changes each time that the upstream's process starts or loses its state. */
  readonly incarnation: string;
  /** Requests that the upstream has accepted and not yet finished. */
  readonly inFlight: number;
  /** True while the upstream bears only its cold limit. */
  readonly cold: boolean;
  /** True once the upstream has begun a graceful stop. */
  readonly leaving: boolean;
  /** Age of the report when it was sent, in milliseconds. */
  readonly ageMs: number;
}

/** Names one router of the fleet and where its peers reach it. */
export interface Router {
  readonly name: string;
  readonly failureDomain: string;
  /** `ip:port` of the control connection. */
  readonly controlAddress: string;
  /** `ip:port` that takes forwarded requests. */
  readonly forwardAddress: string;
}
