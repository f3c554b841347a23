/**
 * Chooses the time after which a caller should retry a refused request.
 *
 * A caller honours a wait of up to a third of its remaining time. The wait is
 * randomised so that refused callers don't retry at the same time.
 */

/** Reason why a request was refused. */
export type RefusalCause =
  /** Another router may be able to serve the request now. */
  | "this-router"
  /** Every upstream that may serve the request is full or cold. */
  | "upstreams-full"
  /** No upstream is known for the service. */
  | "no-upstream"
  /** Every upstream has asked for a pause, which has to end first. */
  | "upstreams-paused"
  /** The request or its prompt crashes upstreams, and is tried again later. */
  | "quarantined";

/** Mean wait, in milliseconds. */
const MEAN_WAIT_MS: Readonly<Record<RefusalCause, number>> = {
  // Time to open a new connection through the balancer.
  "this-router": 50,
  // Time in which a plain service completes several requests and the queue of
  // one upstream drains, so that a retry may be admitted.
  "upstreams-full": 250,
  // Time for a poll of the store and the first heartbeat of an upstream.
  "no-upstream": 600,
  // Added to the pause, so that its end does not bring all retries at once.
  "upstreams-paused": 150,
  // Added to the time until such a request is tried again, for the same reason.
  "quarantined": 150,
};
/** Shortest mean wait for room, in milliseconds; what is known is as old. */
const MIN_ROOM_WAIT_MS = 200;
/**
 * Fraction of the caller's remaining time that a wait may take; callers cut
 * longer waits short.
 */
const MAX_WAIT_SHARE = 0.3;

/**
 * Chooses the wait until the expected time of room, in milliseconds, which may be
 * infinite. The jitter stays within what a caller honours.
 */
export function chooseRetryAfterRoom(
  expectedMs: number,
  { remainingMs, random }: { remainingMs: number; random: () => number },
): number {
  const maxWait = remainingMs * MAX_WAIT_SHARE;
  const meanMs = Math.min(
    Math.max(expectedMs, MIN_ROOM_WAIT_MS),
    maxWait / 1.5,
  );
  return Math.max(0, Math.round(meanMs * (0.5 + random())));
}

/** Chooses the wait, in milliseconds; `random` returns a value in [0, 1). */
export function chooseRetryAfter(
  cause: RefusalCause,
  { remainingMs, random }: { remainingMs: number; random: () => number },
): number {
  const wait = MEAN_WAIT_MS[cause] * (0.5 + random());
  return Math.max(0, Math.round(Math.min(wait, remainingMs * MAX_WAIT_SHARE)));
}
