/**
 * Types that are shared across directories.
 *
 * Times are in milliseconds. In `src/policy/`, `now` is a reading of the
 * monotonic clock that the caller passes in.
 */

/**
 * Whether the request ran at an upstream, as far as the fleet can tell: `no` if
 * it certainly did not, otherwise `unknown`.
 */
export type ExecutionStatus = "no" | "unknown";

/** Load that an upstream reports, with a response or when it is polled. */
export interface LoadReport {
  /** Changes whenever the upstream's process starts or loses its state. */
  readonly incarnation: string;
  /** Requests that the upstream has accepted and not finished. */
  readonly inFlight: number;
  /** Whether the upstream is in cold start, where its cold limit applies. */
  readonly cold: boolean;
  /** Whether the upstream has started a graceful stop. */
  readonly leaving: boolean;
  /** Age of the report at the time it was sent, in milliseconds. */
  readonly ageMs: number;
}

/** Name and addresses of a router of the fleet, for its peers. */
export interface Router {
  readonly name: string;
  readonly failureDomain: string;
  /** `ip:port` for control connections. */
  readonly controlAddress: string;
  /** `ip:port` for requests that other routers forward. */
  readonly forwardAddress: string;
}
