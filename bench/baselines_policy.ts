/**
 * Placement policies that the fleet is compared with. Each knows only the
 * requests of its own process. The `bound` policy is the exception: it runs in
 * a single process that receives every request and polls every upstream.
 */
import { getMeanInFlight, getUpstreamLimit } from "../src/policy/load_bound.ts";
import { type Hash, loadHash } from "../src/policy/rendezvous.ts";

/** Names of the policies, as given on the command line and in reports. */
export const BASELINE_NAMES = [
  "round-robin",
  "plain-hash",
  "least-loaded",
  "bound",
] as const;

/** Name of a baseline policy. */
export type BaselineName = (typeof BASELINE_NAMES)[number];

/** An upstream as a baseline router sees it. */
export interface UpstreamView {
  readonly name: string;
  /** Requests that this process has in flight at the upstream. */
  readonly inFlight: number;
  /** False while the upstream is out, leaving or unreachable. */
  readonly isUsable: boolean;
  readonly isCold: boolean;
  readonly hardLimit: number;
  readonly coldLimit: number;
}

/** A request that needs an upstream. */
export interface BaselineRequest {
  readonly chat: string;
  /** Names of the upstreams that did not accept the request. */
  readonly tried: readonly string[];
  /** How long the request has waited, in milliseconds. */
  readonly waitedMs: number;
}

/** Chooses an upstream for each request. */
export interface BaselinePolicy {
  /**
   * Returns the upstream to send to, `"wait"` if the request has to wait, or
   * undefined if there is none.
   */
  choose(
    request: BaselineRequest,
    upstreams: readonly UpstreamView[],
  ): UpstreamView | "wait" | undefined;
  /** Records that an upstream served a request of a chat completely. */
  recordServed(chat: string, upstream: string): void;
  /** Records that an upstream restarted and lost its cache. */
  recordRestart(upstream: string): void;
}

/** Options of a baseline policy. */
export interface BaselineOptions {
  readonly hash: Hash;
  readonly loadFactor: number;
}

const MAX_HOME_WAIT_MS = 2_000;

/** Creates the policy with the given name. */
export function createBaselinePolicy(
  name: BaselineName,
  options: BaselineOptions,
): BaselinePolicy {
  switch (name) {
    case "round-robin":
      return new RoundRobinPolicy();
    case "plain-hash":
      return new PlainHashPolicy(options.hash);
    case "least-loaded":
      return new LeastLoadedPolicy();
    case "bound":
      return new BoundPolicy(options.loadFactor);
  }
}

/** Loads the hash function and creates the policy with the given name. */
export async function loadBaselinePolicy(
  name: BaselineName,
  { loadFactor }: { loadFactor: number },
): Promise<BaselinePolicy> {
  return createBaselinePolicy(name, { hash: await loadHash(), loadFactor });
}

/** A policy that keeps no state per chat. */
abstract class StatelessPolicy implements BaselinePolicy {
  abstract choose(
    request: BaselineRequest,
    upstreams: readonly UpstreamView[],
  ): UpstreamView | undefined;

  recordServed(): void {}

  recordRestart(): void {}
}

/** Takes the usable upstreams in turn. */
class RoundRobinPolicy extends StatelessPolicy {
  #nextIndex = 0;

  choose(request: BaselineRequest, upstreams: readonly UpstreamView[]) {
    const candidates = getCandidates(request, upstreams);
    return candidates[this.#nextIndex++ % candidates.length];
  }
}

/** Takes the hash of the chat modulo the number of usable upstreams. */
class PlainHashPolicy extends StatelessPolicy {
  readonly #hash: Hash;

  constructor(hash: Hash) {
    super();
    this.#hash = hash;
  }

  choose(request: BaselineRequest, upstreams: readonly UpstreamView[]) {
    const candidates = getCandidates(request, upstreams);
    return candidates[this.#hash(request.chat) % candidates.length];
  }
}

/** Takes the upstream with the fewest requests in flight from this process. */
class LeastLoadedPolicy extends StatelessPolicy {
  #nextOffset = 0;

  choose(request: BaselineRequest, upstreams: readonly UpstreamView[]) {
    const candidates = getCandidates(request, upstreams);
    // Rotates the order in which ties are resolved, so that idle routers do not
    // all pick the first upstream.
    const offset = this.#nextOffset++ % Math.max(1, candidates.length);
    return getLeastLoaded([
      ...candidates.slice(offset),
      ...candidates.slice(0, offset),
    ]);
  }
}

/**
 * Takes the upstream that has the chat cached, and waits up to
 * `MAX_HOME_WAIT_MS` while that is at its limit. Otherwise takes the least
 * loaded upstream below its limit.
 */
class BoundPolicy implements BaselinePolicy {
  readonly #loadFactor: number;
  readonly #homeByChat = new Map<string, string>();

  constructor(loadFactor: number) {
    this.#loadFactor = loadFactor;
  }

  choose(
    request: BaselineRequest,
    upstreams: readonly UpstreamView[],
  ): UpstreamView | "wait" | undefined {
    const candidates = getCandidates(request, upstreams);
    if (candidates.length === 0) return undefined;
    const belowLimit = this.#getBelowLimit(upstreams, candidates);
    const home = this.#homeByChat.get(request.chat);
    if (home !== undefined && candidates.some(({ name }) => name === home)) {
      const homeBelowLimit = belowLimit.find(({ name }) => name === home);
      if (homeBelowLimit !== undefined) return homeBelowLimit;
      if (request.waitedMs < MAX_HOME_WAIT_MS) return "wait";
    }
    return getLeastLoaded(belowLimit) ?? "wait";
  }

  recordServed(chat: string, upstream: string): void {
    this.#homeByChat.set(chat, upstream);
  }

  recordRestart(upstream: string): void {
    for (const [chat, home] of this.#homeByChat) {
      if (home === upstream) this.#homeByChat.delete(chat);
    }
  }

  #getBelowLimit(
    upstreams: readonly UpstreamView[],
    candidates: readonly UpstreamView[],
  ): readonly UpstreamView[] {
    const usable = upstreams.filter(({ isUsable }) => isUsable);
    const upstreamCount = usable.length;
    const inFlight = usable.reduce((sum, each) => sum + each.inFlight, 1);
    const meanInFlight = getMeanInFlight({ inFlight, upstreamCount });
    return candidates.filter((each) =>
      each.inFlight < getUpstreamLimit({
        hardLimit: each.hardLimit,
        coldLimit: each.coldLimit,
        cold: each.isCold,
        loadFactor: this.#loadFactor,
        meanInFlight,
        upstreamCount,
      })
    );
  }
}

function getCandidates(
  { tried }: BaselineRequest,
  upstreams: readonly UpstreamView[],
): readonly UpstreamView[] {
  return upstreams.filter(({ name, isUsable }) =>
    isUsable && !tried.includes(name)
  );
}

function getLeastLoaded(
  upstreams: readonly UpstreamView[],
): UpstreamView | undefined {
  return upstreams.reduce<UpstreamView | undefined>(
    (least, each) =>
      least === undefined || each.inFlight < least.inFlight ? each : least,
    undefined,
  );
}
