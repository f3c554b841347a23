/**
 * Judges the target of a rollout order by the merged evidence.
 *
 * Load pattern: a version of which a portion of the responses fails or is slow,
 * from the start, late or on one route only, beside versions that may fail a
 * share of their requests as well. The target gets a tenth of the requests: from
 * 17 responses a second down to fewer than 2, in 3 to 55 seconds.
 *
 * The verdict is computed again and again while the evidence grows, so that a
 * single comparison has to be far stricter than the verdict as a whole.
 */
import {
  type EvidencePeriod,
  getDurationPosition,
  type RouteEvidence,
  type SideCounts,
} from "./rollout_evidence.ts";
import {
  getExcessChance,
  getLowerTail,
  getUpperTail,
  type Sample,
} from "./rollout_statistics.ts";

/** The verdict on a target. */
export interface RolloutJudgement {
  readonly verdict: "bad" | "good" | "undecided";
  /** The counts behind the verdict, for logs. */
  readonly reason: string;
}

/** A response is slow above this multiple of the median of the others. */
const SLOW_FACTOR = 2.5;
/** Responses of the others below which they are no measure. */
const MIN_OTHERS = 20;
/** Failure rate that is assumed where the others are no measure. */
const ASSUMED_FAILURE_RATE = 0.02;
/**
 * Chance below which an excess makes the target bad. The requirement of 0.001 is
 * for the verdict as a whole: an order of 60 s has hundreds of looks, each with
 * comparisons by route, kind and span. At 1e-4, 1 in 100 good versions of some
 * services were found bad.
 */
const BAD_CHANCE = 2e-5;
/** Bad responses more than expected that a bad target has at least. */
const MIN_BAD_EXCESS = 5;
/** Chance below which an excess is a reason not to call the target good. */
const SUSPICIOUS_CHANCE = 0.005;
const MIN_SUSPICIOUS_EXCESS = 2;
/**
 * Numbers of last periods that are also compared alone. Compared over a whole
 * order only, a version that turns bad late would be found far too late where
 * all versions fail a part of the requests.
 */
const RECENT_PERIODS = [4, 8] as const;
/**
 * Bad responses within two seconds that may have one cause, such as the end or
 * suspension of one upstream with all that it has in flight.
 */
const MAX_BURST = 5;
const MIN_BURST = 4;
/** Responses of the target that make it good without a look at the chances. */
const MIN_RESPONSES = 100;
const MIN_ROUTE_RESPONSES = 12;
/** Share of the requests from which on a route must be covered. */
const MIN_ROUTE_SHARE = 1 / 20;
/**
 * With fewer responses, an additional part of bad ones has to be ruled out: 29
 * responses of a service, or 6 of a route, without a bad one do so.
 */
const EXCLUDED = { part: 0.15, chance: 0.01 };
const EXCLUDED_ON_ROUTE = { part: 0.3, chance: 0.12 };

/** Responses of both sides in a span of time, and the bad ones. */
interface Pair {
  readonly target: Sample;
  readonly other: Sample;
}

/** Bad responses of one kind on a route or on all routes. */
interface Series {
  readonly kind: "failed" | "slow";
  /** Undefined for all routes. */
  readonly route: string | undefined;
  /** Bad responses of the target by period. */
  readonly targetHits: readonly number[];
  /** The whole order. */
  readonly whole: Pair;
  /** The last periods, by `RECENT_PERIODS`. */
  readonly recent: readonly Pair[];
}

/** A sample of the target and what it is compared with. */
interface Comparison {
  readonly series: Series;
  readonly span: "whole" | "recent";
  readonly target: Sample;
  /** A rate, where the others are no measure. */
  readonly other: Sample | number;
}

/** Judges the target by the counts of all routes of its service. */
export function judgeRollout(
  routes: readonly RouteEvidence[],
): RolloutJudgement {
  const series = createSeries(routes);
  const all = series[0]!;
  const comparisons = series.flatMap((each) => createComparisons(each, all));
  const bad = comparisons.find((each) =>
    hasExcess(each, { chance: BAD_CHANCE, min: MIN_BAD_EXCESS })
  );
  if (bad !== undefined) return { verdict: "bad", reason: describe(bad) };
  const suspicious = comparisons.find((each) =>
    hasExcess(each, {
      chance: SUSPICIOUS_CHANCE,
      min: MIN_SUSPICIOUS_EXCESS,
    })
  );
  if (suspicious !== undefined) {
    return { verdict: "undecided", reason: describe(suspicious) };
  }
  return judgeCoverage(routes, comparisons);
}

