/**
 * Which requests a router that has been asked to stop still takes.
 *
 * The balancer goes on sending for some seconds. What comes in that time is
 * served, since the grace time is longer than nearly every answer; what comes
 * later is served if it must end before the process does.
 */

/** What the decision depends on. */
export interface StopInput {
  /** Time since the router was asked to stop, in milliseconds. */
  readonly stoppingMs: number;
  /** Time until the process ends, in milliseconds. */
  readonly lifetimeMs: number;
  /** Time that the caller waits at most, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Time in which the balancer learns that the router is not ready, in
 * milliseconds: it asks once a second and believes the second answer.
 */
export const BALANCER_DRAIN_MS = 3_000;
/**
 * Time from a caller's sending to the router's decision, in milliseconds: a
 * link and a turn of the event loop.
 */
const ARRIVAL_MARGIN_MS = 100;

/** Whether a request that has just come is still served here. */
export function mayServeWhileStopping(
  { stoppingMs, lifetimeMs, remainingMs }: StopInput,
): boolean {
  if (stoppingMs <= BALANCER_DRAIN_MS - ARRIVAL_MARGIN_MS) return true;
  return remainingMs < lifetimeMs;
}
