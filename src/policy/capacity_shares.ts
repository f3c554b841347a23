/**
 * Capacity shares: the bound on an upstream's in-flight work that holds without
 * agreement between the routers.
 *
 * Of a limit k, slot j in [0, k) belongs to the replica whose rank position for
 * the upstream is j mod R. A router may use the slots of the ranks that it
 * holds (see `loans.ts`), less the foreign work F that was begun before it held
 * them and may still be in flight:
 *
 *     own in flight <= |{ j in [0, k) : j mod R in W }| - F
 *
 * F comes from any report that was made a transit bound or more after the
 * newest rank of W was gained (see `upstream_ledger.ts`). Work that others
 * began since then is theirs by ranks outside W. So the in-flight work adds up
 * to k at most: the last router to admit covers, with its own slots, its own
 * work and all work that its report saw, and the rest was admitted under ranks
 * that it held none of, to which the same applies in turn. A late report only
 * makes F larger. An owner with every rank and F = 0 has k.
 *
 * Where routers use different limits at one time, the sum is bounded by the
 * largest of them.
 */
import * as Debug from "../debug.ts";
import type { LoadReport } from "../types.ts";
import { DRIFT_MS, type HeldRank, type Loans } from "./loans.ts";
import { type Hash, rankByRendezvous } from "./rendezvous.ts";
import {
  createUpstreamLedger,
  type UpstreamLedger,
} from "./upstream_ledger.ts";

/** What an allowance is computed from. */
export interface AllowanceOptions {
  readonly limit: number;
  /** Bound on the foreign work that the ranks do not account for. */
  readonly foreign: number;
  readonly replicaCount: number;
  /** Positions of the held ranks for the upstream, in `[0, replicaCount)`. */
  readonly ranks: readonly number[];
}

/** Computes how many requests a router may have in flight on an upstream. */
export function allowance(options: AllowanceOptions): number {
  const { limit, foreign, replicaCount, ranks } = options;
  const remainder = limit % replicaCount;
  const slotsOfEach = (limit - remainder) / replicaCount;
  let slots = ranks.length * slotsOfEach;
  for (const rank of ranks) {
    if (rank < remainder) slots++;
  }
  return slots > foreign ? slots - foreign : 0;
}

/** Options of the capacity shares of one pool. */
export interface CapacitySharesOptions {
  readonly loans: Loans;
  readonly hash: Hash;
  /**
   * Time from an admission in which its request reaches the upstream; one that
   * has not is cancelled before it is sent.
   */
  readonly transitMs?: number;
  /** Most that two clocks drift apart over a report's age. */
  readonly driftMs?: number;
  /**
   * How long a share of a new configuration is held down. Longer than
   * `confirmMs` with the drift of the clocks.
   */
  readonly holdDownMs?: number;
  /** Without a confirmation of the configuration for so long, no admission. */
  readonly confirmMs?: number;
}

/** Default of `CapacitySharesOptions.transitMs`. */
export const TRANSIT_MS = 250;
/** Default of `CapacitySharesOptions.holdDownMs`. */
export const HOLD_DOWN_MS = 12_000;
/** Default of `CapacitySharesOptions.confirmMs`. */
export const CONFIRM_MS = 10_000;

/** Options of `CapacityShares.setReplicas`. */
export interface ReplicasOptions {
  /** For how long the entry is known to have been in force at a peer. */
  readonly inForceMs?: number;
  /**
   * True where entries before this one were not seen, as after a start from a
   * snapshot: the router then waits the whole hold-down before it admits.
   */
  readonly afterGap?: boolean;
}

/** The capacity shares of one pool on this router. */
export interface CapacityShares {
  /**
   * Sets the pool's replica set from a configuration entry. Each entry is
   * given in its turn, also where a later one is known already: two routers
   * need one entry in common to keep apart.
   */
  setReplicas(
    replicas: readonly string[],
    now: number,
    options?: ReplicasOptions,
  ): void;
  /**
   * Notes that the configuration was the newest one at `askedAt`, the time at
   * which the read that says so was begun.
   */
  confirm(askedAt: number): void;
  /** How many more requests may be sent to the upstream now. */
  roomFor(upstream: string, limit: number, now: number): number;
  /** Admits a request if there is room; `now` is read right before. */
  tryBegin(upstream: string, limit: number, now: number): boolean;
  /** Notes the end of the request that was admitted at `beganAt`. */
  end(upstream: string, beganAt: number): void;
  /** As `end`, where the request may still be in flight on the upstream. */
  abandon(upstream: string, beganAt: number): void;
  /** Notes a report; `askedAt` is when the request it answers was sent. */
  report(upstream: string, report: LoadReport, askedAt: number): void;
  /** Own in-flight work and the bound on the foreign part. */
  inFlightEstimate(upstream: string, now: number): number;
}

/** Creates the shares of a pool; there is no room before `setReplicas`. */
export function createCapacityShares(
  options: CapacitySharesOptions,
): CapacityShares {
  return new RankedShares({
    transitMs: TRANSIT_MS,
    driftMs: DRIFT_MS,
    holdDownMs: HOLD_DOWN_MS,
    confirmMs: CONFIRM_MS,
    ...options,
  });
}

/** One replica set, in force until a while after its successor. */
interface ReplicaSet {
  readonly replicas: readonly string[];
  /** When every router that admits has adopted it. */
  readonly settledAt: number;
  /** Rank positions of the replicas by upstream. */
  readonly positions: Map<string, ReadonlyMap<string, number>>;
}

