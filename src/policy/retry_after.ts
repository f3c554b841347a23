/**
 * When a caller whose request was refused is to come back.
 *
 * A caller honours a time up to a third of what it has left. A wait that is
 * spread keeps refused callers from returning together.
 */

/** Why a request was refused. */
export type RefusalCause =
  /** Another router may serve it now. */
  | "this-router"
  /** Every upstream that may take it is full or cold. */
  | "upstreams-full"
  /** No upstream is known. */
  | "no-upstream";

/** Mean wait in milliseconds. */
const WAIT_MS: Readonly<Record<RefusalCause, number>> = {
  // The time of a new connection through the balancer.
  "this-router": 50,
  // Several answers of a plain service; the queue of one upstream drains.
  "upstreams-full": 250,
  // A poll of the store and the first heartbeat of an upstream.
  "no-upstream": 600,
};
/** Part of the caller's time that a wait may take; callers cut off more. */
const MAX_SHARE = 0.3;

/** Time after which to come back, in milliseconds; `random` is in [0, 1). */
export function chooseRetryAfter(
  cause: RefusalCause,
  { remainingMs, random }: { remainingMs: number; random: () => number },
): number {
  const wait = WAIT_MS[cause] * (0.5 + random());
  return Math.max(0, Math.round(Math.min(wait, remainingMs * MAX_SHARE)));
}
