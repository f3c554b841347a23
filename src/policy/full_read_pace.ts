/**
 * Decides when a router reads all items of the metadata store again.
 *
 * Load pattern: a store with hundreds of megabytes of items that no router uses,
 * which drops its history every few seconds. All routers read it in full at the
 * same time, at a price for each page, and those reads delay the calls that
 * follow changes.
 */

/** Pause after a read, relative to its duration. */
const PAUSE_SHARE = 1;
/** Longest pause after a read that succeeded, in milliseconds. */
const MAX_PAUSE_MS = 5_000;
/** First pause after the store was found to exceed the room, in milliseconds. */
const MIN_OVERFLOW_PAUSE_MS = 1_000;
const MAX_OVERFLOW_PAUSE_MS = 10_000;

/** Paces the full reads of one router. Times are monotonic, in milliseconds. */
export class FullReadPace {
  #dueAt = -Infinity;
  #overflowPauseMs = MIN_OVERFLOW_PAUSE_MS;

  isDue(now: number): boolean {
    return now >= this.#dueAt;
  }

  /** Records a read that succeeded. */
  recordRead({ startedAt, now }: { startedAt: number; now: number }): void {
    const pauseMs = Math.min((now - startedAt) * PAUSE_SHARE, MAX_PAUSE_MS);
    this.#dueAt = now + pauseMs;
    this.#overflowPauseMs = MIN_OVERFLOW_PAUSE_MS;
  }

  /** Records that the store holds more than the router has room for. */
  recordOverflow(now: number): void {
    this.#dueAt = now + this.#overflowPauseMs;
    this.#overflowPauseMs = Math.min(
      2 * this.#overflowPauseMs,
      MAX_OVERFLOW_PAUSE_MS,
    );
  }
}
