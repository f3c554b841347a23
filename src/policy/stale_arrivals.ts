/**
 * Decides when requests may have waited unread for so long that their callers
 * have left.
 *
 * Load pattern: a process starts, wakes from a pause or gets more requests than
 * it can read in time. Callers give up a request that isn't read within a second,
 * and their retries queue up behind it. The close of such a caller lies in the
 * socket behind its request. A router that sends the request on before it reads
 * the close makes upstreams work for nobody, which delays the callers that still
 * wait.
 */

/**
 * Delay of the event loop from which on requests may be stale, in milliseconds;
 * a fraction of the shortest time after which callers give up an unread request.
 */
const MIN_DELAY_MS = 100;
/**
 * Time for which a delay counts, in milliseconds; exceeds the interval at which
 * delays are measured.
 */
const DELAY_MEMORY_MS = 2_000;
/**
 * Time after the start of a process in which requests count as stale, in
 * milliseconds. Callers connect as soon as the port is open, while the process
 * still reads its first state.
 */
const START_MS = 5_000;

/** Delays of the event loop of this process. */
export class StaleArrivals {
  readonly #startedAt: number;
  #delayedAt = -Infinity;

  constructor({ startedAt }: { startedAt: number }) {
    this.#startedAt = startedAt;
  }

  /** Records that the event loop ran `delayMs` milliseconds late at `now`. */
  recordDelay(delayMs: number, now: number): void {
    if (delayMs >= MIN_DELAY_MS) this.#delayedAt = now;
  }

  /** Whether a request that is read at `now` may have waited for long. */
  mayBeStale(now: number): boolean {
    return now - this.#startedAt < START_MS ||
      now - this.#delayedAt < DELAY_MEMORY_MS;
  }
}
