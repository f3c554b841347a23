/**
 * Decides which routers read the metadata store for the whole fleet, and whom a
 * router asks for what the store holds.
 *
 * In a small fleet every router reads the store and tells its loads to all. In
 * a larger one a few relays do, chosen by rendezvous hashing from the routers
 * that are registered, so that none has to be agreed on: a router that counts
 * the fleet differently for a moment asks one that answers all the same. Each
 * answer states its age, which bounds what may be decided by it.
 * Pattern: a cost that grows with the square of the fleet.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** Routers up to which each reads the store: all are told by each other. */
const MOST_EQUALS = 9;
/** Relays of a larger fleet: one may fail while another is restarted. */
const LEAST_RELAYS = 3;
/** Relays over the square root of the fleet: their followers outnumber them. */
const RELAY_FACTOR = 0.5;
const RELAY_KEY = "relay";

/** A router of the fleet, as a relay. */
export interface RelayCandidate {
  readonly name: string;
  /** Bandwidth of its host's link, in Mbit/s; 0 where it is not known. */
  readonly linkMbps: number;
}

/**
 * Chooses the relays among `candidates`, best first: those with the fastest
 * links, since a relay reads whole configurations and passes them on.
 */
export function listRelays(
  candidates: readonly RelayCandidate[],
  { hash }: { hash: Hash },
): string[] {
  const routers = candidates.map(({ name }) => name);
  const links = new Map(
    candidates.map(({ name, linkMbps }) => [name, linkMbps]),
  );
  // Sorting is stable, so that equal links keep their rank.
  const ranking = rankByRendezvous(RELAY_KEY, routers, { hash })
    .sort((one, other) => links.get(other)! - links.get(one)!);
  if (routers.length <= MOST_EQUALS) return ranking;
  const count = Math.ceil(Math.sqrt(routers.length) * RELAY_FACTOR);
  return ranking.slice(0, Math.max(LEAST_RELAYS, count));
}

interface RelayRecord {
  misses: number;
  avoidedUntil: number;
}

/** Asks in a row without an answer after which another relay is asked. */
const MOST_MISSES = 2;
/** A host that restarts or a partition that ends is back by then. */
const AVOIDANCE_MS = 3_000;

/** Options of a plan. */
export interface RelayPlanOptions {
  readonly self: string;
  /** Bandwidth of this host's link, in Mbit/s; 0 where it is not known. */
  readonly linkMbps?: number;
  readonly hash: Hash;
  /** Age from which another relay is asked, in milliseconds. */
  readonly staleMs: number;
}

/** What this router is among the others; see the module. */
export class RelayPlan {
  readonly #options: RelayPlanOptions;
  readonly #records = new Map<string, RelayRecord>();
  #relays: readonly string[] = [];
  #ranking: readonly string[] = [];
  #isRelay = true;

  constructor(options: RelayPlanOptions) {
    this.#options = options;
  }

  /** Takes the fleet's routers, with or without this one. */
  setRouters(routers: Iterable<RelayCandidate>): void {
    const { self, linkMbps = 0, hash } = this.#options;
    const others = [...routers].filter(({ name }) => name !== self);
    const fleet = [...others, { name: self, linkMbps }];
    const relays = listRelays(fleet, { hash });
    this.#isRelay = relays.includes(self);
    this.#relays = relays.filter((name) => name !== self);
    this.#ranking = rankByRendezvous(self, this.#relays, { hash });
    for (const name of [...this.#records.keys()]) {
      if (!this.#relays.includes(name)) this.#records.delete(name);
    }
  }

  /** Whether this router reads the store for others. */
  get isRelay(): boolean {
    return this.#isRelay;
  }

  /** The relays beside this router. */
  get relays(): readonly string[] {
    return this.#relays;
  }

  /** The relay to ask now; each router prefers another. */
  next(now: number): string | undefined {
    const sound = this.#ranking.find((name) =>
      now >= (this.#records.get(name)?.avoidedUntil ?? 0)
    );
    return sound ?? this.#ranking[0];
  }

  /** Notes an answer whose word of the store has an age in milliseconds. */
  noteAnswer(relay: string, { ageMs, now }: { ageMs: number; now: number }) {
    const isStale = ageMs > this.#options.staleMs;
    this.#records.set(relay, {
      misses: 0,
      avoidedUntil: isStale ? now + AVOIDANCE_MS : 0,
    });
  }

  /** Notes that `relay` has not answered. */
  noteMissed(relay: string, now: number): void {
    const misses = (this.#records.get(relay)?.misses ?? 0) + 1;
    const avoidedUntil = misses >= MOST_MISSES ? now + AVOIDANCE_MS : 0;
    this.#records.set(relay, { misses, avoidedUntil });
  }
}
