/**
 * Decides how long a request waits at a router that has not read its first
 * configuration.
 *
 * Load pattern: many routers restart at the same time, and their callers
 * reconnect while the routers still read the metadata store. A caller that is
 * refused then retries within a fraction of a second, most likely at another
 * router that has just started, and is out of retries before any router is
 * ready. Reading the store takes a few hundred milliseconds, so the request
 * waits for it instead.
 */

/** State that determines the wait. */
export interface StartWaitInput {
  /** Whether the store has failed to answer the latest call of this router. */
  readonly isStoreLost: boolean;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Fraction of the caller's remaining time for which the request may wait.
 * According to the platform's PROTOCOL document, a caller abandons a request
 * that a router has not read after a third of that time.
 */
const MAX_WAIT_FRACTION = 0.25;
/**
 * Maximum wait in milliseconds, below the second after which a caller abandons
 * a request that a router has not read.
 */
const MAX_WAIT_MS = 800;

/**
 * Returns the maximum time to wait for the first configuration, in
 * milliseconds. It is 0 if the store is lost, since the store may stay lost for
 * longer than any caller waits.
 */
export function getStartWait(
  { isStoreLost, remainingMs }: StartWaitInput,
): number {
  if (isStoreLost) return 0;
  return Math.max(0, Math.min(MAX_WAIT_MS, remainingMs * MAX_WAIT_FRACTION));
}
