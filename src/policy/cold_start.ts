/**
 * Cold start of one upstream: when it is cold, and the ramp of its limit.
 *
 * An upstream that nothing is known of is cold. Its limit grows from the cold
 * limit only as work completes well, and at most doubles in a set time.
 */
import type { LoadReport } from "../types.ts";

/** Options of a cold start. */
export interface ColdStartOptions {
  readonly hardLimit: number;
  readonly coldLimit: number;
  /** Silence after which the upstream counts as cold, in milliseconds. */
  readonly staleMs?: number;
  /** Shortest time in which the limit may double, in milliseconds. */
  readonly doublingMs?: number;
  /** An answer is slow at this multiple of the mean time to first byte. */
  readonly slowFactor?: number;
  /** No answer is slow below this time to first byte, in milliseconds. */
  readonly slowFloorMs?: number;
  /** Answers before the mean time to first byte is relied on. */
  readonly historyCount?: number;
  /** Slow answers in a row that make the upstream cold. */
  readonly slowCount?: number;
}

/** How an attempt on the upstream went. */
export interface Answer {
  /** False for a failure that is the upstream's. */
  readonly ok: boolean;
  /** Time to first byte; absent where none came. */
  readonly firstByteMs?: number;
  /**
   * Time to first byte that the pool's upstreams take at present for such a
   * prompt. A load that slows all of them says nothing of one being cold.
   */
  readonly poolFirstByteMs?: number;
  /** Incarnation that answered; absent where none did. */
  readonly incarnation?: string;
  /**
   * Part of what this router might have in flight on the upstream that was in
   * use when the attempt was admitted, with the attempt. The limit grows only
   * by attempts that found at least half in use; an answer without the figure
   * counts as one that did.
   */
  readonly utilisation?: number;
}

/** Tracks whether an upstream is cold and how much it may carry. */
export interface ColdStart {
  /** In-flight limit, between the cold and the hard limit. */
  limit(now: number): number;
  /** Whether the limit is the cold limit; false once the ramp has begun. */
  isCold(now: number): boolean;
  onReport(report: LoadReport, now: number): void;
  onAnswer(answer: Answer, now: number): void;
}

const DEFAULTS = {
  staleMs: 10_000,
  doublingMs: 1_000,
  slowFactor: 8,
  slowFloorMs: 200,
  historyCount: 8,
  slowCount: 3,
} as const;
const HISTORY_WEIGHT = 0.1;
const FAILURE_FACTOR = 0.5;
const GROWTH_UTILISATION = 0.5;

/** Creates the state of an upstream that nothing is known of. */
export function createColdStart(options: ColdStartOptions): ColdStart {
  return new RampedColdStart({ ...DEFAULTS, ...options });
}

class RampedColdStart implements ColdStart {
  readonly #options: Required<ColdStartOptions>;
  readonly #coldLimit: number;
  #limit: number;
  /** Limit at the start of the present doubling interval. */
  #intervalLimit: number;
  #intervalStart = -Infinity;
  #incarnation: string | undefined;
  #flaggedCold = false;
  #heardAt = -Infinity;
  #reportMadeAt = -Infinity;
  #meanFirstByteMs = 0;
  #answerCount = 0;
  #slowRun = 0;

  constructor(options: Required<ColdStartOptions>) {
    this.#options = options;
    this.#coldLimit = Math.min(options.coldLimit, options.hardLimit);
    this.#limit = this.#coldLimit;
    this.#intervalLimit = this.#coldLimit;
  }

  limit(now: number): number {
    if (this.#isStale(now)) this.#reset();
    return this.#flaggedCold ? this.#coldLimit : this.#limit;
  }

  isCold(now: number): boolean {
    return this.limit(now) <= this.#coldLimit &&
      this.#coldLimit < this.#options.hardLimit;
  }

  onReport(report: LoadReport, now: number): void {
    const madeAt = now - report.ageMs;
    // A report that was overtaken says nothing new.
    if (madeAt < this.#reportMadeAt) return;
    if (this.#isStale(now)) this.#reset();
    this.#reportMadeAt = madeAt;
    this.#heardAt = Math.max(this.#heardAt, madeAt);
    this.#noteIncarnation(report.incarnation);
    this.#flaggedCold = report.cold;
    if (report.cold) this.#reset();
  }

  onAnswer(answer: Answer, now: number): void {
    if (this.#isStale(now)) this.#reset();
    const { incarnation } = answer;
    if (incarnation !== undefined) {
      this.#heardAt = now;
      if (this.#noteIncarnation(incarnation)) return;
    }
    if (!answer.ok) {
      this.#fallBack();
      return;
    }
    const isSlow = this.#noteFirstByte(answer);
    this.#slowRun = isSlow ? this.#slowRun + 1 : 0;
    if (this.#slowRun >= this.#options.slowCount) this.#reset();
    if (isSlow) return;
    if (!this.#flaggedCold) this.#grow(answer, now);
  }

  #isStale(now: number): boolean {
    return now - this.#heardAt > this.#options.staleMs;
  }

  #reset(): void {
    this.#limit = this.#coldLimit;
    this.#intervalStart = -Infinity;
  }

  #fallBack(): void {
    const reduced = Math.floor(this.#limit * FAILURE_FACTOR);
    this.#limit = Math.max(this.#coldLimit, reduced);
    this.#intervalStart = -Infinity;
  }

  /** Returns whether the incarnation is a new one, which makes it cold. */
  #noteIncarnation(incarnation: string): boolean {
    const isNew = this.#incarnation !== incarnation;
    const isFirst = this.#incarnation === undefined;
    this.#incarnation = incarnation;
    if (isNew) this.#reset();
    return isNew && !isFirst;
  }

  /**
   * Adds to the mean time to first byte; returns whether the answer was slow.
   * A slow one counts as just slow, so that the mean follows a lasting change
   * without following a single outlier.
   */
  #noteFirstByte({ firstByteMs, poolFirstByteMs = 0 }: Answer): boolean {
    if (firstByteMs === undefined) return false;
    const { slowFactor, slowFloorMs, historyCount } = this.#options;
    const usual = Math.max(this.#meanFirstByteMs, poolFirstByteMs);
    const bound = Math.max(slowFloorMs, slowFactor * usual);
    const isSlow = this.#answerCount >= historyCount && firstByteMs > bound;
    const sample = isSlow ? bound : firstByteMs;
    this.#answerCount++;
    const weight = Math.max(HISTORY_WEIGHT, 1 / this.#answerCount);
    this.#meanFirstByteMs += weight * (sample - this.#meanFirstByteMs);
    return isSlow;
  }

  /** Adds one, up to twice the limit at the start of the interval. */
  #grow({ utilisation = 1 }: Answer, now: number): void {
    if (utilisation < GROWTH_UTILISATION) return;
    if (now - this.#intervalStart >= this.#options.doublingMs) {
      this.#intervalStart = now;
      this.#intervalLimit = this.#limit;
    }
    const { hardLimit } = this.#options;
    const bound = Math.min(hardLimit, 2 * this.#intervalLimit);
    this.#limit = Math.min(this.#limit + 1, bound);
  }
}
