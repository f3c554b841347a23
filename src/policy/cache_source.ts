/**
 * Finds an upstream from which another can copy the cache of a prompt, in place
 * of computing it again.
 *
 * The first in rank has it, unless it is too young to have been asked for it.
 * Pattern: a new or a spare home copies from the home before it.
 */

/** An upstream that lives, whether or not it may get requests. */
export interface CacheHolder {
  readonly id: string;
  /** Time since its start, in milliseconds. */
  readonly ageMs: number;
  /** Whether it can be asked for a copy. */
  readonly isReachable: boolean;
}

/** Time in which most subjects are asked for again, in milliseconds. */
const ESTABLISHED_MS = 8_000;

/**
 * Finds the holder that `target` copies from. `ranking` has all that live,
 * also those that leave; undefined where the target has the cache itself, or
 * where nobody is known to have it.
 */
export function findCacheSource(
  ranking: readonly CacheHolder[],
  target: string,
): string | undefined {
  for (const { id, ageMs, isReachable } of ranking) {
    const isEstablished = ageMs >= ESTABLISHED_MS;
    if (id === target) {
      if (isEstablished) return undefined;
      continue;
    }
    if (isEstablished && isReachable) return id;
  }
  return undefined;
}
