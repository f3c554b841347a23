/**
 * Rendezvous (highest random weight) hashing.
 *
 * Every router computes the same ranking from the names alone. Adding or
 * removing a name moves only the keys that rank that name first.
 */
import * as Debug from "../debug.ts";

/** Maps a string to an unsigned 32-bit integer. */
export type Hash = (text: string) => number;

/** Options of a ranking. */
export interface RankingOptions {
  readonly hash: Hash;
}

/** Options of a weighted ranking. */
export interface WeightedRankingOptions extends RankingOptions {
  /** Weight of a name, 0 or more; a name of weight 0 ranks last. */
  weightOf(name: string): number;
}

const HASH_RANGE = 2 ** 32;
/** Makes `("a", "bc")` and `("ab", "c")` hash differently. */
const SEPARATOR = "\u0000";

/** Loads the hash function, which itself is synchronous. Call once at start. */
export async function loadHash(): Promise<Hash> {
  const { default: xxhash } = await import("xxhash-wasm");
  const { h32 } = await xxhash();
  return (text) => h32(text);
}

/** Ranks `names` for `key`, best first. */
export function rankByRendezvous(
  key: string,
  names: readonly string[],
  { hash }: RankingOptions,
): string[] {
  return rankByScore(names, (name) => hash(key + SEPARATOR + name));
}

/**
 * Ranks `names` for `key`, best first. Over many keys, each name ranks first in
 * proportion to its weight.
 */
export function rankByWeightedRendezvous(
  key: string,
  names: readonly string[],
  { hash, weightOf }: WeightedRankingOptions,
): string[] {
  return rankByScore(names, (name) => {
    const uniform = (hash(key + SEPARATOR + name) + 0.5) / HASH_RANGE;
    return -weightOf(name) / Math.log(uniform);
  });
}

/**
 * Returns the index of an upstream's pool, in `[0, poolCount)`.
 *
 * `poolCount` must be a power of two. When it doubles, pool p is split into
 * pools p and p + poolCount, and no upstream moves to any other pool.
 */
export function getPoolIndex(
  upstreamName: string,
  poolCount: number,
  { hash }: RankingOptions,
): number {
  Debug.assert(
    poolCount >= 1 && Number.isInteger(Math.log2(poolCount)),
    "pool-count",
    () => `pool count ${poolCount} is not a power of two`,
  );
  return hash(upstreamName) % poolCount;
}

interface Scored {
  readonly name: string;
  readonly score: number;
}

function rankByScore(
  names: readonly string[],
  getScore: (name: string) => number,
): string[] {
  const scored = names.map((name) => ({ name, score: getScore(name) }));
  scored.sort(compareScored);
  return scored.map(({ name }) => name);
}

/** Compares by score, then by name, so that all routers agree on the order. */
function compareScored(left: Scored, right: Scored): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.name < right.name ? -1 : 1;
}