/** Decides whether there is enough evidence, none of which is bad. */
function judgeCoverage(
  routes: readonly RouteEvidence[],
  comparisons: readonly Comparison[],
): RolloutJudgement {
  const counted = routes.map(({ route, periods }) => ({
    route,
    requests: periods.reduce(
      (sum, { target, other }) => sum + countAll(target) + countAll(other),
      0,
    ),
    responses: periods.reduce(
      (sum, { target }) => sum + countMeasured(target),
      0,
    ),
  }));
  const requests = counted.reduce((sum, each) => sum + each.requests, 0);
  const responses = counted.reduce((sum, each) => sum + each.responses, 0);
  const excludes = (
    route: string | undefined,
    excluded: { part: number; chance: number },
  ) =>
    comparisons
      .filter(({ series, span }) => span === "whole" && series.route === route)
      .every((each) => excludesExcess(each, excluded));
  const isCovered = responses >= MIN_RESPONSES ||
    responses > 0 && excludes(undefined, EXCLUDED);
  const uncovered = counted.find((each) =>
    each.requests >= requests * MIN_ROUTE_SHARE &&
    each.responses < MIN_ROUTE_RESPONSES &&
    (each.responses === 0 || !excludes(each.route, EXCLUDED_ON_ROUTE))
  );
  const reason = `${responses} responses of the target`;
  if (!isCovered) return { verdict: "undecided", reason };
  if (uncovered === undefined) return { verdict: "good", reason };
  return {
    verdict: "undecided",
    reason: `${uncovered.responses} on route ${uncovered.route}, ${reason}`,
  };
}

/** Begins with the failures of all routes. */
function createSeries(routes: readonly RouteEvidence[]): Series[] {
  const failed = routes.map((each) => createOne("failed", each, countFailed));
  const slow = routes.flatMap((each) => {
    const limit = findSlowBucket(each.periods);
    if (limit === undefined) return [];
    return [createOne("slow", each, (counts) => countFrom(counts, limit))];
  });
  return [
    createSum("failed", failed),
    ...failed,
    ...(slow.length > 0 ? [createSum("slow", slow)] : []),
    ...slow,
  ];
}

function createOne(
  kind: Series["kind"],
  { route, periods }: RouteEvidence,
  count: (counts: SideCounts) => Sample,
): Series {
  const pairs = periods.map(({ target, other }) => ({
    target: count(target),
    other: count(other),
  }));
  return {
    kind,
    route,
    targetHits: pairs.map(({ target }) => target.hits),
    whole: sumPairs(pairs),
    recent: RECENT_PERIODS.map((count) => sumPairs(pairs.slice(-count))),
  };
}

/** Adds the series of all routes. */
function createSum(kind: Series["kind"], routes: readonly Series[]): Series {
  return {
    kind,
    route: undefined,
    targetHits: (routes[0]?.targetHits ?? []).map((_, index) =>
      routes.reduce((sum, { targetHits }) => sum + targetHits[index]!, 0)
    ),
    whole: sumPairs(routes.map(({ whole }) => whole)),
    recent: RECENT_PERIODS.map((_, index) =>
      sumPairs(routes.map(({ recent }) => recent[index]!))
    ),
  };
}

function sumPairs(pairs: readonly Pair[]): Pair {
  return {
    target: sumSamples(pairs.map(({ target }) => target)),
    other: sumSamples(pairs.map(({ other }) => other)),
  };
}

function sumSamples(samples: readonly Sample[]): Sample {
  let count = 0;
  let hits = 0;
  for (const sample of samples) {
    count += sample.count;
    hits += sample.hits;
  }
  return { count, hits };
}

