/**
 * Chooses the upstream of a request: consistent hashing with bounded loads.
 *
 * Every router computes the same ranking of the upstreams for a prompt, so that
 * requests with a common prefix reach the upstream that caches it. The first
 * upstream in this ranking whose load is within the bound is chosen. Requests
 * without a prompt go to the better of two upstreams drawn at random.
 *
 * Load pattern: most upstreams have named a limit, and what exceeds it would all
 * go to the few that have named none, until these are lost in their queues.
 * They get it only while they can run it; the rest is refused.
 *
 * Load pattern: requests whose work differs by a factor of 50, while most of a
 * long prompt is cached at its home. A home without a free slot keeps a prompt
 * as long as waiting there takes less time than reading it elsewhere. What
 * leaves its home goes to the next in rank with little work ahead. Estimates may
 * be wrong: the bound by requests holds for all, and where no upstream is within
 * the bound by work, the choice is the one by requests.
 */
import { chooseOfTwo, getCapacity } from "./two_choices.ts";

/** An upstream to which the request may be sent. */
export interface Candidate {
  readonly id: string;
  /** Number of requests in flight, as last known. */
  readonly load: number;
  /**
   * Number of requests expected by now: `load` with the part of other routers
   * discounted by its age. The bound applies to `load`, since an upstream that
   * is known to be beyond it would be within it by the discounted one.
   */
  readonly expectedLoad: number;
  /** Number of requests that it processes at the same time. */
  readonly slots: number;
  /** How much longer than usual work takes there; 1 is as usual. */
  readonly pace: number;
  /** Whether it is in the failure domain of this router. */
  readonly isLocal: boolean;
  /** False if it is cold or has named a limit, and has received its share. */
  readonly hasRoom: boolean;
  /** Whether it fails more often than the others or can't be reached. */
  readonly isSuspect: boolean;
}

/** Reason why an upstream was chosen. */
export type ChoiceReason =
  | "home"
  | "next-in-rank"
  | "least-loaded"
  | "second-try"
  | "suspect";

/** The chosen upstream. */
export interface UpstreamChoice {
  readonly id: string;
  readonly reason: ChoiceReason;
  /** Maximum load of an upstream chosen in rank order. */
  readonly bound?: number;
}

/** Options of `chooseUpstream`. */
export interface ChoiceOptions {
  /** Upstream ids in rank order; undefined without a prompt. */
  readonly ranking: readonly string[] | undefined;
  /**
   * Mean load of all live upstreams of the service, including those that may
   * not receive requests.
   */
  readonly meanLoad: number;
  /** Returns a uniform value in [0, 1). */
  readonly random: () => number;
  /**
   * Whether upstreams that have named a limit have no room, so that the others
   * get their requests. False by default.
   */
  readonly isOverflow?: boolean;
  readonly bound?: LoadBound;
  /** Undefined if the work of the service's requests isn't known or not used. */
  readonly work?: ServiceWork;
}

/** Work of a service, in milliseconds at usual pace. */
export interface ServiceWork {
  /** Mean work of a request. */
  readonly meanRequest: number;
  /** Whether the work of requests differs so much that counts say little. */
  readonly isUnequal: boolean;
  /** Returns the time to read the prompt at an upstream. */
  readonly getReadMs: (upstream: string) => number;
  /** Adds up the expected work ahead of a new request. */
  readonly sumAhead: () => WorkAhead;
}

/** Work ahead of a new request at the live upstreams of a service. */
export interface WorkAhead {
  readonly mean: number;
  readonly byId: ReadonlyMap<string, number>;
}

/** Maximum load of an upstream that is chosen in rank order. */
export interface LoadBound {
  /** Factor on the mean load of the service. */
  readonly factor: number;
  /** Number of requests allowed in addition. */
  readonly slack: number;
}

/**
 * The platform's limit is twice the mean load plus 3; the slack is lower
 * because the counts lag.
 */
export const DEFAULT_LOAD_BOUND: LoadBound = { factor: 2, slack: 2 };

/**
 * Weight of the work beside the number of requests, in requests of mean work.
 * With a weight of 1 or with work alone, estimates that are wrong by a factor of
 * 4 make requests wait longer than counts alone.
 */
const WORK_WEIGHT = 0.5;

/** Chooses an upstream; undefined if no candidate may receive the request. */
export function chooseUpstream(
  candidates: readonly Candidate[],
  options: ChoiceOptions,
): UpstreamChoice | undefined {
  const { isOverflow = false } = options;
  const eligible = candidates.filter(({ hasRoom, load, slots }) =>
    hasRoom && !(isOverflow && load + 1 > slots)
  );
  const healthy = eligible.filter(({ isSuspect }) => !isSuspect);
  if (healthy.length === 0) {
    const id = chooseByLoad(eligible, options)?.id;
    return id === undefined ? undefined : { id, reason: "suspect" };
  }
  return chooseByWork(healthy, options) ??
    chooseInRankOrder(healthy, options) ?? {
    id: chooseByLoad(healthy, options)!.id,
    reason: "least-loaded",
  };
}

