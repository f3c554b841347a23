/**
 * Cold start of one upstream: whether it is cold, and the ramp-up of its limit.
 *
 * An upstream is cold initially. Its in-flight limit grows from the cold limit
 * with successful requests, and at most doubles per doubling interval.
 */
import type { LoadReport } from "../types.ts";

/** Options of `createColdStart`. */
export interface ColdStartOptions {
  /** Upper bound of the in-flight limit. */
  readonly hardLimit: number;
  /** In-flight limit while the upstream is cold. */
  readonly coldLimit: number;
  /** Time without contact after which the upstream is cold, in milliseconds. */
  readonly staleMs?: number;
  /** Minimum time in which the limit may double, in milliseconds. */
  readonly doublingMs?: number;
  /** A response is slow above this multiple of the mean time to first byte. */
  readonly slowFactor?: number;
  /** No response is slow up to this time to first byte, in milliseconds. */
  readonly slowFloorMs?: number;
  /** Responses before the mean time to first byte is used. */
  readonly historyCount?: number;
  /** Consecutive slow responses that make the upstream cold. */
  readonly slowCount?: number;
}

/** Result of an attempt at the upstream. */
export interface AttemptResult {
  /** False for a failure that the upstream caused. */
  readonly ok: boolean;
  /** Time to first byte in milliseconds; absent if no byte arrived. */
  readonly firstByteMs?: number;
  /**
   * Current time to first byte of the pool's upstreams for such a prompt, in
   * milliseconds. High load slows all upstreams, so it must not make a single
   * one count as cold.
   */
  readonly poolFirstByteMs?: number;
  /** Incarnation that responded; absent if none did. */
  readonly incarnation?: string;
  /**
   * Fraction of this router's allowance on the upstream that was in use when
   * the attempt was admitted, including the attempt. The limit grows only if at
   * least half was in use; an absent value counts as full use.
   */
  readonly utilisation?: number;
}

/** Tracks whether an upstream is cold, and its in-flight limit. */
export interface ColdStart {
  /** Gets the in-flight limit, between the cold and the hard limit. */
  limit(now: number): number;
  /** Whether the limit is the cold limit; false once it has started to grow. */
  isCold(now: number): boolean;
  recordReport(report: LoadReport, now: number): void;
  recordAttempt(answer: AttemptResult, now: number): void;
}

const DEFAULTS = {
  staleMs: 10_000,
  doublingMs: 1_000,
  slowFactor: 8,
  slowFloorMs: 200,
  historyCount: 8,
  slowCount: 3,
} as const;
const MIN_SAMPLE_WEIGHT = 0.1;
const FAILURE_LIMIT_FACTOR = 0.5;
const MIN_GROWTH_UTILISATION = 0.5;

/** Creates the state of an upstream without any reports or responses. */
export function createColdStart(options: ColdStartOptions): ColdStart {
  return new RampedColdStart({ ...DEFAULTS, ...options });
}

class RampedColdStart implements ColdStart {
  readonly #options: Required<ColdStartOptions>;
  readonly #coldLimit: number;
  #limit: number;
  /** Limit at the start of the current doubling interval. */
  #intervalLimit: number;
  #intervalStart = -Infinity;
  #incarnation: string | undefined;
  #isReportedCold = false;
  #lastContactAt = -Infinity;
  #lastReportMadeAt = -Infinity;
  #meanFirstByteMs = 0;
  #answerCount = 0;
  #consecutiveSlowCount = 0;

  constructor(options: Required<ColdStartOptions>) {
    this.#options = options;
    this.#coldLimit = Math.min(options.coldLimit, options.hardLimit);
    this.#limit = this.#coldLimit;
    this.#intervalLimit = this.#coldLimit;
  }

  limit(now: number): number {
    if (this.#isStale(now)) this.#reset();
    return this.#isReportedCold ? this.#coldLimit : this.#limit;
  }

  isCold(now: number): boolean {
    return this.limit(now) <= this.#coldLimit &&
      this.#coldLimit < this.#options.hardLimit;
  }

  recordReport(report: LoadReport, now: number): void {
    const madeAt = now - report.ageMs;
    // Ignore a report that is older than the last one.
    if (madeAt < this.#lastReportMadeAt) return;
    if (this.#isStale(now)) this.#reset();
    this.#lastReportMadeAt = madeAt;
    this.#lastContactAt = Math.max(this.#lastContactAt, madeAt);
    this.#recordIncarnation(report.incarnation);
    this.#isReportedCold = report.cold;
    if (report.cold) this.#reset();
  }

  recordAttempt(answer: AttemptResult, now: number): void {
    if (this.#isStale(now)) this.#reset();
    const { incarnation } = answer;
    if (incarnation !== undefined) {
      this.#lastContactAt = now;
      if (this.#recordIncarnation(incarnation)) return;
    }
    if (!answer.ok) {
      this.#reduceLimit();
      return;
    }
    const isSlow = this.#recordFirstByte(answer);
    this.#consecutiveSlowCount = isSlow ? this.#consecutiveSlowCount + 1 : 0;
    if (this.#consecutiveSlowCount >= this.#options.slowCount) this.#reset();
    if (isSlow) return;
    if (!this.#isReportedCold) this.#grow(answer, now);
  }

  #isStale(now: number): boolean {
    return now - this.#lastContactAt > this.#options.staleMs;
  }

  #reset(): void {
    this.#limit = this.#coldLimit;
    this.#intervalStart = -Infinity;
  }

  #reduceLimit(): void {
    const reduced = Math.floor(this.#limit * FAILURE_LIMIT_FACTOR);
    this.#limit = Math.max(this.#coldLimit, reduced);
    this.#intervalStart = -Infinity;
  }

  /**
   * Records the incarnation; a new one makes the upstream cold. Returns whether
   * it replaced an earlier incarnation.
   */
  #recordIncarnation(incarnation: string): boolean {
    const isNew = this.#incarnation !== incarnation;
    const isFirst = this.#incarnation === undefined;
    this.#incarnation = incarnation;
    if (isNew) this.#reset();
    return isNew && !isFirst;
  }

  /**
   * Updates the mean time to first byte; returns whether the response was slow.
   * A slow response counts as the slow bound itself, so the mean follows a
   * lasting change but not a single outlier.
   */
  #recordFirstByte(
    { firstByteMs, poolFirstByteMs = 0 }: AttemptResult,
  ): boolean {
    if (firstByteMs === undefined) return false;
    const { slowFactor, slowFloorMs, historyCount } = this.#options;
    const expectedMs = Math.max(this.#meanFirstByteMs, poolFirstByteMs);
    const slowBoundMs = Math.max(slowFloorMs, slowFactor * expectedMs);
    const isSlow = this.#answerCount >= historyCount &&
      firstByteMs > slowBoundMs;
    const sampleMs = isSlow ? slowBoundMs : firstByteMs;
    this.#answerCount++;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.#answerCount);
    this.#meanFirstByteMs += weight * (sampleMs - this.#meanFirstByteMs);
    return isSlow;
  }

  /** Adds one to the limit, up to twice the limit at the interval's start. */
  #grow({ utilisation = 1 }: AttemptResult, now: number): void {
    if (utilisation < MIN_GROWTH_UTILISATION) return;
    if (now - this.#intervalStart >= this.#options.doublingMs) {
      this.#intervalStart = now;
      this.#intervalLimit = this.#limit;
    }
    const { hardLimit } = this.#options;
    const bound = Math.min(hardLimit, 2 * this.#intervalLimit);
    this.#limit = Math.min(this.#limit + 1, bound);
  }
}
