/** Collects what a run of the load tool saw. */
import { build, type Histogram } from "hdr-histogram-js";
import type { Breakage, Outcome } from "./outcome.ts";

/** Quantiles of a histogram, in milliseconds. */
export interface Quantiles {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Reuse of cached prefixes by returning chats. */
export interface CacheReuse {
  /** Turns of returning chats that got a whole answer. */
  readonly turns: number;
  /** Tokens of the longest prefixes served before. */
  readonly prefixTokens: number;
  /** Those of them that the upstream found in its cache. */
  readonly cachedTokens: number;
  /** `cachedTokens / prefixTokens`, 0 without a returning chat. */
  readonly ratio: number;
  /** Turns whose answer lacked the cache headers; they count as no reuse. */
  readonly withoutHeaders: number;
}

/** Counts of one second of the run. */
export interface SecondCounts {
  readonly second: number;
  sent: number;
  whole: number;
  refused: number;
  broken: number;
  prefixTokens: number;
  cachedTokens: number;
}

/** What a run saw of one kind of request. */
export interface KindReport {
  readonly sent: number;
  readonly whole: number;
  /** Proper refusals by code. */
  readonly refused: Readonly<Record<string, number>>;
  /** Refusals that left open whether the request ran. */
  readonly refusedUnknown: number;
  readonly broken: number;
  readonly brokenBy: Readonly<Partial<Record<Breakage, number>>>;
  /** The first few broken answers. */
  readonly brokenSamples: readonly string[];
}

/** Report of a run. */
export interface LoadReport {
  readonly seed: number;
  readonly seconds: number;
  readonly chats: KindReport;
  /** The chats by workspace key. */
  readonly chatsByKey: Readonly<Record<string, KindReport>>;
  readonly bookings: KindReport;
  /** Arrivals that found no idle chat. */
  readonly skipped: number;
  readonly firstTokenMs: Quantiles;
  readonly betweenTokensMs: Quantiles;
  readonly wholeAnswerMs: Quantiles;
  readonly cacheReuse: CacheReuse;
  /** Whole answers by the header `x-upstream`. */
  readonly perUpstream: Readonly<Record<string, number>>;
  /** Largest count of an upstream over the mean; 0 without any. */
  readonly upstreamSkew: number;
  readonly timeline: readonly SecondCounts[];
  readonly bookingRuns?: BookingRuns;
}

/** What the plain services say of the bookings after the run. */
export interface BookingRuns {
  /** Keys that ran at all. */
  readonly ran: number;
  /** Keys that ran more than once. */
  readonly ranTwice: readonly string[];
  /** Keys that ran though every answer said that they did not. */
  readonly ranThoughRefused: readonly string[];
  /** Keys that did not run though an answer was whole. */
  readonly missing: readonly string[];
}

const US_PER_MS = 1_000;
const HIGHEST_US = 600_000_000;
const MAX_SAMPLES = 10;
const MS_PER_SECOND = 1_000;

/** A histogram of times. */
export class Times {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 3,
  });

  /** Adds a time in milliseconds. */
  record(ms: number): void {
    const us = Math.round(ms * US_PER_MS);
    this.#histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, us)));
  }

  /** Summarises the histogram. */
  getQuantiles(): Quantiles {
    const histogram = this.#histogram;
    const at = (quantile: number) =>
      histogram.getValueAtPercentile(quantile) / US_PER_MS;
    const isEmpty = histogram.totalCount === 0;
    return {
      count: histogram.totalCount,
      mean: isEmpty ? 0 : histogram.mean / US_PER_MS,
      p50: at(50),
      p90: at(90),
      p99: at(99),
      max: isEmpty ? 0 : histogram.maxValue / US_PER_MS,
    };
  }
}

/** Counts the outcomes of one kind of request. */
export class KindCounts {
  sent = 0;
  #whole = 0;
  #refusedUnknown = 0;
  #broken = 0;
  readonly #refused: Record<string, number> = {};
  readonly #brokenBy: Partial<Record<Breakage, number>> = {};
  readonly #brokenSamples: string[] = [];

  /** Counts one outcome. */
  record(outcome: Outcome): void {
    if (outcome.kind === "whole") {
      this.#whole++;
    } else if (outcome.kind === "refused") {
      increment(this.#refused, outcome.code);
      if (outcome.ran === "unknown") this.#refusedUnknown++;
    } else {
      this.#broken++;
      increment(this.#brokenBy, outcome.breakage);
      const sample = `${outcome.breakage}: ${outcome.detail}`;
      if (this.#broken <= MAX_SAMPLES) this.#brokenSamples.push(sample);
    }
  }

  /** Everything counted so far. */
  getReport(): KindReport {
    return {
      sent: this.sent,
      whole: this.#whole,
      refused: this.#refused,
      refusedUnknown: this.#refusedUnknown,
      broken: this.#broken,
      brokenBy: this.#brokenBy,
      brokenSamples: this.#brokenSamples,
    };
  }
}

/** Counts by second since the start of the run. */
export class Timeline {
  readonly #startedAt: number;
  readonly #seconds: SecondCounts[] = [];

  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  /** The counts of the second that `now` falls in. */
  at(now: number): SecondCounts {
    const index = Math.floor((now - this.#startedAt) / MS_PER_SECOND);
    while (this.#seconds.length <= index) {
      this.#seconds.push(createSecond(this.#seconds.length));
    }
    return this.#seconds[index]!;
  }

  /** All seconds up to the last one with an event. */
  getSeconds(): readonly SecondCounts[] {
    return this.#seconds;
  }
}

function createSecond(second: number): SecondCounts {
  return {
    second,
    sent: 0,
    whole: 0,
    refused: 0,
    broken: 0,
    prefixTokens: 0,
    cachedTokens: 0,
  };
}

/** Adds one to a count by name. */
export function increment<K extends string>(
  counts: Partial<Record<K, number>>,
  name: K,
): void {
  counts[name] = (counts[name] ?? 0) + 1;
}

/** Largest count over the mean; 0 without counts. */
export function getSkew(counts: Readonly<Record<string, number>>): number {
  const values = Object.values(counts);
  const total = values.reduce((sum, value) => sum + value, 0);
  return total === 0 ? 0 : Math.max(...values) * values.length / total;
}
