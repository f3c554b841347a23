/**
 * Bounds the work that a sender may cause with bytes that bring nothing:
 * informational heads, header and trailer fields, comments, and content in
 * parts of a few bytes. The size of a message does not bound it.
 *
 * Pattern of load: a faulty sender that goes on without end, on one connection
 * or a few, while other callers wait for the same thread.
 */

/** Options of an allowance. */
export interface InputAllowanceOptions {
  /** Parts that any message may have. */
  readonly baseParts?: number;
  /** Bytes beside the content that any message may have. */
  readonly baseOverheadBytes?: number;
  /** Parts that are added each second, for a stream of small events. */
  readonly partsPerSecond?: number;
  /** Bytes beside the content that are added each second. */
  readonly overheadBytesPerSecond?: number;
}

const DEFAULTS: Required<InputAllowanceOptions> = {
  baseParts: 1_024,
  baseOverheadBytes: 32_768,
  partsPerSecond: 500,
  overheadBytesPerSecond: 16_384,
};
/** A part with this many bytes of content, or more on average, is free. */
const BYTES_PER_PART = 16;
const MS_PER_SECOND = 1_000;

/** What one message may still cost. */
export class InputAllowance {
  readonly #options: Required<InputAllowanceOptions>;
  readonly #startedAt: number;
  #parts = 0;
  #contentBytes = 0;

  /** `startedAt` is a monotonic time in milliseconds. */
  constructor(startedAt: number, options?: InputAllowanceOptions) {
    this.#options = options === undefined
      ? DEFAULTS
      : { ...DEFAULTS, ...options };
    this.#startedAt = startedAt;
  }

  /**
   * Records a part with `bytes` of content, or 0 if it has none. Returns false
   * if the message has more parts than it may have by `now`; a clock is read
   * only if that depends on it.
   */
  recordPart(bytes: number, now: number | (() => number)): boolean {
    this.#parts++;
    this.#contentBytes += bytes;
    const { baseParts, partsPerSecond } = this.#options;
    const excess = this.#parts - baseParts -
      this.#contentBytes / BYTES_PER_PART;
    return excess <= 0 || excess <= partsPerSecond * this.#getSeconds(now);
  }

  /**
   * Whether `totalBytes`, all bytes of the message so far, hold no more than
   * may come beside its content by `now`.
   */
  allowsTotal(totalBytes: number, now: number | (() => number)): boolean {
    const { baseOverheadBytes, overheadBytesPerSecond } = this.#options;
    const overheadBytes = totalBytes - this.#contentBytes;
    const excess = overheadBytes - baseOverheadBytes - this.#contentBytes;
    return excess <= 0 ||
      excess <= overheadBytesPerSecond * this.#getSeconds(now);
  }

  #getSeconds(now: number | (() => number)): number {
    const at = typeof now === "number" ? now : now();
    return Math.max(0, at - this.#startedAt) / MS_PER_SECOND;
  }
}