/** Compares over the whole order, and over the last periods alone. */
function createComparisons(series: Series, all: Series): Comparison[] {
  const { targetHits, whole, recent } = series;
  const baseline = getBaseline(series, all);
  if (baseline === undefined) return [];
  const comparisons: Comparison[] = [{
    series,
    span: "whole",
    target: removeBurst(whole.target, targetHits),
    other: baseline,
  }];
  for (const [index, { target, other }] of recent.entries()) {
    const count = RECENT_PERIODS[index]!;
    if (targetHits.length <= count) break;
    comparisons.push({
      series,
      span: "recent",
      target: removeBurst(target, targetHits.slice(-count)),
      // Once all requests go to the target, the others have no recent responses.
      other: other.count >= MIN_OTHERS ? other : baseline,
    });
  }
  return comparisons;
}

/** Returns what the target is compared with over the whole order. */
function getBaseline(
  { kind, whole }: Series,
  all: Series,
): Sample | number | undefined {
  if (whole.other.count >= MIN_OTHERS) return whole.other;
  if (kind === "slow") return undefined;
  const { count, hits } = all.whole.other;
  const rate = count >= MIN_OTHERS ? hits / count : 0;
  return Math.max(rate, ASSUMED_FAILURE_RATE);
}

/** Takes the burst in the worst two consecutive periods out of a sample. */
function removeBurst(
  { count, hits }: Sample,
  hitsByPeriod: readonly number[],
): Sample {
  const worst = Math.max(
    0,
    ...hitsByPeriod.map((each, index) => each + (hitsByPeriod[index + 1] ?? 0)),
  );
  const removed = worst < MIN_BURST ? 0 : Math.min(worst, MAX_BURST);
  return { count: count - removed, hits: hits - removed };
}

function hasExcess(
  { target, other }: Comparison,
  { chance, min }: { chance: number; min: number },
): boolean {
  if (target.hits - target.count * getRate(other) < min) return false;
  const found = typeof other === "number"
    ? getUpperTail(target, other)
    : getExcessChance(target, other);
  return found < chance;
}

/** Whether the target has too few bad responses for an additional `part`. */
function excludesExcess(
  { target, other }: Comparison,
  { part, chance }: { part: number; chance: number },
): boolean {
  const rate = getRate(other);
  return getLowerTail(target, rate + part * (1 - rate)) < chance;
}

function getRate(other: Sample | number): number {
  return typeof other === "number" ? other : other.hits / other.count;
}

function countFailed(counts: SideCounts): Sample {
  return { count: countAll(counts), hits: counts.failed };
}

function countFrom({ durations }: SideCounts, limit: number): Sample {
  let count = 0;
  let hits = 0;
  for (const [bucket, number] of durations) {
    count += number;
    if (bucket >= limit) hits += number;
  }
  return { count, hits };
}

function countAll({ answered, failed }: SideCounts): number {
  return answered + failed;
}

/** Counts the responses of upstreams that were warm, and all failures. */
function countMeasured(counts: SideCounts): number {
  return countFrom(counts, 0).count + counts.failed;
}

/** Returns the first bucket of slow responses; undefined with too few others. */
function findSlowBucket(
  periods: readonly EvidencePeriod[],
): number | undefined {
  const buckets: number[] = [];
  let total = 0;
  for (const { other } of periods) {
    for (const [bucket, count] of other.durations) {
      buckets[bucket] = (buckets[bucket] ?? 0) + count;
      total += count;
    }
  }
  if (total < MIN_OTHERS) return undefined;
  let before = 0;
  for (const [bucket, count = 0] of buckets.entries()) {
    if (before + count < total / 2) {
      before += count;
      continue;
    }
    const median = bucket + (total / 2 - before) / count;
    return Math.round(median + getDurationPosition(SLOW_FACTOR));
  }
  return undefined;
}

function describe({ series: { kind, route }, target, other }: Comparison) {
  const where = route === undefined ? "on all routes" : `on route ${route}`;
  const others = typeof other === "number"
    ? `an assumed rate of ${other.toFixed(3)}`
    : `${other.hits} of ${other.count} at other versions`;
  return `${target.hits} of ${target.count} ${kind} ${where}, ${others}`;
}
