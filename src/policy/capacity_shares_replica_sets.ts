/**
 * The replica sets of one pool that a router has to obey at a moment.
 *
 * Routers adopt a configuration entry at different times. A router therefore
 * obeys its older sets together with the new one until every router that admits
 * has adopted it: a share that shrinks does so at once, one that grows is held
 * down.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** Options of replica sets. */
export interface ReplicaSetsOptions {
  readonly hash: Hash;
  /** Time in which every router adopts an entry or stops admitting. */
  readonly holdDownMs: number;
}

/** Options of `ReplicaSets.adopt`. */
export interface ReplicasOptions {
  /** For how long the entry is known to have been in force at a peer. */
  readonly inForceMs?: number;
  /**
   * True where entries before this one were not seen, as after a start from a
   * snapshot: the router then waits the whole hold-down before it admits.
   */
  readonly afterGap?: boolean;
}

/** One replica set. */
export interface ReplicaSet {
  readonly replicaCount: number;
  /** Rank positions of the replicas for `upstream`. */
  positionsOf(upstream: string): ReadonlyMap<string, number>;
}

/** Sets to obey together, and from when on that is sound. */
export interface Choice {
  readonly sets: readonly ReplicaSet[];
  /** Work begun before may stem from a set that is not among them. */
  readonly since: number;
}

/** The replica sets of one pool. */
export interface ReplicaSets {
  /**
   * Adopts the set of a configuration entry. Each entry is given in its turn,
   * also where a later one is known already: two routers need one entry in
   * common to keep apart.
   */
  adopt(
    replicas: readonly string[],
    now: number,
    options?: ReplicasOptions,
  ): void;
  /**
   * The ways to obey the sets, any one of which suffices. An older set that is
   * out of force everywhere may be dropped, but only with a report that saw the
   * work begun under it; until there is one, to obey it is the better choice.
   */
  choicesAt(now: number): Choice[];
}

/** Creates replica sets without a set. */
export function createReplicaSets(options: ReplicaSetsOptions): ReplicaSets {
  return new HeldDownSets(options);
}

class HeldDownSets implements ReplicaSets {
  readonly #options: ReplicaSetsOptions;
  /** Oldest first; all but the newest are there for the hold-down. */
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
    if (newest?.hasSame(replicas)) return;
    const heldMs = Math.max(0, this.#options.holdDownMs - inForceMs);
    const settledAt = Math.max(now + heldMs, newest?.settledAt ?? -Infinity);
    this.#sets.push(new AdoptedSet(replicas, settledAt, this.#options.hash));
  }

  choicesAt(now: number): Choice[] {
    this.#dropOldest(now);
    const choices: Choice[] = [];
    for (const [index, { settledAt }] of this.#sets.entries()) {
      if (now < settledAt) break;
      choices.push({ sets: this.#sets.slice(index), since: settledAt });
    }
    return choices;
  }

  /** Keeps a set for another hold-down after it may be dropped. */
  #dropOldest(now: number): void {
    const next = this.#sets[1];
    if (next === undefined) return;
    if (now >= next.settledAt + this.#options.holdDownMs) this.#sets.shift();
  }
}

class AdoptedSet implements ReplicaSet {
  /** When every router that admits has adopted the set. */
  readonly settledAt: number;
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
