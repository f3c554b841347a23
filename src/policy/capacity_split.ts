/**
 * Splits the capacity of a service among those that ask for more than it has.
 *
 * Load pattern: a workspace sends several times its usual demand, or the least
 * urgent class bursts, and the sum exceeds the slots. The more urgent priority is
 * served first, as upstreams do with those that wait there. Within the priority
 * that does not fit, capacity is shared in proportion to the usual demand of
 * each workspace, so that those who ask for no more than usual are cut last.
 *
 * A workspace keeps part of its demand in any case: the operators are charged
 * for one that is served less than a quarter as often as all.
 */
import { type DemandEntry, encodeDemandKey } from "./demand_meter.ts";

/** What one priority and workspace gets. */
export interface DemandPart {
  /** Fraction of its requests that fits, 0 to 1. */
  readonly fraction: number;
  /** Whether it asks for more than its share, and that far above the usual. */
  readonly isExcess: boolean;
}

/** Options of `splitCapacity`. */
export interface CapacitySplitOptions {
  /** Requests that can be in flight without waiting. */
  readonly capacity: number;
  /** Returns the usual work of a workspace, 0 if it is unknown. */
  readonly getUsual: (workspace: string | undefined) => number;
}

/**
 * Fraction of a workspace's demand that fits in any case, relative to that of
 * all demand. The limit is a quarter; the rest allows for requests that are
 * admitted and wait at upstreams behind more urgent ones for too long.
 */
const MIN_RELATIVE_FRACTION = 0.5;
/**
 * Demand relative to the usual above which a workspace counts as in excess; more
 * than its refused requests come to if each is retried once.
 */
const EXCESS_FACTOR = 2.5;
/** Weight of a workspace of which nothing usual is known, in work. */
const MIN_WEIGHT = 0.01;

interface Claim {
  readonly entry: DemandEntry;
  /** Work that it gets in any case. */
  readonly reserved: number;
  /** Work that it asks for beyond that. */
  readonly rest: number;
  readonly weight: number;
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

/** Returns the largest `level` at which what the claims get fits `capacity`. */
function findLevel(claims: readonly Claim[], capacity: number): number {
  const sorted = [...claims].sort((left, right) =>
    left.rest / left.weight - right.rest / right.weight
  );
  let left = capacity;
  let weights = sumOf(sorted.map(({ weight }) => weight));
  for (const { rest, weight } of sorted) {
    if (rest / weight * weights > left) return left / weights;
    left -= rest;
    weights -= weight;
  }
  return Infinity;
}

/**
 * Splits `capacity` among the entries of one service. Returns the part of each by
 * its encoded key; all get their whole demand if that fits.
 */
export function splitCapacity(
  entries: readonly DemandEntry[],
  { capacity, getUsual }: CapacitySplitOptions,
): Map<string, DemandPart> {
  const total = sumOf(entries.map(({ work }) => work));
  const overall = total > 0 ? Math.min(1, capacity / total) : 1;
  const parts = new Map<string, DemandPart>();
  const claimsByPriority = new Map<number, Claim[]>();
  let left = capacity;
  for (const entry of entries) {
    const reserved = entry.workspace === undefined
      ? 0
      : entry.work * overall * MIN_RELATIVE_FRACTION;
    left -= reserved;
    const claims = claimsByPriority.get(entry.priority) ?? [];
    claimsByPriority.set(entry.priority, claims);
    claims.push({
      entry,
      reserved,
      rest: entry.work - reserved,
      weight: Math.max(MIN_WEIGHT, getUsual(entry.workspace)),
    });
  }
  const priorities = [...claimsByPriority].sort(([one], [other]) =>
    one - other
  );
  for (const [, claims] of priorities) {
    const level = findLevel(claims, Math.max(0, left));
    for (const { entry, reserved, rest, weight } of claims) {
      const granted = Math.min(rest, level * weight);
      left -= granted;
      const fraction = entry.work > 0 ? (reserved + granted) / entry.work : 1;
      const usual = getUsual(entry.workspace);
      parts.set(encodeDemandKey(entry), {
        fraction,
        isExcess: granted < rest && entry.workspace !== undefined &&
          usual > 0 && entry.work > EXCESS_FACTOR * usual,
      });
    }
  }
  return parts;
}
