/** The attempts that a stand-in engine knows, and how long it keeps them. */
import type { Attempt } from "./engine_attempt.ts";

const KEPT_MS = 30_000;

/** Attempts by id; one that ended is kept for 30 s, so that it can resume. */
export class Attempts {
  readonly #kept = new Map<string, Attempt>();
  readonly #seen = new Set<string>();
  #duplicates = 0;

  /** Attempts that were accepted. */
  get count(): number {
    return this.#seen.size;
  }

  /** Requests that carried the id of an attempt that was accepted before. */
  get duplicates(): number {
    return this.#duplicates;
  }

  /** Whether `id` was accepted before; counts it when it was. */
  checkDuplicate(id: string): boolean {
    if (!this.#seen.has(id)) return false;
    this.#duplicates++;
    return true;
  }

  /** Takes a new attempt in. */
  add(attempt: Attempt): void {
    this.#seen.add(attempt.id);
    this.#kept.set(attempt.id, attempt);
  }

  /** Looks up an attempt that is still kept. */
  get(id: string): Attempt | undefined {
    return this.#kept.get(id);
  }

  /** Forgets an attempt that ended, after a while. */
  retire(attempt: Attempt): void {
    setTimeout(() => this.#kept.delete(attempt.id), KEPT_MS).unref();
  }

  /** Forgets every attempt but for the ids. */
  clear(): void {
    this.#kept.clear();
  }
}
