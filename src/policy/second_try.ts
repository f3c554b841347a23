/**
 * Chooses the upstream of a request that an upstream has already failed.
 *
 * Load pattern: grey failures, several upstreams at a time, often of one host or
 * failure domain. They take requests and fail them, and by its few requests a
 * router knows of hardly any of them. A second try at another of them is lost
 * too and the caller gets its error. It therefore goes to an upstream that is
 * known to answer, apart from the first, if one of these has a free slot.
 */
import {
  type Candidate,
  type ChoiceOptions,
  chooseUpstream,
  type UpstreamChoice,
} from "./upstream_choice.ts";

/** What a second try prefers, strongest first. */
export interface SecondTryPreferences {
  /** Whether the upstream has answered any router lately. */
  readonly hasAnswered: (upstream: string) => boolean;
  /** How far it is from those that have failed the request. */
  readonly getDistance: (upstream: string) => FailureDistance;
}

/** Relation of an upstream to those that have failed a request. */
export type FailureDistance = "same-host" | "same-domain" | "other-domain";

const DISTANCE_RANKS: Readonly<Record<FailureDistance, number>> = {
  "same-host": 0,
  "same-domain": 1,
  "other-domain": 2,
};
/** An answer weighs more than any distance. */
const ANSWERED_RANK = 3;

/**
 * Chooses among the most preferred candidates that have a free slot and are
 * within the bound; among all, as any try, if there is none.
 */
export function chooseSecondTry(
  candidates: readonly Candidate[],
  { preferences, ...options }: ChoiceOptions & {
    preferences: SecondTryPreferences;
  },
): UpstreamChoice | undefined {
  const groups = new Map<number, Candidate[]>();
  for (const candidate of candidates) {
    const { id, isSuspect, expectedLoad, slots } = candidate;
    if (isSuspect || expectedLoad + 1 > slots) continue;
    const rank = getRank(id, preferences);
    groups.set(rank, [...groups.get(rank) ?? [], candidate]);
  }
  const ranks = [...groups.keys()].sort((one, other) => other - one);
  for (const rank of ranks) {
    const choice = chooseUpstream(groups.get(rank)!, options);
    const isBeyondBound = options.ranking !== undefined &&
      choice?.reason === "least-loaded";
    if (choice === undefined || isBeyondBound) continue;
    return { ...choice, reason: "second-try" };
  }
  return chooseUpstream(candidates, options);
}

function getRank(
  upstream: string,
  { hasAnswered, getDistance }: SecondTryPreferences,
): number {
  return (hasAnswered(upstream) ? ANSWERED_RANK : 0) +
    DISTANCE_RANKS[getDistance(upstream)];
}
