/**
 * Tells requests in flight that the grace time of a stop has ended, so that those
 * whose response has not begun are answered before the process ends.
 */

/** The end of a router's grace time. */
export class GraceEnd {
  readonly #listeners = new Set<() => void>();
  #isReached = false;

  /** Whether the grace time has ended. */
  get isReached(): boolean {
    return this.#isReached;
  }

  /** Calls `listener` once, when the grace time ends. */
  addListener(listener: () => void): void {
    this.#listeners.add(listener);
  }

  removeListener(listener: () => void): void {
    this.#listeners.delete(listener);
  }

  /** Resolves when `promise` does, or earlier if the grace time ends. */
  async limit(promise: Promise<unknown>): Promise<void> {
    if (this.#isReached) return;
    let listener!: () => void;
    const reached = new Promise<void>((resolve) => listener = resolve);
    this.addListener(listener);
    try {
      await Promise.race([promise, reached]);
    } finally {
      this.removeListener(listener);
    }
  }

  /** Ends the grace time. */
  reach(): void {
    this.#isReached = true;
    const listeners = [...this.#listeners];
    this.#listeners.clear();
    for (const listener of listeners) listener();
  }
}
