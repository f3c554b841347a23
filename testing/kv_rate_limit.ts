/**
 * Token bucket with which the stand-ins enforce the platform's rates.
 */

/** Options of a rate limit. */
export interface RateLimitOptions {
  /** Calls in a second; `Infinity` for no limit. */
  perSecond: number;
  /** Calls that may come at once. */
  burst?: number;
  /** Monotonic clock, in milliseconds. */
  now?: () => number;
}

/** Admits calls at a bounded rate. */
export class RateLimit {
  readonly #perSecond: number;
  readonly #burst: number;
  readonly #now: () => number;
  #tokens: number;
  #filledAt: number;

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
    this.#filledAt = now();
  }

  /** Takes one token; false if there is none. */
  tryTake(): boolean {
    if (this.#perSecond === Infinity) return true;
    const now = this.#now();
    const gained = (now - this.#filledAt) / 1_000 * this.#perSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + gained);
    this.#filledAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
