/**
 * Chooses the upstream of a request: consistent hashing with bounded loads.
 *
 * Every router ranks the upstreams of a prompt's last shared part alike, so
 * that requests about one subject meet where it is cached. The first in rank
 * whose load is within the bound takes the request. Requests without a prompt
 * go where the load per slot is least.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** An upstream that may get the request. */
export interface Candidate {
  readonly id: string;
  /** Requests that it is estimated to hold. */
  readonly load: number;
  readonly slots: number;
  /** False where it is cold and has had its share of this second. */
  readonly hasColdRoom: boolean;
  readonly isSuspect: boolean;
}

/** Why an upstream was chosen. */
export type ChoiceReason = "home" | "next-in-rank" | "least-loaded" | "suspect";

/** The chosen upstream. */
export interface UpstreamChoice {
  readonly id: string;
  readonly reason: ChoiceReason;
}

/** What a choice needs beside the candidates. */
export interface ChoiceOptions {
  /** Names what the request shares with others; undefined if nothing. */
  readonly key: string | undefined;
  readonly hash: Hash;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly bound?: LoadBound;
}

/** Load up to which an upstream takes a request out of rank order. */
export interface LoadBound {
  /** Factor on the mean load of the service. */
  readonly factor: number;
  /** Requests on top. */
  readonly slack: number;
}

/** Below the platform's limit of twice the mean and 3, as counts are late. */
export const DEFAULT_LOAD_BOUND: LoadBound = { factor: 1.8, slack: 2 };

/** Chooses among `candidates`; undefined if none may get the request. */
export function chooseUpstream(
  candidates: readonly Candidate[],
  options: ChoiceOptions,
): UpstreamChoice | undefined {
  const open = candidates.filter(({ hasColdRoom }) => hasColdRoom);
  const sound = open.filter(({ isSuspect }) => !isSuspect);
  if (sound.length === 0) {
    const id = findLeastLoaded(open, options.random)?.id;
    return id === undefined ? undefined : { id, reason: "suspect" };
  }
  if (options.key === undefined) return chooseLeastLoaded(sound, options);
  return chooseInRank({ candidates, sound, key: options.key }, options);
}

function chooseLeastLoaded(
  sound: readonly Candidate[],
  { random }: ChoiceOptions,
): UpstreamChoice {
  const { id } = findLeastLoaded(sound, random)!;
  return { id, reason: "least-loaded" };
}

function chooseInRank(
  { candidates, sound, key }: {
    candidates: readonly Candidate[];
    sound: readonly Candidate[];
    key: string;
  },
  { hash, random, bound = DEFAULT_LOAD_BOUND }: ChoiceOptions,
): UpstreamChoice {
  const total = candidates.reduce((sum, { load }) => sum + load, 0);
  const most = bound.factor * total / candidates.length + bound.slack;
  const byId = new Map(sound.map((each) => [each.id, each]));
  const names = candidates.map(({ id }) => id);
  const ranking = rankByRendezvous(key, names, { hash });
  for (const [rank, id] of ranking.entries()) {
    const candidate = byId.get(id);
    if (candidate === undefined || candidate.load + 1 > most) continue;
    return { id, reason: rank === 0 ? "home" : "next-in-rank" };
  }
  return chooseLeastLoaded(sound, { key, hash, random });
}

/** The candidate with the least load per slot; ties fall at random. */
function findLeastLoaded(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    // Loads are estimates, so that a random part spreads what looks equal.
    const score = (candidate.load + random()) / candidate.slots;
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}
