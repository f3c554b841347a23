/**
 * Decides which requests a router still accepts after it was asked to stop.
 *
 * Load pattern: the balancer continues to send requests for some seconds, among
 * them streams that may take longer than is left of the grace time. A caller
 * that is refused at once can send its request to another router; one whose
 * request is cut at the end of the grace time has lost it, if it may not run
 * twice. But a refused caller has one try less, and the next may meet a router
 * that stops as well. So in these seconds requests are refused that are likely
 * to take longer, and afterwards also those that may take longer.
 */

/** State that determines whether a request is accepted. */
export interface StopInput {
  /** Time since the router was asked to stop, in milliseconds. */
  readonly stoppingMs: number;
  /** Remaining time until the process ends, in milliseconds. */
  readonly lifetimeMs: number;
  /** Maximum time for which the caller still waits, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /**
   * Time within which the share `getCoveredShare` of the answers of the route
   * end, in milliseconds; undefined if it isn't known.
   */
  readonly usualMs: number | undefined;
}

/**
 * Time within which the balancer detects that the router is not ready, in
 * milliseconds. It checks once a second and acts on the second failed check.
 */
export const BALANCER_DRAIN_MS = 3_000;
/**
 * Time from the sending of a request to the router's decision, in milliseconds:
 * the network delay and one turn of the event loop.
 */
const ARRIVAL_MARGIN_MS = 100;

/**
 * Share of the answers of a route that must end before the process does, so that
 * a request which may not run twice is accepted. A tenth is about the share of
 * refused callers that are not served elsewhere.
 */
const COVERED_SHARE = 0.9;
/** The same for a request that its caller can send again after it was cut. */
const COVERED_SHARE_REPEATABLE = 0.5;

/** Returns the share of the answers whose duration decides on a request. */
export function getCoveredShare(isRepeatable: boolean): number {
  return isRepeatable ? COVERED_SHARE_REPEATABLE : COVERED_SHARE;
}

/** Whether a request that has just arrived is still served. */
export function mayServeWhileStopping(
  { stoppingMs, lifetimeMs, remainingMs, isRepeatable, usualMs }: StopInput,
): boolean {
  if (remainingMs < lifetimeMs) return true;
  if (stoppingMs > BALANCER_DRAIN_MS - ARRIVAL_MARGIN_MS) return false;
  return usualMs === undefined ? isRepeatable : usualMs < lifetimeMs;
}
