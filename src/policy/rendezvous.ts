/**
 * Rendezvous (highest random weight) hashing.
 *
 * Every router computes the same ranking from the names alone, and a name that
 * comes or goes moves only the keys that rank it first.
 */
import * as Debug from "../debug.ts";

/** Maps a text to an unsigned 32-bit integer. */
export type Hash = (text: string) => number;

/** What a ranking needs beside the key and the names. */
export interface RankingOptions {
  readonly hash: Hash;
}

/** What a weighted ranking needs beside the key and the names. */
export interface WeightedRankingOptions extends RankingOptions {
  /** Weight of a name, 0 or more; a name of weight 0 ranks last. */
  weightOf(name: string): number;
}

const HASH_RANGE = 2 ** 32;
/** Keeps `("a", "bc")` and `("ab", "c")` apart. */
const SEPARATOR = "\u0000";

/** Loads the hash function; call once at start, the hash itself is sync. */
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

/** Ranks `names` for `key`; each is first in proportion to its weight. */
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
 * Finds the pool of an upstream, in `[0, poolCount)`.
 *
 * `poolCount` is a power of two: when it doubles, pool p splits into p and
 * p + poolCount, and no upstream moves between the others.
 */
export function poolOf(
  upstreamName: string,
  poolCount: number,
  { hash }: RankingOptions,
): number {
  Debug.assert(
    poolCount >= 1 && Number.isInteger(Math.log2(poolCount)),
    "pool-count",
    () => `${poolCount} is no power of two`,
  );
  return hash(upstreamName) % poolCount;
}

interface Scored {
  readonly name: string;
  readonly score: number;
}

function rankByScore(
  names: readonly string[],
  scoreOf: (name: string) => number,
): string[] {
  const scored = names.map((name) => ({ name, score: scoreOf(name) }));
  scored.sort(compareScored);
  return scored.map(({ name }) => name);
}

/** Orders by score, and by name where scores tie, so that all agree. */
function compareScored(left: Scored, right: Scored): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.name < right.name ? -1 : 1;
}
