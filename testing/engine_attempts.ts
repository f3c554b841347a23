/** Attempts that a stand-in engine has accepted, and their retention. */
import type { Attempt } from "./engine_attempt.ts";

const RETENTION_MS = 30_000;

/**
 * Attempts by id. An attempt that has ended is retained for 30 s, so that a
 * client can resume its stream.
 */
export class Attempts {
  readonly #retained = new Map<string, Attempt>();
  readonly #acceptedIds = new Set<string>();
  #duplicates = 0;

  /** Number of accepted attempts. */
  get count(): number {
    return this.#acceptedIds.size;
  }

  /** Number of requests that repeated the id of an accepted attempt. */
  get duplicates(): number {
    return this.#duplicates;
  }

  /** Returns whether `id` was already accepted, and counts the duplicate. */
  checkDuplicate(id: string): boolean {
    if (!this.#acceptedIds.has(id)) return false;
    this.#duplicates++;
    return true;
  }

  /** Adds a new attempt. */
  add(attempt: Attempt): void {
    this.#acceptedIds.add(attempt.id);
    this.#retained.set(attempt.id, attempt);
  }

  /** Returns an attempt, or undefined when it is unknown or was removed. */
  get(id: string): Attempt | undefined {
    return this.#retained.get(id);
  }

  /** Removes an attempt that has ended once the retention time is over. */
  scheduleRemoval(attempt: Attempt): void {
    setTimeout(() => this.#retained.delete(attempt.id), RETENTION_MS).unref();
  }

  /** Removes every attempt; the accepted ids stay, to detect duplicates. */
  clear(): void {
    this.#retained.clear();
  }
}
