/**
 * Estimates how much longer than usual work takes at each upstream.
 *
 * Load pattern: upstreams share their hosts with other workloads, so that at any
 * time some are 2.5 times slower than usual, changing many times a second. A
 * figure that is older than such a change says nothing about the speed at the
 * time of a choice; the average does. Each router sees an upstream once in many
 * seconds, so that the average needs the figures that all routers have seen.
 */
import { DecayingMeans } from "./decaying_means.ts";

/**
 * Mean pace and the sum of the weights of its samples; a pace of 2 is half as
 * fast as usual.
 */
export type PaceMean = readonly [pace: number, weight: number];

/** Mean paces by upstream id. */
export type PaceMeans = Readonly<Record<string, PaceMean>>;

/** Mean paces as they were known at a time. */
export interface PaceReport {
  readonly paces: PaceMeans;
  /** Time since then, in milliseconds. */
  readonly ageMs: number;
}

/** Bounds of the pace. */
export const MIN_PACE = 0.1;
export const MAX_PACE = 20;
/** Number of upstreams in a message; those with most samples go first. */
export const MAX_REPORTED_PACES = 256;
/** Half-life of a sample in the mean, in milliseconds. */
const MEAN_HALF_LIFE_MS = 5_000;
/** Half-life of a figure as the current pace, in milliseconds. */
const FIGURE_HALF_LIFE_MS = 200;
/** Weight of a mean below which it is not reported. */
const MIN_REPORTED_WEIGHT = 0.1;
/** Interval at which the means of other routers are merged, in milliseconds. */
const MERGE_INTERVAL_MS = 200;
/** Pace of an upstream that has stated none. */
const USUAL_PACE = 1;

/** Merges means, each decayed by its age. */
export function mergePaces(reports: readonly PaceReport[]): PaceMeans {
  const sums = new Map<string, { total: number; weight: number }>();
  for (const { paces, ageMs } of reports) {
    const factor = 0.5 ** (ageMs / MEAN_HALF_LIFE_MS);
    for (const [upstream, [pace, weight]] of Object.entries(paces)) {
      const sum = sums.get(upstream) ?? { total: 0, weight: 0 };
      sum.total += pace * weight * factor;
      sum.weight += weight * factor;
      sums.set(upstream, sum);
    }
  }
  const means = [...sums]
    .filter(([, { weight }]) => weight > 0)
    .map(([upstream, { total, weight }]) =>
      [upstream, [total / weight, weight]] as const
    );
  return Object.fromEntries(means);
}

/** Rounds and bounds means for a message. */
export function reportPaces(paces: PaceMeans): PaceMeans {
  const reported = Object.entries(paces)
    .filter(([, [, weight]]) => weight >= MIN_REPORTED_WEIGHT)
    .sort(([, [, one]], [, [, other]]) => other - one)
    .slice(0, MAX_REPORTED_PACES)
    .map(([upstream, [pace, weight]]) =>
      [upstream, [round(pace), round(weight)]] as const
    );
  return Object.fromEntries(reported);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Options of `UpstreamPace`. */
export interface UpstreamPaceOptions {
  /** Returns the means of the other routers. */
  readonly getPeerPaces: (now: number) => PaceMeans;
}

/** Paces of upstreams, from the figures that they state. */
export class UpstreamPace {
  readonly #options: UpstreamPaceOptions;
  readonly #means = new DecayingMeans({ halfLifeMs: MEAN_HALF_LIFE_MS });
  readonly #figures = new Map<string, { pace: number; at: number }>();
  #merged: ReadonlyMap<string, PaceMean> = new Map();
  #mergedAt = -Infinity;

  constructor(options: UpstreamPaceOptions) {
    this.#options = options;
  }

  /** Records the figure of an answer; undefined if it has none. */
  record(upstream: string, figure: number | undefined, now: number): void {
    // Upstreams that never state a pace need no record.
    if (figure === undefined && !this.#figures.has(upstream)) return;
    const pace = Math.min(MAX_PACE, Math.max(MIN_PACE, figure ?? USUAL_PACE));
    this.#means.record(upstream, pace, now);
    this.#figures.set(upstream, { pace, at: now });
  }

  /** Returns the expected pace of an upstream. */
  get(upstream: string, now: number): number {
    const [mean] = this.#merge(now).get(upstream) ?? [USUAL_PACE];
    const figure = this.#figures.get(upstream);
    if (figure === undefined) return mean;
    const weight = 0.5 ** ((now - figure.at) / FIGURE_HALF_LIFE_MS);
    return mean + (figure.pace - mean) * weight;
  }

  /** Returns the mean paces of this router's own samples. */
  listOwn(now: number): PaceMeans {
    const means = this.#means.list(now)
      .map((upstream) => {
        const { mean, weight } = this.#means.findWeighted(upstream, now)!;
        return [upstream, [mean, weight]] as const;
      });
    return Object.fromEntries(means);
  }

  /** Mean pace over the upstreams that state one; 1 if none does. */
  getMean(now: number): number {
    const paces = [...this.#merge(now).values()];
    const total = paces.reduce((sum, [pace]) => sum + pace, 0);
    return paces.length === 0 ? USUAL_PACE : total / paces.length;
  }

  /** Drops what was recorded of an upstream whose process is new. */
  forget(upstream: string): void {
    this.#means.forget(upstream);
    this.#figures.delete(upstream);
  }

  /** Drops expired means. */
  prune(now: number): void {
    this.#means.prune(now);
    for (const upstream of [...this.#figures.keys()]) {
      if (this.#means.find(upstream, now) !== undefined) continue;
      this.#figures.delete(upstream);
    }
  }

  /**
   * Returns the means over all routers. They are merged once in an interval, since
   * a relay has messages of many routers.
   */
  #merge(now: number): ReadonlyMap<string, PaceMean> {
    if (now - this.#mergedAt < MERGE_INTERVAL_MS) return this.#merged;
    const merged = mergePaces([
      { paces: this.listOwn(now), ageMs: 0 },
      { paces: this.#options.getPeerPaces(now), ageMs: 0 },
    ]);
    this.#merged = new Map(Object.entries(merged));
    this.#mergedAt = now;
    return this.#merged;
  }
}
