/**
 * Discounts what is known of the requests of other routers by its age.
 *
 * Load pattern: many routers, few slots, calls shorter than the age of any load.
 * Seventy routers know each other's loads as they were 0.2 to 0.8 s ago, while
 * a call lasts 0.06 s. By the time of a choice all of these calls have ended;
 * routers that follow them all send to the same upstream, which rejects what
 * exceeds its queue while the others are idle.
 *
 * After a time t, exp(-t / duration) of the requests are still running. That
 * part of an upstream's deviation from its share of the service's load is kept.
 * The sum over the service changes little with time and is kept whole.
 */

/** Load that other routers put on an upstream, as known at some time. */
export interface StaleLoad {
  /** Number of requests. */
  readonly count: number;
  /** In milliseconds. */
  readonly ageMs: number;
  /** Its share in proportion to the other upstreams, for example its slots. */
  readonly capacity: number;
}

/**
 * Returns the expected number of requests by now. `durationMs` is the mean
 * duration of a request.
 */
export function discountStaleLoads(
  loads: readonly StaleLoad[],
  durationMs: number,
): number[] {
  const total = loads.reduce((sum, { count }) => sum + count, 0);
  const capacities = loads.reduce((sum, { capacity }) => sum + capacity, 0);
  return loads.map(({ count, ageMs, capacity }) => {
    const share = capacities === 0 ? 0 : total * capacity / capacities;
    return share + (count - share) * Math.exp(-ageMs / durationMs);
  });
}
