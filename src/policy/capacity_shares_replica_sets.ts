/**
 * The replica sets of one pool that a router must comply with at a given time.
 *
 * Routers adopt a configuration entry at different times. A router therefore
 * complies with its older sets as well as the new one until every router that
 * admits requests has adopted the new one. So a share that shrinks takes effect
 * at once, and one that grows only after a hold-down.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** Options of `createReplicaSets`. */
export interface ReplicaSetsOptions {
  readonly hash: Hash;
  /**
   * Time within which every router has adopted an entry or has stopped
   * admitting, in milliseconds.
   */
  readonly holdDownMs: number;
}

/** Options of `ReplicaSets.adopt`. */
export interface ReplicasOptions {
  /** How long a peer is known to have used the entry, in milliseconds. */
  readonly inForceMs?: number;
  /**
   * True if the entries before this one were not read, as after a start from a
   * snapshot. The router then admits nothing before the hold-down has passed.
   */
  readonly afterGap?: boolean;
}

/** One replica set. */
export interface ReplicaSet {
  readonly replicaCount: number;
  /** Gets the rank position of each replica for `upstream`. */
  positionsOf(upstream: string): ReadonlyMap<string, number>;
}

/** Sets that are safe to comply with together, and since when. */
export interface ReplicaSetChoice {
  readonly sets: readonly ReplicaSet[];
  /** Work started before this time may use a set that is not in `sets`. */
  readonly since: number;
}

/** The replica sets of one pool. */
export interface ReplicaSets {
  /**
   * Adopts the set of a configuration entry. Callers must pass every entry in
   * order, even if a later one is known already: the shares of two routers are
   * disjoint only if the routers have an entry in common.
   */
  adopt(
    replicas: readonly string[],
    now: number,
    options?: ReplicasOptions,
  ): void;
  /**
   * Gets the alternatives, each of which is safe on its own. An older set that
   * no router uses any more may be dropped, but only with a report that counts
   * the work started under it. Without such a report, complying with the older
   * set gives the larger allowance.
   */
  getChoices(now: number): ReplicaSetChoice[];
}

/** Creates replica sets that contain no set yet. */
export function createReplicaSets(options: ReplicaSetsOptions): ReplicaSets {
  return new HeldDownSets(options);
}

class HeldDownSets implements ReplicaSets {
  readonly #options: ReplicaSetsOptions;
  /** Oldest first; all but the newest are kept for the hold-down. */
  #sets: AdoptedSet[] = [];

  constructor(options: ReplicaSetsOptions) {
    this.#options = options;
  }

  adopt(
    replicas: readonly string[],
    now: number,
    { inForceMs = 0, afterGap = false }: ReplicasOptions = {},
  ): void {
    if (afterGap) this.#sets = [];
    const newest = this.#sets.at(-1);
    const remainingMs = Math.max(0, this.#options.holdDownMs - inForceMs);
    if (newest?.hasSame(replicas)) {
      this.#shortenHoldDown(newest, now + remainingMs);
      return;
    }
    const settledAt = Math.max(
      now + remainingMs,
      newest?.settledAt ?? -Infinity,
    );
    this.#sets.push(new AdoptedSet(replicas, settledAt, this.#options.hash));
  }

  /** Shortens the hold-down if a peer has used the newest entry for longer. */
  #shortenHoldDown(newest: AdoptedSet, settledAt: number): void {
    const earlier = this.#sets.at(-2)?.settledAt ?? -Infinity;
    newest.settledAt = Math.min(
      newest.settledAt,
      Math.max(settledAt, earlier),
    );
  }

  getChoices(now: number): ReplicaSetChoice[] {
    this.#dropExpiredSet(now);
    const choices: ReplicaSetChoice[] = [];
    for (const [index, { settledAt }] of this.#sets.entries()) {
      if (now < settledAt) break;
      choices.push({ sets: this.#sets.slice(index), since: settledAt });
    }
    return choices;
  }

  /**
   * Drops the oldest set one hold-down after the next set has settled. Until
   * then it stays available for the case that no report counts its work yet.
   */
  #dropExpiredSet(now: number): void {
    const next = this.#sets[1];
    if (next === undefined) return;
    if (now >= next.settledAt + this.#options.holdDownMs) this.#sets.shift();
  }
}

class AdoptedSet implements ReplicaSet {
  /** Time by which every router that admits requests has adopted the set. */
  settledAt: number;
  readonly #replicas: readonly string[];
  readonly #hash: Hash;
  readonly #positions = new Map<string, ReadonlyMap<string, number>>();

  constructor(replicas: readonly string[], settledAt: number, hash: Hash) {
    this.#replicas = replicas;
    this.settledAt = settledAt;
    this.#hash = hash;
  }

  get replicaCount(): number {
    return this.#replicas.length;
  }

  hasSame(replicas: readonly string[]): boolean {
    return this.#replicas.length === replicas.length &&
      this.#replicas.every((name) => replicas.includes(name));
  }

  positionsOf(upstream: string): ReadonlyMap<string, number> {
    let positions = this.#positions.get(upstream);
    if (positions === undefined) {
      const options = { hash: this.#hash };
      const ranked = rankByRendezvous(upstream, this.#replicas, options);
      positions = new Map(ranked.map((name, position) => [name, position]));
      this.#positions.set(upstream, positions);
    }
    return positions;
  }
}
