/**
 * Decides which routers, the relays, read the metadata store for the whole
 * fleet, and which relay a router asks for the store's data.
 *
 * In a small fleet every router reads the store and sends its loads to all
 * others. The cost of that grows with the square of the number of routers, so
 * in a larger fleet only a few relays do it. They are chosen by rendezvous
 * hashing from the registered routers, which needs no agreement: a router that
 * briefly sees another set of routers may ask a router that is not a relay,
 * which answers as well. Each answer states its age, which bounds the decisions
 * that may rely on it.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/**
 * Number of routers up to which every router reads the store and sends its
 * loads to all others.
 */
const MAX_ROUTERS_WITHOUT_RELAYS = 9;
/** Minimum in a larger fleet: one may fail while another is restarted. */
const MIN_RELAYS = 3;
/**
 * Number of relays divided by the square root of the number of routers. Each
 * relay then serves more routers than there are relays.
 */
const RELAY_FACTOR = 0.5;
const RELAY_RANKING_KEY = "relay";

/** A router that may be chosen as a relay. */
export interface RelayCandidate {
  readonly name: string;
  /** Bandwidth of its host's link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
}

/**
 * Selects the relays from `candidates`, best first. Routers with the fastest
 * links come first, since a relay reads whole configurations and forwards them.
 */
export function selectRelays(
  candidates: readonly RelayCandidate[],
  { hash }: { hash: Hash },
): string[] {
  const routers = candidates.map(({ name }) => name);
  const links = new Map(
    candidates.map(({ name, linkMbps }) => [name, linkMbps]),
  );
  // The sort is stable, so that routers with equal links keep rendezvous order.
  const ranking = rankByRendezvous(RELAY_RANKING_KEY, routers, { hash })
    .sort((one, other) => links.get(other)! - links.get(one)!);
  if (routers.length <= MAX_ROUTERS_WITHOUT_RELAYS) return ranking;
  const count = Math.ceil(Math.sqrt(routers.length) * RELAY_FACTOR);
  return ranking.slice(0, Math.max(MIN_RELAYS, count));
}

interface RelayRecord {
  /** Consecutive requests without an answer. */
  misses: number;
  /** Time in milliseconds until which other relays are preferred. */
  avoidedUntil: number;
}

/** Consecutive unanswered requests after which another relay is asked. */
const MAX_CONSECUTIVE_MISSES = 2;
/**
 * Time for which a relay is avoided, in milliseconds; by then a restarted host
 * is back or a partition has ended.
 */
const AVOIDANCE_MS = 3_000;

/** Options of `RelayPlan`. */
export interface RelayPlanOptions {
  /** Name of this router. */
  readonly self: string;
  /** Bandwidth of this host's link, in Mbit/s; 0 if unknown. */
  readonly linkMbps?: number;
  readonly hash: Hash;
  /** Age of an answer above which its relay is avoided, in milliseconds. */
  readonly staleMs: number;
}

/** The relays of the fleet and their availability, as seen by one router. */
export class RelayPlan {
  readonly #options: RelayPlanOptions;
  readonly #records = new Map<string, RelayRecord>();
  #relays: readonly string[] = [];
  #ranking: readonly string[] = [];
  #isRelay = true;

  constructor(options: RelayPlanOptions) {
    this.#options = options;
  }

  /** Sets the routers of the fleet; this router may be left out. */
  setRouters(routers: Iterable<RelayCandidate>): void {
    const { self, linkMbps = 0, hash } = this.#options;
    const others = [...routers].filter(({ name }) => name !== self);
    const fleet = [...others, { name: self, linkMbps }];
    const relays = selectRelays(fleet, { hash });
    this.#isRelay = relays.includes(self);
    this.#relays = relays.filter((name) => name !== self);
    this.#ranking = rankByRendezvous(self, this.#relays, { hash });
    for (const name of [...this.#records.keys()]) {
      if (!this.#relays.includes(name)) this.#records.delete(name);
    }
  }

  /** Whether this router is a relay. */
  get isRelay(): boolean {
    return this.#isRelay;
  }

  /** The relays other than this router. */
  get relays(): readonly string[] {
    return this.#relays;
  }

  /**
   * Returns the relay to ask at `now`; undefined if there is none. The
   * preferred relay differs between routers, which spreads the requests.
   */
  next(now: number): string | undefined {
    const available = this.#ranking.find((name) =>
      now >= (this.#records.get(name)?.avoidedUntil ?? 0)
    );
    return available ?? this.#ranking[0];
  }

  /** Records an answer whose data is `ageMs` milliseconds old. */
  recordAnswer(relay: string, { ageMs, now }: { ageMs: number; now: number }) {
    const isStale = ageMs > this.#options.staleMs;
    this.#records.set(relay, {
      misses: 0,
      avoidedUntil: isStale ? now + AVOIDANCE_MS : 0,
    });
  }

  /** Records that `relay` has not answered a request. */
  recordMissedAnswer(relay: string, now: number): void {
    const misses = (this.#records.get(relay)?.misses ?? 0) + 1;
    const avoidedUntil = misses >= MAX_CONSECUTIVE_MISSES
      ? now + AVOIDANCE_MS
      : 0;
    this.#records.set(relay, { misses, avoidedUntil });
  }
}
