/**
 * Placement policies that the fleet is compared with. Each sees only what its
 * own process has seen, except for the bound, which runs in one process that
 * sees every request and polls every upstream.
 */
import { getMeanInFlight, limitOf } from "../src/policy/load_bound.ts";
import { type Hash, loadHash } from "../src/policy/rendezvous.ts";

/** Names of the policies. */
export const BASELINE_NAMES = [
  "round-robin",
  "plain-hash",
  "least-loaded",
  "bound",
] as const;

/** Name of a policy. */
export type BaselineName = (typeof BASELINE_NAMES)[number];

/** An upstream as a baseline router sees it. */
export interface UpstreamView {
  readonly name: string;
  /** Requests that this process has in flight there. */
  readonly inFlight: number;
  /** False while it is out, leaving or unreachable. */
  readonly isUsable: boolean;
  readonly isCold: boolean;
  readonly hardLimit: number;
  readonly coldLimit: number;
}

/** A request to place. */
export interface BaselineRequest {
  readonly chat: string;
  /** Names of the upstreams that did not take it. */
  readonly tried: readonly string[];
  /** How long it has waited, in milliseconds. */
  readonly waitedMs: number;
}

/** Chooses the upstream of each request. */
export interface BaselinePolicy {
  /** The upstream to send to, `"wait"`, or undefined if there is none. */
  choose(
    request: BaselineRequest,
    upstreams: readonly UpstreamView[],
  ): UpstreamView | "wait" | undefined;
  /** Notes that a chat was served whole. */
  noteServed(chat: string, upstream: string): void;
  /** Notes that an upstream has lost its cache. */
  noteRestart(upstream: string): void;
}

/** Options of a policy. */
export interface BaselineOptions {
  readonly hash: Hash;
  readonly loadFactor: number;
}

const MAX_HOME_WAIT_MS = 2_000;

/** Creates a policy by its name. */
export function createBaselinePolicy(
  name: BaselineName,
  options: BaselineOptions,
): BaselinePolicy {
  switch (name) {
    case "round-robin":
      return new RoundRobin();
    case "plain-hash":
      return new PlainHash(options.hash);
    case "least-loaded":
      return new LeastLoaded();
    case "bound":
      return new Bound(options.loadFactor);
  }
}

/** Loads the hash and creates a policy. */
export async function loadBaselinePolicy(
  name: BaselineName,
  { loadFactor }: { loadFactor: number },
): Promise<BaselinePolicy> {
  return createBaselinePolicy(name, { hash: await loadHash(), loadFactor });
}

/** A policy that keeps nothing of the chats. */
abstract class Stateless implements BaselinePolicy {
  abstract choose(
    request: BaselineRequest,
    upstreams: readonly UpstreamView[],
  ): UpstreamView | undefined;

  noteServed(): void {}

  noteRestart(): void {}
}

/** One after the other. */
class RoundRobin extends Stateless {
  #turn = 0;

  choose(request: BaselineRequest, upstreams: readonly UpstreamView[]) {
    const open = getOpen(request, upstreams);
    return open[this.#turn++ % open.length];
  }
}

/** Hash of the chat, modulo the number of usable upstreams. */
class PlainHash extends Stateless {
  readonly #hash: Hash;

  constructor(hash: Hash) {
    super();
    this.#hash = hash;
  }

  choose(request: BaselineRequest, upstreams: readonly UpstreamView[]) {
    const open = getOpen(request, upstreams);
    return open[this.#hash(request.chat) % open.length];
  }
}

/** The fewest requests in flight by this process's own count. */
class LeastLoaded extends Stateless {
  #turn = 0;

  choose(request: BaselineRequest, upstreams: readonly UpstreamView[]) {
    const open = getOpen(request, upstreams);
    // Ties go round, so that idle routers do not all pick the first one.
    const turn = this.#turn++ % Math.max(1, open.length);
    return getLeast([...open.slice(turn), ...open.slice(0, turn)]);
  }
}

/** The chat's cache, waited for, and then the least loaded, within limits. */
class Bound implements BaselinePolicy {
  readonly #loadFactor: number;
  readonly #homes = new Map<string, string>();

  constructor(loadFactor: number) {
    this.#loadFactor = loadFactor;
  }

  choose(
    request: BaselineRequest,
    upstreams: readonly UpstreamView[],
  ): UpstreamView | "wait" | undefined {
    const open = getOpen(request, upstreams);
    if (open.length === 0) return undefined;
    const withRoom = this.#getWithRoom(upstreams, open);
    const home = this.#homes.get(request.chat);
    if (home !== undefined && open.some(({ name }) => name === home)) {
      const atHome = withRoom.find(({ name }) => name === home);
      if (atHome !== undefined) return atHome;
      if (request.waitedMs < MAX_HOME_WAIT_MS) return "wait";
    }
    return getLeast(withRoom) ?? "wait";
  }

  noteServed(chat: string, upstream: string): void {
    this.#homes.set(chat, upstream);
  }

  noteRestart(upstream: string): void {
    for (const [chat, home] of this.#homes) {
      if (home === upstream) this.#homes.delete(chat);
    }
  }

  #getWithRoom(
    upstreams: readonly UpstreamView[],
    open: readonly UpstreamView[],
  ): readonly UpstreamView[] {
    const usable = upstreams.filter(({ isUsable }) => isUsable);
    const upstreamCount = usable.length;
    const inFlight = usable.reduce((sum, each) => sum + each.inFlight, 1);
    const meanInFlight = getMeanInFlight({ inFlight, upstreamCount });
    return open.filter((each) =>
      each.inFlight < limitOf({
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

function getOpen(
  { tried }: BaselineRequest,
  upstreams: readonly UpstreamView[],
): readonly UpstreamView[] {
  return upstreams.filter(({ name, isUsable }) =>
    isUsable && !tried.includes(name)
  );
}

function getLeast(
  upstreams: readonly UpstreamView[],
): UpstreamView | undefined {
  return upstreams.reduce<UpstreamView | undefined>(
    (least, each) =>
      least === undefined || each.inFlight < least.inFlight ? each : least,
    undefined,
  );
}
