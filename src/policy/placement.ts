/**
 * Chooses the upstream of a request.
 *
 * 1. The chat's home, the upstream that the directory names, while it has room;
 *    a slow home only if the prompt is still computed sooner there.
 *    A chat stays where it was served last: it is not drawn back to an older
 *    upstream that has returned, because its newest prefix is cached at home.
 * 2. If home is full, the cost of waiting for it is compared with that of
 *    computing the prefix elsewhere. The wait is bounded by an option and by
 *    the deadline.
 * 3. Otherwise the first candidate in rendezvous order that has room. The
 *    directory is lost when the owner of a pool changes, and a chat without an
 *    entry can't be told from a new one; rendezvous order leads it back to its
 *    cache. Power of two choices among the first candidates levels load better
 *    but misses the cache of about every second such chat. The room of a
 *    candidate already bounds its load by the mean, so one choice is the
 *    default; `choices` allows more.
 * 4. A request without a chat goes to the least utilised candidate. The owner
 *    counts exactly, and with at most 32 candidates a full scan is cheap.
 *
 * A candidate marked slow is taken only if no other has room. One that is out
 * of service is never taken.
 */
import * as Debug from "../debug.ts";
import type { ChatHash } from "./chat_directory.ts";

/** Where a chat's prefix is cached. */
export interface Home {
  readonly upstream: number;
  /** Prompt tokens cached there. */
  readonly tokens: number;
}

/** The request to place; times are in milliseconds. */
export interface PlacementRequest {
  readonly chat?: ChatHash;
  /** Estimate of the prompt's length in tokens. */
  readonly promptTokens: number;
  readonly home?: Home;
  readonly now: number;
  readonly deadline: number;
  /** How long the request has waited for its home already. */
  readonly waitedMs?: number;
}

/** An upstream as the placer sees it. */
export interface Candidate {
  readonly upstream: number;
  /** Requests that it may take now; none if this is 0 or less. */
  readonly room: number;
  readonly inFlight: number;
  readonly limit: number;
  readonly cold: boolean;
  readonly inService: boolean;
  readonly failureDomain: string;
  /** Estimated time to compute one prompt token. */
  readonly msPerPromptToken: number;
  /** Estimated time until it has room. */
  readonly expectedWaitMs: number;
  /** Whether it answers much slower than its peers. */
  readonly slow?: boolean;
}

/** Options of a placement. */
export interface PlacementOptions {
  /** Longest wait for a full home. */
  maxHomeWaitMs?: number;
  /** Candidates in rendezvous order among which the least utilised is taken. */
  choices?: number;
}

/** Why an upstream was chosen. */
export type PlaceReason = "home" | "rendezvous" | "overflow" | "least-loaded";

/** What to do with the request. */
export type Placement =
  | {
    readonly kind: "place";
    readonly upstream: number;
    readonly reason: PlaceReason;
  }
  | {
    readonly kind: "wait";
    /** Set if only this upstream is worth waiting for. */
    readonly forUpstream?: number;
    readonly reason: "home-is-cheaper" | "no-room";
  }
  | {
    readonly kind: "refuse";
    readonly code: "no-capacity" | "deadline-passed";
    readonly reason: "none-in-service" | "deadline-passed";
  };

const DEFAULT_MAX_HOME_WAIT_MS = 2_000;

function getUtilisation({ inFlight, limit }: Candidate): number {
  return inFlight / Math.max(1, limit);
}

function getLeastUtilised(candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((best, candidate) =>
    getUtilisation(candidate) < getUtilisation(best) ? candidate : best
  );
}

/** Candidates that may take work now, without slow ones if others can. */
function getOpen(candidates: readonly Candidate[]): readonly Candidate[] {
  const withRoom = candidates.filter(({ room }) => room > 0);
  const quick = withRoom.filter(({ slow }) => !slow);
  return quick.length > 0 ? quick : withRoom;
}

function placeAt(candidate: Candidate, reason: PlaceReason): Placement {
  Debug.assert(
    candidate.inService && candidate.room > 0,
    "placement-open",
    () => `upstream ${candidate.upstream} can't take work`,
  );
  return { kind: "place", upstream: candidate.upstream, reason };
}

/** Tells whether the request finishes its prompt sooner at home. */
function isHomeCheaper(
  { promptTokens, home: cache }: PlacementRequest,
  { home, other, waitMs }: {
    home: Candidate;
    other: Candidate;
    waitMs: number;
  },
): boolean {
  const cached = Math.min(cache?.tokens ?? 0, promptTokens);
  const atHome = waitMs + (promptTokens - cached) * home.msPerPromptToken;
  return atHome < promptTokens * other.msPerPromptToken;
}

/** Decides for the home, where that is better than starting at `other`. */
function tryHome(
  request: PlacementRequest,
  { home, other, maxWaitMs }: {
    home: Candidate;
    other: Candidate;
    maxWaitMs: number;
  },
): Placement | undefined {
  const { now, deadline, waitedMs = 0 } = request;
  const hasRoom = home.room > 0;
  if (hasRoom && (!home.slow || other === home)) return placeAt(home, "home");
  const waitMs = hasRoom ? 0 : home.expectedWaitMs;
  if (!isHomeCheaper(request, { home, other, waitMs })) return undefined;
  if (hasRoom) return placeAt(home, "home");
  if (waitedMs + waitMs > maxWaitMs || now + waitMs >= deadline) {
    return undefined;
  }
  return {
    kind: "wait",
    forUpstream: home.upstream,
    reason: "home-is-cheaper",
  };
}

/** Finds the home among the candidates if anything is cached there. */
function getHome(
  { home }: PlacementRequest,
  candidates: readonly Candidate[],
): Candidate | undefined {
  if (home === undefined || home.tokens <= 0) return undefined;
  return candidates.find(({ upstream }) => upstream === home.upstream);
}

/** Chooses among open candidates for a chat that does not go home. */
function chooseOpen(
  open: readonly Candidate[],
  { hasChat, first, choices }: {
    hasChat: boolean;
    first: Candidate;
    choices: number;
  },
): Placement {
  if (!hasChat) return placeAt(getLeastUtilised(open), "least-loaded");
  const choice = getLeastUtilised(open.slice(0, Math.max(1, choices)));
  return placeAt(choice, choice === first ? "rendezvous" : "overflow");
}

/**
 * Places a request. `candidates` are in rendezvous order for its chat; without
 * a chat their order breaks ties.
 */
export function place(
  request: PlacementRequest,
  candidates: readonly Candidate[],
  { maxHomeWaitMs = DEFAULT_MAX_HOME_WAIT_MS, choices = 1 }: PlacementOptions =
    {},
): Placement {
  if (request.now >= request.deadline) {
    const code = "deadline-passed";
    return { kind: "refuse", code, reason: code };
  }
  const inService = candidates.filter((candidate) => candidate.inService);
  const [first] = inService;
  if (first === undefined) {
    return { kind: "refuse", code: "no-capacity", reason: "none-in-service" };
  }
  const open = getOpen(inService);
  const [other] = open;
  if (other === undefined) return { kind: "wait", reason: "no-room" };
  const home = getHome(request, inService);
  if (home !== undefined) {
    const maxWaitMs = maxHomeWaitMs;
    const placement = tryHome(request, { home, other, maxWaitMs });
    if (placement !== undefined) return placement;
  }
  const hasChat = request.chat !== undefined;
  return chooseOpen(open, { hasChat, first, choices });
}
