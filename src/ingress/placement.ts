/**
 * What the router knows of the upstreams beyond their entries, and the choice
 * among them.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import { findCacheSource } from "../policy/cache_source.ts";
import { ColdAllowance } from "../policy/cold_allowance.ts";
import type { LoadCounts, PeerLoads } from "../policy/peer_loads.ts";
import { type Hash, rankByRendezvous } from "../policy/rendezvous.ts";
import type { Candidate, UpstreamChoice } from "../policy/upstream_choice.ts";
import { chooseUpstream } from "../policy/upstream_choice.ts";
import type { KnownUpstream } from "../policy/upstream_directory.ts";
import { type RequestEnd, UpstreamHealth } from "../policy/upstream_health.ts";
import { UpstreamLoads } from "../policy/upstream_loads.ts";
import type {
  PromptPart,
  RoutedService,
  UpstreamEntry,
  UpstreamLoad,
} from "../routing/types.ts";

/** Options of the placement. */
export interface PlacementOptions {
  readonly self: string;
  readonly routing: RoutingView;
  readonly hash: Hash;
  readonly clock: () => number;
  readonly random?: () => number;
  /** Factor on what a cold upstream is said to bear. */
  readonly coldFactor: number;
  readonly peerLoads: PeerLoads;
}

/** A request to place. */
export interface PlacementRequest {
  readonly service: RoutedService;
  readonly promptParts: readonly PromptPart[];
  /** Upstreams that the request was sent to before. */
  readonly excluded: ReadonlySet<string>;
}

/** A place for a request. */
export interface Place extends UpstreamChoice {
  readonly entry: UpstreamEntry;
  readonly load: number;
  /** `ip:port` of an upstream to copy the prompt's cache from. */
  readonly copyFrom: string | undefined;
}

/** Why there is no place. */
export type NoPlace = "no-upstream" | "upstreams-full";

/** Pause between two looks for what is forgotten, in milliseconds. */
const PRUNE_MS = 5_000;

/** Names what a prompt shares with others: the part before its own. */
export function getSharedPart(
  parts: readonly PromptPart[],
): string | undefined {
  return (parts.at(-2) ?? parts.at(-1))?.id;
}

function getMean(values: readonly number[]): number {
  const total = values.reduce((sum, value) => sum + value, 0);
  return values.length === 0 ? 0 : total / values.length;
}

/** See the module. */
export class Placement {
  readonly #options: Required<PlacementOptions>;
  readonly #loads = new UpstreamLoads();
  readonly #health = new UpstreamHealth();
  readonly #cold: ColdAllowance;
  #prunedAt = 0;

  constructor(options: PlacementOptions) {
    this.#options = { random: Math.random, ...options };
    this.#cold = new ColdAllowance(options);
  }

