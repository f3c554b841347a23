/** Token bucket with which the stand-ins enforce the platform's rate limits. */

/** Options of a rate limit. */
export interface RateLimitOptions {
  /** Calls per second; `Infinity` for no limit. */
  perSecond: number;
  /** Capacity of the bucket in calls; by default those of one second, at least 1. */
  burst?: number;
  /** Monotonic clock, in milliseconds. */
  now?: () => number;
}

/** A token bucket; starts full. */
export class RateLimit {
  readonly #perSecond: number;
  readonly #burst: number;
  readonly #now: () => number;
  #tokens: number;
  #lastRefillAtMs: number;

  constructor(
    {
      perSecond,
      burst = Math.max(1, perSecond),
      now = () => performance.now(),
    }: RateLimitOptions,
  ) {
    this.#perSecond = perSecond;
    this.#burst = burst;
    this.#now = now;
    this.#tokens = burst;
    this.#lastRefillAtMs = now();
  }

  /** Takes a token; returns false if none is available. */
  tryTake(): boolean {
    if (this.#perSecond === Infinity) return true;
    const now = this.#now();
    const refilled = (now - this.#lastRefillAtMs) / 1_000 * this.#perSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + refilled);
    this.#lastRefillAtMs = now;
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
