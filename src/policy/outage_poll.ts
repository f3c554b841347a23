/**
 * Decides when a router whose call to the metadata store failed calls again.
 *
 * Load pattern: the store is lost for the whole fleet. Within the same second
 * hundreds of routers find that their data is too old and begin to call the
 * store, which is paid for each call and has to answer them all when it is back.
 * The relays call it anyway, and each router asks a relay several times a
 * second. While the relays answer that the store is lost, the other routers
 * therefore share a low rate of calls.
 */

/** State of a router whose call failed. */
export interface FailedCallInput {
  readonly isRelay: boolean;
  /** Whether other routers still send recent data to this one. */
  readonly isRelayed: boolean;
  /** Whether the relay that this router asks has lost the store, too. */
  readonly isLostToRelay: boolean;
  /** Number of routers in the fleet. */
  readonly routers: number;
  /** Returns a value in [0, 1). */
  readonly random: () => number;
}

/** Allows several retries within each bound. */
const RETRY_PAUSE_MS = 250;
/** Pause while other routers pass on the changes. */
const RELAYED_RETRY_PAUSE_MS = 1_000;
/**
 * Calls that the routers other than the relays make together in a second; less
 * than half of the calls of the relays of a fleet of 195 routers.
 */
const SHARED_CALLS_PER_SECOND = 10;
/**
 * Time after which a router finds out that the store has turned away only the
 * relays, in milliseconds.
 */
const MAX_SHARED_PAUSE_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** Returns the pause until the next call, in milliseconds. */
export function getRetryPause(
  { isRelay, isRelayed, isLostToRelay, routers, random }: FailedCallInput,
): number {
  if (isRelayed) return RELAYED_RETRY_PAUSE_MS;
  if (isRelay || !isLostToRelay) return RETRY_PAUSE_MS;
  const sharedMs = routers * MS_PER_SECOND / SHARED_CALLS_PER_SECOND;
  const pauseMs = Math.min(sharedMs, MAX_SHARED_PAUSE_MS);
  // The routers began to call at the same time; the factor has a mean of 1.
  return Math.max(RETRY_PAUSE_MS, pauseMs * (0.75 + random() / 2));
}