/**
 * Chooses the first candidate in rank order within the bound; undefined if
 * there is no ranking or no candidate is within the bound.
 */
function chooseInRankOrder(
  candidates: readonly Candidate[],
  { ranking = [], meanLoad, bound = DEFAULT_LOAD_BOUND }: ChoiceOptions,
): UpstreamChoice | undefined {
  const maxLoad = bound.factor * meanLoad + bound.slack;
  const byId = new Map(candidates.map((each) => [each.id, each]));
  for (const [rank, id] of ranking.entries()) {
    const candidate = byId.get(id);
    if (candidate === undefined || candidate.load + 1 > maxLoad) continue;
    const reason = rank === 0 ? "home" : "next-in-rank";
    return { id, reason, bound: maxLoad };
  }
  return undefined;
}

/**
 * Chooses the home while it has a free slot or a short wait, and the next in rank
 * that is within both bounds otherwise; undefined if the work isn't known or
 * there is no such upstream.
 */
function chooseByWork(
  candidates: readonly Candidate[],
  { ranking = [], meanLoad, work, bound = DEFAULT_LOAD_BOUND }: ChoiceOptions,
): UpstreamChoice | undefined {
  if (work === undefined) return undefined;
  const maxLoad = bound.factor * meanLoad + bound.slack;
  const first = candidates.find(({ id }) => id === ranking[0]);
  const home = first !== undefined && first.load + 1 <= maxLoad
    ? first
    : undefined;
  // Most requests end here, so that the work is added up for the others only.
  if (home !== undefined && hasFreeSlot(home)) {
    return { id: home.id, reason: "home", bound: maxLoad };
  }
  const ahead = work.sumAhead();
  const maxWork = bound.factor * ahead.mean + bound.slack * work.meanRequest;
  const byId = new Map(candidates.map((each) => [each.id, each]));
  const next = ranking.slice(1)
    .map((id) => byId.get(id))
    .find((each) =>
      each !== undefined && each.load + 1 <= maxLoad &&
      ahead.byId.get(each.id)! <= maxWork
    );
  if (next === undefined) return undefined;
  const getReadyMs = (candidate: Candidate) =>
    getWaitMs(candidate, ahead) +
    work.getReadMs(candidate.id) * candidate.pace;
  return home !== undefined && getReadyMs(home) <= getReadyMs(next)
    ? { id: home.id, reason: "home", bound: maxLoad }
    : { id: next.id, reason: "next-in-rank", bound: maxLoad };
}

function hasFreeSlot({ expectedLoad, slots }: Candidate): boolean {
  return expectedLoad + 1 <= slots;
}

/** Returns the expected wait for a slot. */
function getWaitMs(candidate: Candidate, { byId }: WorkAhead): number {
  if (hasFreeSlot(candidate)) return 0;
  return byId.get(candidate.id)! * candidate.pace / candidate.slots;
}

function chooseByLoad(
  candidates: readonly Candidate[],
  { ranking, random, work }: ChoiceOptions,
): Candidate | undefined {
  if (ranking !== undefined) return findLeastLoaded(candidates, random);
  const isByWork = work?.isUnequal === true &&
    !candidates.every(hasFreeSlot);
  return isByWork
    ? chooseOfTwoByWork(candidates, { random, work })
    : chooseOfTwo(candidates, random);
}

/**
 * Chooses one of two by the requests ahead and, where all slots are taken, the
 * work ahead too: as long as a slot is free, work delays nothing.
 */
function chooseOfTwoByWork(
  candidates: readonly Candidate[],
  { random, work }: { random: () => number; work: ServiceWork },
): Candidate | undefined {
  const { byId } = work.sumAhead();
  const draws = candidates.map((candidate) => {
    const { id, expectedLoad } = candidate;
    const workLoad = hasFreeSlot(candidate)
      ? 0
      : byId.get(id)! / work.meanRequest;
    const queue = expectedLoad + WORK_WEIGHT * workLoad;
    return { ...candidate, expectedLoad: queue, candidate };
  });
  return chooseOfTwo(draws, random)?.candidate;
}

/** Finds the candidate with the lowest load for its capacity. */
function findLeastLoaded(
  candidates: readonly Candidate[],
  random: () => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    // Loads are estimates; a random term spreads requests over equal ones.
    const score = (candidate.load + random()) / getCapacity(candidate);
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}