  /** Finds a place for a request. */
  find(request: PlacementRequest): Place | NoPlace {
    const { routing, clock, random } = this.#options;
    const now = clock();
    this.#prune(now);
    const usable = routing.directory.listUsable(request.service.name, now);
    if (usable.length === 0) return "no-upstream";
    const fresh = usable.filter(({ entry }) => !request.excluded.has(entry.id));
    const living = routing.directory.listLiving(request.service.name)
      .map(({ entry }) => entry.id);
    const foreign = this.#getForeignLoads(now);
    const candidates = this.#rate(request.service, {
      known: fresh,
      now,
      foreign,
    });
    const ranking = this.#rank(request, living);
    const mayTake = new Set(candidates.map(({ id }) => id));
    const choice = chooseUpstream(candidates, {
      // Of rendezvous hashing a part of the ranking is the ranking of the part.
      ranking: ranking?.filter((id) => mayTake.has(id)),
      meanLoad: getMean(this.#loads.estimate(living, { now, foreign })),
      random,
    });
    if (choice === undefined) return "upstreams-full";
    const { entry } = fresh.find(({ entry }) => entry.id === choice.id)!;
    const { load } = candidates.find(({ id }) => id === choice.id)!;
    const copyFrom = this.#findCopy(request, {
      ranking,
      target: choice.id,
      now,
    });
    return { ...choice, entry, load, copyFrom };
  }

  /** Requests of this router by upstream. */
  listOwnLoads(): LoadCounts {
    return this.#loads.listOwn();
  }

  noteSent(upstream: string): void {
    this.#loads.noteSent(upstream);
    this.#cold.noteSent(upstream, this.#options.clock());
  }

  noteStated(upstream: string, load: UpstreamLoad): void {
    this.#loads.noteStated(upstream, load, this.#options.clock());
  }

  /** Notes the end of a request that was sent. */
  noteEnded(upstream: string): void {
    this.#loads.noteEnded(upstream);
  }

  noteHealth(upstream: string, end: RequestEnd): void {
    this.#health.noteEnd(upstream, end, this.#options.clock());
  }

  /** Forgets what was seen of an earlier process. */
  forget(upstream: string): void {
    this.#health.forget(upstream);
  }

  /** Ranks upstreams for a prompt; undefined where there is none. */
  #rank(
    { service, promptParts }: PlacementRequest,
    names: readonly string[],
  ): string[] | undefined {
    const key = getSharedPart(promptParts);
    if (!service.isEngine || key === undefined) return undefined;
    return rankByRendezvous(key, names, { hash: this.#options.hash });
  }

  #findCopy(
    { excluded }: PlacementRequest,
    { ranking, target, now }: {
      ranking: readonly string[] | undefined;
      target: string;
      now: number;
    },
  ): string | undefined {
    if (ranking === undefined) return undefined;
    const { directory } = this.#options.routing;
    const suspects = this.#health.findSuspects(ranking, now);
    const holders = ranking.map((id) => {
      const { entry, startedAt } = directory.find(id)!;
      const isReachable = directory.isInService(entry.failureDomain) &&
        !suspects.has(id) && !excluded.has(id);
      return { id, ageMs: now - startedAt, isReachable };
    });
    const source = findCacheSource(holders, target);
    return source && directory.find(source)?.entry.address;
  }

  #rate(
    service: RoutedService,
    { known, now, foreign }: {
      known: readonly KnownUpstream[];
      now: number;
      foreign: ReadonlyMap<string, number> | undefined;
    },
  ): Candidate[] {
    const ids = known.map(({ entry }) => entry.id);
    const loads = this.#loads.estimate(ids, { now, foreign });
    const suspects = this.#health.findSuspects(ids, now);
    return known.map(({ entry, coldUntil }, index) => ({
      id: entry.id,
      load: loads[index]!,
      slots: entry.slots,
      hasColdRoom: now >= coldUntil || this.#hasColdRoom(service, entry.id),
      isSuspect: suspects.has(entry.id),
    }));
  }

  /** Loads of the other routers; undefined where too few are heard. */
  #getForeignLoads(now: number): ReadonlyMap<string, number> | undefined {
    const { routing, peerLoads, self } = this.#options;
    const routers = routing.routers();
    const others = routers.size - (routers.has(self) ? 1 : 0);
    if (!peerLoads.isCovering(others, now)) return undefined;
    return peerLoads.sum({ others, now });
  }

  #hasColdRoom(service: RoutedService, upstream: string): boolean {
    if (service.coldRequestsPerSecond === 0) return true;
    const { routing, clock, coldFactor } = this.#options;
    return this.#cold.hasRoom(upstream, {
      bound: { perSecond: service.coldRequestsPerSecond * coldFactor },
      routers: [...routing.routers().keys()],
      now: clock(),
    });
  }

  #prune(now: number): void {
    if (now - this.#prunedAt < PRUNE_MS) return;
    this.#prunedAt = now;
    this.#cold.prune(now);
    const { directory } = this.#options.routing;
    this.#loads.prune((id) => directory.find(id) !== undefined);
  }
}
