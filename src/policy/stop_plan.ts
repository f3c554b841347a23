/**
 * Decides which requests a router still accepts after it was asked to stop.
 *
 * The balancer continues to send requests for some seconds. Requests that
 * arrive in that time are served, since the grace period is longer than nearly
 * every response takes. Later requests are served only if their timeout ends
 * before the process does.
 */

/** State that determines whether a request is accepted. */
export interface StopInput {
  /** Time since the router was asked to stop, in milliseconds. */
  readonly stoppingMs: number;
  /** Remaining time until the process ends, in milliseconds. */
  readonly lifetimeMs: number;
  /** Maximum time for which the caller still waits, in milliseconds. */
  readonly remainingMs: number;
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
  { stoppingMs, lifetimeMs, remainingMs }: StopInput,
): boolean {
  if (stoppingMs <= BALANCER_DRAIN_MS - ARRIVAL_MARGIN_MS) return true;
  return remainingMs < lifetimeMs;
}
