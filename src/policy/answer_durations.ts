/**
 * Estimates how long the answers of a route take, from those of the recent past.
 *
 * Load pattern: streams whose time limits are many times as long as most of them
 * take, at a router that stops. Their limits would have nearly all refused, and
 * without an estimate the long ones would be cut.
 */

/** Answers of a route that are kept. */
const MAX_SAMPLES = 200;
/** Fewer answers give no estimate. */
const MIN_SAMPLES = 5;
/** Routes that are kept; those without answers for longest are dropped. */
const MAX_ROUTES = 1_024;

/** Durations of one route, in milliseconds; the oldest is overwritten. */
interface Samples {
  readonly values: number[];
  next: number;
}

/** Recent durations of the answers of each route. */
export class AnswerDurations {
  readonly #routes = new Map<string, Samples>();

  /** Records that an answer of `route` took `ms` milliseconds to its end. */
  record(route: string, ms: number): void {
    const samples = this.#routes.get(route) ?? { values: [], next: 0 };
    samples.values[samples.next] = ms;
    samples.next = (samples.next + 1) % MAX_SAMPLES;
    this.#routes.delete(route);
    this.#routes.set(route, samples);
    for (const oldest of this.#routes.keys()) {
      if (this.#routes.size <= MAX_ROUTES) break;
      this.#routes.delete(oldest);
    }
  }

  /**
   * Returns a time within which `share` of the answers of `route` end, in
   * milliseconds; undefined if too few are known.
   */
  findMs(route: string, share: number): number | undefined {
    const values = this.#routes.get(route)?.values ?? [];
    if (values.length < MIN_SAMPLES) return undefined;
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * share) - 1];
  }
}
