/**
 * Finds the upstream from which another can copy the cache of a prompt instead
 * of computing it again.
 *
 * The first upstream in the prompt's ranking has the cache, unless it started
 * too recently to have received such a prompt. So an upstream that is new, or
 * ranked lower, copies from the first established upstream in the ranking.
 */

/** A live upstream, whether or not it may receive requests. */
export interface CacheCandidate {
  readonly id: string;
  /** Time since the upstream started, in milliseconds. */
  readonly ageMs: number;
  /** Whether the cache can be copied from the upstream. */
  readonly isReachable: boolean;
}

/** Age by which most shared prompt parts have been requested again. */
const ESTABLISHED_AGE_MS = 8_000;

/** Whether an upstream has received the prompts of which it is the home. */
export function isEstablished(ageMs: number): boolean {
  return ageMs >= ESTABLISHED_AGE_MS;
}

/**
 * Finds the upstream that `target` copies from. `ranking` lists all live
 * upstreams, including those that are stopping. Returns undefined if `target`
 * has the cache itself or no upstream is known to have it.
 */
export function findCacheSource(
  ranking: readonly CacheCandidate[],
  target: string,
): string | undefined {
  for (const { id, ageMs, isReachable } of ranking) {
    if (id === target) {
      if (isEstablished(ageMs)) return undefined;
      continue;
    }
    if (isEstablished(ageMs) && isReachable) return id;
  }
  return undefined;
}
