/**
 * Chooses the upstream of a request.
 *
 * 1. The chat's home, which is the upstream in its directory entry, while it
 *    has room. A slow home is used only if it still computes the prompt sooner.
 *    A chat stays at the upstream that served it last. It does not return to an
 *    earlier upstream that is available again, because its newest prefix is
 *    cached at its home.
 * 2. If the home is full, the cost of waiting for it is compared with the cost
 *    of computing the prefix elsewhere. The wait is bounded by an option and by
 *    the deadline.
 * 3. Otherwise the first candidate in rendezvous order that has room. The
 *    directory is lost when the owner of a pool changes, and a chat without an
 *    entry can't be distinguished from a new one; rendezvous order selects the
 *    upstream that holds its cache again. The power of two choices among the
 *    first candidates balances load better but misses the cache of about every
 *    second such chat. The room of a candidate already bounds its load by the
 *    mean, so one choice is the default; `choices` allows more.
 * 4. A request without a chat goes to the least utilised candidate. The owner's
 *    counts are exact, and with at most 32 candidates a full scan is cheap.
 *
 * A candidate that is marked slow is chosen only if no other has room. A
 * candidate that is out of service is never chosen.
 */
import * as Debug from "../debug.ts";
import type { ChatHash } from "./chat_directory.ts";

/** The upstream that caches a chat's prefix. */
export interface Home {
  readonly upstream: number;
  /** Number of prompt tokens that it caches. */
  readonly tokens: number;
}

/** A request to place; times are in milliseconds. */
export interface PlacementRequest {
  readonly chat?: ChatHash;
  /** Estimated length of the prompt, in tokens. */
  readonly promptTokens: number;
  readonly home?: Home;
  readonly now: number;
  readonly deadline: number;
  /** Time that the request has already waited for its home. */
  readonly waitedMs?: number;
}

/** An upstream at which a request may be placed. */
export interface Candidate {
  readonly upstream: number;
  /** Number of requests that it may accept now; none if 0 or less. */
  readonly room: number;
  readonly inFlight: number;
  readonly limit: number;
  readonly cold: boolean;
  readonly inService: boolean;
  readonly failureDomain: string;
  /** Estimated time to compute one prompt token, in milliseconds. */
  readonly msPerPromptToken: number;
  /** Estimated time until it has room, in milliseconds. */
  readonly expectedWaitMs: number;
  /** Whether it responds much more slowly than the other upstreams. */
  readonly slow?: boolean;
}

/** Options of `place`. */
export interface PlacementOptions {
  /** Maximum wait for a full home, in milliseconds. */
  maxHomeWaitMs?: number;
  /**
   * Number of first candidates in rendezvous order from which the least
   * utilised is chosen.
   */
  choices?: number;
}

/** Why an upstream was chosen. */
export type PlaceReason = "home" | "rendezvous" | "overflow" | "least-loaded";

/** Decision for a request. */
export type Placement =
  | {
    readonly kind: "place";
    readonly upstream: number;
    readonly reason: PlaceReason;
  }
  | {
    readonly kind: "wait";
    /** Upstream to wait for; any upstream if absent. */
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

/** Returns the candidates with room; slow ones only if all others are full. */
function getAvailable(candidates: readonly Candidate[]): readonly Candidate[] {
  const withRoom = candidates.filter(({ room }) => room > 0);
  const fast = withRoom.filter(({ slow }) => !slow);
  return fast.length > 0 ? fast : withRoom;
}

function placeAt(candidate: Candidate, reason: PlaceReason): Placement {
  Debug.assert(
    candidate.inService && candidate.room > 0,
    "placement-open",
    () => `upstream ${candidate.upstream} is out of service or has no room`,
  );
  return { kind: "place", upstream: candidate.upstream, reason };
}

/**
 * Whether the home, after `waitMs`, computes the prompt sooner than `other`.
 */
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

/**
 * Places the request at its home or lets it wait for the home; undefined if
 * `other` is the better choice.
 */
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

/** Returns the candidate that is the home, if it caches any tokens. */
function getHome(
  { home }: PlacementRequest,
  candidates: readonly Candidate[],
): Candidate | undefined {
  if (home === undefined || home.tokens <= 0) return undefined;
  return candidates.find(({ upstream }) => upstream === home.upstream);
}

/** Chooses an available candidate for a request not placed at its home. */
function chooseAvailable(
  available: readonly Candidate[],
  { hasChat, first, choices }: {
    hasChat: boolean;
    first: Candidate;
    choices: number;
  },
): Placement {
  if (!hasChat) return placeAt(getLeastUtilised(available), "least-loaded");
  const choice = getLeastUtilised(available.slice(0, Math.max(1, choices)));
  return placeAt(choice, choice === first ? "rendezvous" : "overflow");
}

/**
 * Decides whether a request is placed, waits or is refused. `candidates` are in
 * rendezvous order for its chat; without a chat their order breaks ties.
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
  const available = getAvailable(inService);
  const [other] = available;
  if (other === undefined) return { kind: "wait", reason: "no-room" };
  const home = getHome(request, inService);
  if (home !== undefined) {
    const maxWaitMs = maxHomeWaitMs;
    const placement = tryHome(request, { home, other, maxWaitMs });
    if (placement !== undefined) return placement;
  }
  const hasChat = request.chat !== undefined;
  return chooseAvailable(available, { hasChat, first, choices });
}
