/**
 * Chooses the upstream of a request: consistent hashing with bounded loads.
 *
 * Every router ranks the upstreams for a prompt alike, so that requests about
 * one subject meet where it is cached. The first in rank whose load is within
 * the bound takes the request. Requests without a prompt
 * go where the load per slot is least.
 */
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
  /** Load up to which it could be chosen in rank order. */
  readonly bound?: number;
}

/** What a choice needs beside the candidates. */
export interface ChoiceOptions {
  /** Upstreams by where the prompt is cached; undefined without a prompt. */
  readonly ranking: readonly string[] | undefined;
  /**
   * Mean load of all upstreams of the service that live, also of those that may
   * get no request.
   */
  readonly meanLoad: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly bound?: LoadBound;
}

/** Load up to which an upstream takes a request in rank order. */
export interface LoadBound {
  /** Factor on the mean load of the service. */
  readonly factor: number;
  /** Requests on top. */
  readonly slack: number;
}

/** Below the platform's limit of twice the mean and 3, as counts are late. */
export const DEFAULT_LOAD_BOUND: LoadBound = { factor: 2, slack: 2 };

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
  return chooseInRank(sound, options) ?? {
    id: findLeastLoaded(sound, options.random)!.id,
    reason: "least-loaded",
  };
}

/** The first in rank within the bound; undefined without a ranking or room. */
function chooseInRank(
  sound: readonly Candidate[],
  { ranking = [], meanLoad, bound = DEFAULT_LOAD_BOUND }: ChoiceOptions,
): UpstreamChoice | undefined {
  const most = bound.factor * meanLoad + bound.slack;
  const byId = new Map(sound.map((each) => [each.id, each]));
  for (const [rank, id] of ranking.entries()) {
    const candidate = byId.get(id);
    if (candidate === undefined || candidate.load + 1 > most) continue;
    const reason = rank === 0 ? "home" : "next-in-rank";
    return { id, reason, bound: most };
  }
  return undefined;
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
