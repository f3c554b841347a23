/** Collects the figures of a run of the load tool. */
import { build, type Histogram } from "hdr-histogram-js";
import type { Breakage, Outcome } from "./outcome.ts";

/** Summary of a histogram; times in milliseconds. */
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
  /** Turns of returning chats with a complete response. */
  readonly turns: number;
  /** Tokens of the histories that were served before, summed over the turns. */
  readonly prefixTokens: number;
  /** Those of `prefixTokens` that the upstream found in its cache. */
  readonly cachedTokens: number;
  /** `cachedTokens / prefixTokens`; 0 without a returning chat. */
  readonly ratio: number;
  /** Turns whose response has no cache header; they count as no reuse. */
  readonly withoutHeaders: number;
}

/** Counts of one second of a run. */
export interface SecondCounts {
  readonly second: number;
  sent: number;
  whole: number;
  refused: number;
  broken: number;
  prefixTokens: number;
  cachedTokens: number;
}

/** Outcomes of one kind of request in a run. */
export interface OutcomeReport {
  readonly sent: number;
  readonly whole: number;
  /** Valid refusals by code. */
  readonly refused: Readonly<Record<string, number>>;
  /** Refusals after which the request may have run. */
  readonly refusedUnknown: number;
  readonly broken: number;
  readonly brokenBy: Readonly<Partial<Record<Breakage, number>>>;
  /** Descriptions of the first broken responses. */
  readonly brokenSamples: readonly string[];
}

/** Report of a run of the load tool. */
export interface LoadReport {
  readonly seed: number;
  readonly seconds: number;
  readonly chats: OutcomeReport;
  /** Outcomes of the chat turns by workspace key. */
  readonly chatsByKey: Readonly<Record<string, OutcomeReport>>;
  readonly bookings: OutcomeReport;
  /** Arrivals without an idle chat to send a turn of. */
  readonly skipped: number;
  readonly firstTokenMs: Quantiles;
  readonly betweenTokensMs: Quantiles;
  readonly wholeAnswerMs: Quantiles;
  readonly cacheReuse: CacheReuse;
  /** Complete responses by the header `x-upstream`. */
  readonly perUpstream: Readonly<Record<string, number>>;
  /** Largest count in `perUpstream` divided by the mean; 0 without any. */
  readonly upstreamSkew: number;
  readonly timeline: readonly SecondCounts[];
  readonly bookingRuns?: BookingRuns;
}

/** Bookings that the plain services ran, compared with their outcomes. */
export interface BookingRuns {
  /** Number of keys that ran at least once. */
  readonly ran: number;
  /** Keys that ran more than once. */
  readonly ranTwice: readonly string[];
  /** Keys that ran although every response said that they did not. */
  readonly ranThoughRefused: readonly string[];
  /** Keys that did not run although a response was complete. */
  readonly missing: readonly string[];
}

const US_PER_MS = 1_000;
const MAX_TRACKED_US = 600_000_000;
const MAX_BROKEN_SAMPLES = 10;
const MS_PER_SECOND = 1_000;

/** A histogram of durations with three significant digits. */
export class DurationHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_US,
    numberOfSignificantValueDigits: 3,
  });

  /** Adds a duration in milliseconds. */
  record(ms: number): void {
    const us = Math.round(ms * US_PER_MS);
    this.#histogram.recordValue(Math.min(MAX_TRACKED_US, Math.max(1, us)));
  }

  /** Returns the quantiles of all durations so far. */
  getQuantiles(): Quantiles {
    const histogram = this.#histogram;
    const getMsAtPercentile = (percentile: number) =>
      histogram.getValueAtPercentile(percentile) / US_PER_MS;
    const isEmpty = histogram.totalCount === 0;
    return {
      count: histogram.totalCount,
      mean: isEmpty ? 0 : histogram.mean / US_PER_MS,
      p50: getMsAtPercentile(50),
      p90: getMsAtPercentile(90),
      p99: getMsAtPercentile(99),
      max: isEmpty ? 0 : histogram.maxValue / US_PER_MS,
    };
  }
}

/** Counts the outcomes of one kind of request. */
export class OutcomeCounts {
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
      if (this.#broken <= MAX_BROKEN_SAMPLES) this.#brokenSamples.push(sample);
    }
  }

  /** Returns the counts so far. */
  getReport(): OutcomeReport {
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

/** Counts for each second since the start of a run. */
export class Timeline {
  readonly #startedMs: number;
  readonly #seconds: SecondCounts[] = [];

  constructor(startedMs: number) {
    this.#startedMs = startedMs;
  }

  /** Returns the counts of the second that contains `now`. */
  at(now: number): SecondCounts {
    const index = Math.floor((now - this.#startedMs) / MS_PER_SECOND);
    while (this.#seconds.length <= index) {
      this.#seconds.push(createSecond(this.#seconds.length));
    }
    return this.#seconds[index]!;
  }

  /** Returns all seconds up to the last one with an event. */
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

/** Adds one to the count of `name`. */
export function increment<K extends string>(
  counts: Partial<Record<K, number>>,
  name: K,
): void {
  counts[name] = (counts[name] ?? 0) + 1;
}

/** Returns the largest count divided by the mean; 0 without counts. */
export function getSkew(counts: Readonly<Record<string, number>>): number {
  const values = Object.values(counts);
  const total = values.reduce((sum, value) => sum + value, 0);
  return total === 0 ? 0 : Math.max(...values) * values.length / total;
}
