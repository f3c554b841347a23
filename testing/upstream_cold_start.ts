/** Cold start of a stand-in upstream: when it is cold, and when that binds. */

/** Options of a cold start. */
export interface ColdStartOptions {
  /** How long a cold start lasts, in milliseconds. */
  coldMs: number;
  /** Completions that end it early; 0 for never. */
  coldCompletions: number;
  /** Time that work in flight gets to drain when told to turn cold. */
  coldGraceMs: number;
}

/** Follows the cold starts of one upstream. */
export class ColdStart {
  readonly #options: ColdStartOptions;
  #startedAt = 0;
  #bindsAt = 0;
  #completions = 0;

  constructor(options: ColdStartOptions) {
    this.#options = options;
  }

  /** Begins a cold start at `now`. */
  begin(now: number, { withGrace = false } = {}): void {
    this.#startedAt = now;
    this.#bindsAt = withGrace ? now + this.#options.coldGraceMs : now;
    this.#completions = 0;
  }

  /** Counts a completion towards the end of the cold start. */
  noteCompletion(): void {
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

  /** Whether the cold limit is due at `now`. */
  isBinding(now: number): boolean {
    return this.isCold(now) && now >= this.#bindsAt;
  }

  /** Time since the cold start began; undefined when warm. */
  getAge(now: number): number | undefined {
    return this.isCold(now) ? now - this.#startedAt : undefined;
  }
}