class RankedShares implements CapacityShares {
  readonly #options: Required<CapacitySharesOptions>;
  readonly #ledgers = new Map<string, UpstreamLedger>();
  /** Oldest first; all but the newest are there for the hold-down. */
  #sets: ReplicaSet[] = [];
  #confirmedAt = -Infinity;

  constructor(options: Required<CapacitySharesOptions>) {
    this.#options = options;
  }

  setReplicas(
    replicas: readonly string[],
    now: number,
    { inForceMs = 0, afterGap = false }: ReplicasOptions = {},
  ): void {
    if (afterGap) this.#sets = [];
    const newest = this.#sets.at(-1);
    if (newest !== undefined && isSameSet(newest.replicas, replicas)) return;
    const held = Math.max(0, this.#options.holdDownMs - inForceMs);
    const settledAt = Math.max(now + held, newest?.settledAt ?? -Infinity);
    this.#sets.push({ replicas, settledAt, positions: new Map() });
  }

  confirm(askedAt: number): void {
    if (askedAt > this.#confirmedAt) this.#confirmedAt = askedAt;
  }

  roomFor(upstream: string, limit: number, now: number): number {
    if (now - this.#confirmedAt > this.#options.confirmMs) return 0;
    const allowed = this.#allowanceOf(upstream, limit, now);
    return Math.max(0, allowed - this.#ledgerOf(upstream).own);
  }

  tryBegin(upstream: string, limit: number, now: number): boolean {
    if (this.roomFor(upstream, limit, now) < 1) return false;
    const ledger = this.#ledgerOf(upstream);
    ledger.begin(now);
    Debug.assert(
      ledger.own <= limit,
      "capacity-share",
      () => `${ledger.own} of ${limit} on ${upstream}`,
    );
    return true;
  }

  end(upstream: string, beganAt: number): void {
    this.#ledgerOf(upstream).end(beganAt);
  }

  abandon(upstream: string, beganAt: number): void {
    this.#ledgerOf(upstream).abandon(beganAt);
  }

  report(upstream: string, report: LoadReport, askedAt: number): void {
    this.#ledgerOf(upstream).report(report, askedAt);
  }

  inFlightEstimate(upstream: string, now: number): number {
    const ledger = this.#ledgerOf(upstream);
    const gains = this.#options.loans.heldRanks(now)
      .map(({ gainedAt }) => gainedAt);
    const foreign = ledger.foreign(Math.max(-Infinity, ...gains));
    return ledger.own + (Number.isFinite(foreign) ? foreign : 0);
  }

  #ledgerOf(upstream: string): UpstreamLedger {
    let ledger = this.#ledgers.get(upstream);
    if (ledger === undefined) {
      ledger = createUpstreamLedger(this.#options);
      this.#ledgers.set(upstream, ledger);
    }
    return ledger;
  }

  /**
   * A router obeys every replica set that some router may still admit under.
   * Once an older set is out of force everywhere it may be dropped, but only
   * with a report that saw the work begun under it. Until there is one, to go
   * on obeying it is the better of the two.
   */
  #allowanceOf(upstream: string, limit: number, now: number): number {
    this.#dropOldSets(now);
    const held = this.#options.loans.heldRanks(now)
      .sort((left, right) => left.gainedAt - right.gainedAt);
    let best = 0;
    for (const [index, { settledAt: since }] of this.#sets.entries()) {
      if (now < since) break;
      const request = { upstream, limit, held, since };
      const allowed = this.#allowanceFrom(index, request);
      if (allowed > best) best = allowed;
    }
    return best;
  }

  /** The least of what the sets from `index` on allow. */
  #allowanceFrom(index: number, request: ShareRequest): number {
    let least = request.limit;
    for (const set of this.#sets.slice(index)) {
      const allowed = this.#allowanceUnder(set, request);
      if (allowed < least) least = allowed;
    }
    return least;
  }

  /** Keeps an older set for another hold-down after it may be dropped. */
  #dropOldSets(now: number): void {
    const next = this.#sets[1];
    if (next === undefined) return;
    if (now >= next.settledAt + this.#options.holdDownMs) this.#sets.shift();
  }

  /**
   * The best of the held ranks up to each time of gain: a newly gained rank
   * counts only once it brings more than the foreign work that it may hide.
   */
  #allowanceUnder(
    set: ReplicaSet,
    { upstream, limit, held, since }: ShareRequest,
  ): number {
    const ledger = this.#ledgerOf(upstream);
    const positions = this.#positionsOf(set, upstream);
    const replicaCount = set.replicas.length;
    const ranks: number[] = [];
    let best = 0;
    for (const { replica, gainedAt } of held) {
      const position = positions.get(replica);
      if (position === undefined) continue;
      ranks.push(position);
      const foreign = ledger.foreign(gainedAt > since ? gainedAt : since);
      const allowed = allowance({ limit, foreign, replicaCount, ranks });
      if (allowed > best) best = allowed;
    }
    return best;
  }

  #positionsOf(
    set: ReplicaSet,
    upstream: string,
  ): ReadonlyMap<string, number> {
    let positions = set.positions.get(upstream);
    if (positions === undefined) {
      const { hash } = this.#options;
      const ranked = rankByRendezvous(upstream, set.replicas, { hash });
      positions = new Map(ranked.map((name, position) => [name, position]));
      set.positions.set(upstream, positions);
    }
    return positions;
  }
}

interface ShareRequest {
  readonly upstream: string;
  readonly limit: number;
  /** In the order of their gain. */
  readonly held: readonly HeldRank[];
  /** Foreign work begun before this time is not covered by the set. */
  readonly since: number;
}

function isSameSet(
  left: readonly string[],
  right: readonly string[],
): boolean {
  return left.length === right.length &&
    left.every((name) => right.includes(name));
}
