/**
 * Power of two choices: of two upstreams drawn at random, the one with the
 * shorter queue takes the request.
 *
 * Load pattern: requests without a prompt from many routers that choose at the
 * same time with the same information. The upstream that is the least loaded by
 * that would get all of them. Two draws bound the share of any upstream and
 * still avoid one that is known to be busy; without any information they spread
 * requests in proportion to the capacities, slots divided by pace. At a low load
 * the faster one is preferred, and then the nearer one. At a high load neither
 * is: the others still have to take their parts then.
 */

/** An upstream that can be drawn. */
export interface Draw {
  /** Expected requests ahead of a new one. */
  readonly expectedLoad: number;
  /** Number of requests that it processes at the same time. */
  readonly slots: number;
  /** How much longer than usual work takes there; 1 is as usual. */
  readonly pace: number;
  /** Whether it is in the failure domain of this router. */
  readonly isLocal: boolean;
}

/** Difference of load below which two upstreams are alike, in requests. */
const TIE_REQUESTS = 0.5;
/**
 * Load in proportion to the capacity from which on no upstream is preferred to
 * one that is alike. Two draws give one that all routers prefer up to twice its
 * share, which it can run below half of its capacity.
 */
const MAX_PREFERRED_QUEUE = 0.5;
/**
 * Ratio of paces from which on one upstream counts as faster. Averages of figures
 * that alternate between 1 and 2.5 differ by about a tenth by chance.
 */
const MIN_FASTER_RATIO = 1.25;

/**
 * Returns the better of two candidates that are drawn in proportion to their
 * capacities. If they are alike, the preferred one, or the first draw. Undefined
 * without candidates.
 */
export function chooseOfTwo<T extends Draw>(
  candidates: readonly T[],
  random: () => number,
): T | undefined {
  const first = draw(candidates, random);
  const second = draw(candidates.filter((each) => each !== first), random);
  if (first === undefined || second === undefined) return first;
  const difference = getQueue(first) - getQueue(second);
  const tie = TIE_REQUESTS / Math.max(getCapacity(first), getCapacity(second));
  if (Math.abs(difference) > tie) return difference > 0 ? second : first;
  return isPreferred(second, first) ? second : first;
}

/** Whether `one` is preferred to `other`, which is alike in load. */
function isPreferred(one: Draw, other: Draw): boolean {
  if (getQueue(one) >= MAX_PREFERRED_QUEUE) return false;
  if (isFaster(one, other)) return true;
  return one.isLocal && !other.isLocal && !isFaster(other, one);
}

function isFaster(one: Draw, other: Draw): boolean {
  return one.pace * MIN_FASTER_RATIO <= other.pace;
}

/** Returns the requests that it processes at the same time, at usual pace. */
export function getCapacity(
  { slots, pace }: Pick<Draw, "slots" | "pace">,
): number {
  return slots / pace;
}

/** Returns the requests ahead of a new one, in proportion to the capacity. */
function getQueue(draw: Draw): number {
  return draw.expectedLoad / getCapacity(draw);
}

function draw<T extends Draw>(
  candidates: readonly T[],
  random: () => number,
): T | undefined {
  const total = candidates.reduce((sum, each) => sum + getCapacity(each), 0);
  let rest = random() * total;
  for (const candidate of candidates) {
    rest -= getCapacity(candidate);
    if (rest < 0) return candidate;
  }
  return candidates.at(-1);
}
