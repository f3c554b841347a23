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
import {
  createReplicaSets,
  type ReplicaSet,
  type ReplicaSets,
  type ReplicasOptions,
} from "./capacity_shares_replica_sets.ts";
import type { Hash } from "./rendezvous.ts";
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

/** The capacity shares of one pool on this router. */
export interface CapacityShares {
  /** Adopts the pool's replica set, see `ReplicaSets.adopt`. */
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
  /**
   * Bound on the foreign work that takes room from this router; infinite
   * before the first report since the newest rank was gained. While it is not
   * 0, frequent polls of the upstream bring room.
   */
  foreign(upstream: string, now: number): number;
  /** Own in-flight work and the bound on the foreign part, where known. */
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

class RankedShares implements CapacityShares {
  readonly #options: Required<CapacitySharesOptions>;
  readonly #ledgers = new Map<string, UpstreamLedger>();
  readonly #sets: ReplicaSets;
  #confirmedAt = -Infinity;

  constructor(options: Required<CapacitySharesOptions>) {
    this.#options = options;
    this.#sets = createReplicaSets(options);
  }

  setReplicas(
    replicas: readonly string[],
    now: number,
    options?: ReplicasOptions,
  ): void {
    this.#sets.adopt(replicas, now, options);
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

  foreign(upstream: string, now: number): number {
    const gains = this.#options.loans.heldRanks(now)
      .map(({ gainedAt }) => gainedAt);
    return this.#ledgerOf(upstream).foreign(Math.max(-Infinity, ...gains));
  }

  inFlightEstimate(upstream: string, now: number): number {
    const foreign = this.foreign(upstream, now);
    const { own } = this.#ledgerOf(upstream);
    return Number.isFinite(foreign) ? own + foreign : own;
  }

  #ledgerOf(upstream: string): UpstreamLedger {
    let ledger = this.#ledgers.get(upstream);
    if (ledger === undefined) {
      ledger = createUpstreamLedger(this.#options);
      this.#ledgers.set(upstream, ledger);
    }
    return ledger;
  }

  #allowanceOf(upstream: string, limit: number, now: number): number {
    const held = this.#options.loans.heldRanks(now)
      .sort((left, right) => left.gainedAt - right.gainedAt);
    let best = 0;
    for (const { sets, since } of this.#sets.choicesAt(now)) {
      const request = { upstream, limit, held, since };
      const allowed = this.#allowanceUnderAll(sets, request);
      if (allowed > best) best = allowed;
    }
    return best;
  }

  #allowanceUnderAll(
    sets: readonly ReplicaSet[],
    request: ShareRequest,
  ): number {
    let least = request.limit;
    for (const set of sets) {
      const allowed = this.#allowanceUnder(set, request);
      if (allowed < least) least = allowed;
    }
    return least;
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
    const positions = set.positionsOf(upstream);
    const { replicaCount } = set;
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
}

interface ShareRequest {
  readonly upstream: string;
  readonly limit: number;
  /** In the order of their gain. */
  readonly held: readonly HeldRank[];
  /** Foreign work begun before this time is not covered by the set. */
  readonly since: number;
}
