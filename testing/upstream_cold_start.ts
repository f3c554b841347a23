/** Cold start of a stand-in upstream, and when its cold limit is enforced. */

/** Options of a cold start. */
export interface ColdStartOptions {
  /** Duration of a cold start, in milliseconds. */
  coldMs: number;
  /** Number of completions that end a cold start early; 0 for never. */
  coldCompletions: number;
  /**
   * Time before the cold limit is enforced when the upstream is turned cold, so
   * that requests in flight can finish; in milliseconds.
   */
  coldGraceMs: number;
}

/** Tracks the cold starts of one upstream. */
export class ColdStart {
  readonly #options: ColdStartOptions;
  #startedAt = 0;
  #enforcedFrom = 0;
  #completions = 0;

  constructor(options: ColdStartOptions) {
    this.#options = options;
  }

  /** Begins a cold start at `now`; `withGrace` delays the cold limit. */
  begin(now: number, { withGrace = false } = {}): void {
    this.#startedAt = now;
    this.#enforcedFrom = withGrace ? now + this.#options.coldGraceMs : now;
    this.#completions = 0;
  }

  /** Counts a completion towards the end of the cold start. */
  recordCompletion(): void {
    this.#completions++;
  }

  /** Whether the upstream is cold at `now`. */
  isCold(now: number): boolean {
    const { coldMs, coldCompletions } = this.#options;
    if (coldCompletions > 0 && this.#completions >= coldCompletions) {
      return false;
    }
    return now < this.#startedAt + coldMs;
  }

  /** Whether the cold limit is enforced at `now`. */
  isLimitEnforced(now: number): boolean {
    return this.isCold(now) && now >= this.#enforcedFrom;
  }

  /** Time since the cold start began, in milliseconds; undefined when warm. */
  getAge(now: number): number | undefined {
    return this.isCold(now) ? now - this.#startedAt : undefined;
  }
}
