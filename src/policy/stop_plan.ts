/**
 * Decides which requests a router still accepts after it was asked to stop.
 *
 * Load pattern: the balancer continues to send requests for some seconds, among
 * them streams that may take longer than is left of the grace time. A caller
 * that is refused at once can send its request to another router; one whose
 * request is cut at the end of the grace time has lost it, if it may not run
 * twice. So those requests are refused that usually take longer, and after the
 * seconds of the balancer also those that may take longer.
 */

/** State that determines whether a request is accepted. */
export interface StopInput {
  /** Time since the router was asked to stop, in milliseconds. */
  readonly stoppingMs: number;
  /** Remaining time until the process ends, in milliseconds. */
  readonly lifetimeMs: number;
  /** Maximum time for which the caller still waits, in milliseconds. */
  readonly remainingMs: number;
  /**
   * Time within which nearly all answers of the route end, in milliseconds;
   * undefined if it isn't known, so that the caller's limit counts.
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

/** Whether a request that has just arrived is still served. */
export function mayServeWhileStopping(
  { stoppingMs, lifetimeMs, remainingMs, usualMs }: StopInput,
): boolean {
  if (remainingMs < lifetimeMs) return true;
  if (stoppingMs > BALANCER_DRAIN_MS - ARRIVAL_MARGIN_MS) return false;
  return usualMs !== undefined && usualMs < lifetimeMs;
}
