/**
 * Capacity shares: bound the in-flight work on an upstream without agreement
 * between the routers.
 *
 * Of a limit k, slot j in [0, k) belongs to the replica whose rank position for
 * the upstream is j mod R, where R is the number of replicas. A router may use
 * the slots of the set W of ranks that it holds (see `loans.ts`), less the
 * foreign work F: requests of other routers that were started before it held
 * the ranks and may still be in flight:
 *
 *     own in flight <= |{ j in [0, k) : j mod R in W }| - F
 *
 * F is taken from any report that was made at least the transit bound after
 * the newest rank of W was gained (see `upstream_ledger.ts`). Work that other
 * routers started since then was admitted under ranks outside W. So the
 * in-flight work never exceeds k: the slots of the last router to admit cover
 * its own work and all work counted in its report. The rest was admitted under
 * ranks that it does not hold, to which the same argument applies. A late
 * report only makes F larger. An owner that holds every rank with F = 0 may use
 * all k slots.
 *
 * If routers use different limits at the same time, the sum is bounded by the
 * largest of them.
 */
import * as Debug from "../debug.ts";
import type { LoadReport } from "../types.ts";
import { DEFAULT_DRIFT_MS, type HeldRank, type Loans } from "./loans.ts";
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

/** Inputs of `allowance`. */
export interface AllowanceOptions {
  readonly limit: number;
  /** Upper bound on the foreign work that the ranks don't account for. */
  readonly foreign: number;
  readonly replicaCount: number;
  /** Positions of the held ranks for the upstream, in `[0, replicaCount)`. */
  readonly ranks: readonly number[];
}

/** Computes how many requests a router may have in flight on an upstream. */
export function allowance(options: AllowanceOptions): number {
  const { limit, foreign, replicaCount, ranks } = options;
  const remainder = limit % replicaCount;
  const slotsPerRank = (limit - remainder) / replicaCount;
  let slots = ranks.length * slotsPerRank;
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
   * Time within which an admitted request reaches the upstream, in
   * milliseconds; one that would take longer is cancelled before it is sent.
   */
  readonly transitMs?: number;
  /** Maximum drift between two clocks over a report's age, in milliseconds. */
  readonly driftMs?: number;
  /**
   * Hold-down of a share that grows with a new configuration, in milliseconds.
   * Must be longer than `maxConfirmationAgeMs` plus the drift of the clocks.
   */
  readonly holdDownMs?: number;
  /**
   * Maximum time since the configuration was confirmed, in milliseconds. The
   * router admits no request after that.
   */
  readonly maxConfirmationAgeMs?: number;
}

/** Default of `CapacitySharesOptions.transitMs`. */
export const TRANSIT_MS = 250;
/** Default of `CapacitySharesOptions.holdDownMs`. */
export const HOLD_DOWN_MS = 12_000;
/** Default of `CapacitySharesOptions.maxConfirmationAgeMs`. */
export const MAX_CONFIRMATION_AGE_MS = 10_000;

/** The capacity shares of one pool on this router. */
export interface CapacityShares {
  /** Adopts the pool's replica set; see `ReplicaSets.adopt`. */
  setReplicas(
    replicas: readonly string[],
    now: number,
    options?: ReplicasOptions,
  ): void;
  /**
   * Records that the configuration was the newest one at `requestedAt`, when
   * the read that confirmed it was started.
   */
  confirm(requestedAt: number): void;
  /** Gets the number of further requests that the upstream may be sent now. */
  roomFor(upstream: string, limit: number, now: number): number;
  /**
   * Admits a request if `roomFor` allows one. The caller must read `now`
   * immediately before the call.
   */
  tryBegin(upstream: string, limit: number, now: number): boolean;
  /** Records the end of the request that was admitted at `beganAt`. */
  recordEnd(upstream: string, beganAt: number): void;
  /**
   * Records that this router gave up on a request that may still be in flight
   * on the upstream.
   */
  recordAbandoned(upstream: string, beganAt: number): void;
  /**
   * Records a load report; `requestedAt` is when the request that it answers
   * was sent.
   */
  recordReport(upstream: string, report: LoadReport, requestedAt: number): void;
  /**
   * Gets the upper bound on the foreign work that reduces this router's
   * allowance; infinite before the first report since the newest rank was
   * gained. While it is not 0, polling the upstream often increases the
   * allowance sooner.
   */
  getForeignBound(upstream: string, now: number): number;
  /** Gets the own in-flight work plus the bound on foreign work, if known. */
  estimateInFlight(upstream: string, now: number): number;
}

/** Creates the shares of a pool; admits nothing before `setReplicas`. */
export function createCapacityShares(
  options: CapacitySharesOptions,
): CapacityShares {
  return new RankedShares({
    transitMs: TRANSIT_MS,
    driftMs: DEFAULT_DRIFT_MS,
    holdDownMs: HOLD_DOWN_MS,
    maxConfirmationAgeMs: MAX_CONFIRMATION_AGE_MS,
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

  confirm(requestedAt: number): void {
    if (requestedAt > this.#confirmedAt) this.#confirmedAt = requestedAt;
  }

  roomFor(upstream: string, limit: number, now: number): number {
    if (now - this.#confirmedAt > this.#options.maxConfirmationAgeMs) return 0;
    const allowed = this.#getAllowance(upstream, limit, now);
    return Math.max(0, allowed - this.#getLedger(upstream).own);
  }

  tryBegin(upstream: string, limit: number, now: number): boolean {
    if (this.roomFor(upstream, limit, now) < 1) return false;
    const ledger = this.#getLedger(upstream);
    ledger.begin(now);
    Debug.assert(
      ledger.own <= limit,
      "capacity-share",
      () =>
        `${ledger.own} requests in flight exceed limit ${limit} on ${upstream}`,
    );
    return true;
  }

  recordEnd(upstream: string, beganAt: number): void {
    this.#getLedger(upstream).recordEnd(beganAt);
  }

  recordAbandoned(upstream: string, beganAt: number): void {
    this.#getLedger(upstream).recordAbandoned(beganAt);
  }

  recordReport(
    upstream: string,
    report: LoadReport,
    requestedAt: number,
  ): void {
    this.#getLedger(upstream).recordReport(report, requestedAt);
  }

  getForeignBound(upstream: string, now: number): number {
    const gainTimes = this.#options.loans.getHeldRanks(now)
      .map(({ heldSince }) => heldSince);
    return this.#getLedger(upstream).getForeignBound(
      Math.max(-Infinity, ...gainTimes),
    );
  }

  estimateInFlight(upstream: string, now: number): number {
    const foreign = this.getForeignBound(upstream, now);
    const { own } = this.#getLedger(upstream);
    return Number.isFinite(foreign) ? own + foreign : own;
  }

  #getLedger(upstream: string): UpstreamLedger {
    let ledger = this.#ledgers.get(upstream);
    if (ledger === undefined) {
      ledger = createUpstreamLedger(this.#options);
      this.#ledgers.set(upstream, ledger);
    }
    return ledger;
  }

  #getAllowance(upstream: string, limit: number, now: number): number {
    const held = this.#options.loans.getHeldRanks(now)
      .sort((left, right) => left.heldSince - right.heldSince);
    let best = 0;
    for (const { sets, since } of this.#sets.getChoices(now)) {
      const request = { upstream, limit, held, since };
      const allowed = this.#getAllowanceUnderSets(sets, request);
      if (allowed > best) best = allowed;
    }
    return best;
  }

  #getAllowanceUnderSets(
    sets: readonly ReplicaSet[],
    request: ShareRequest,
  ): number {
    let smallest = request.limit;
    for (const set of sets) {
      const allowed = this.#getAllowanceUnderSet(set, request);
      if (allowed < smallest) smallest = allowed;
    }
    return smallest;
  }

  /**
   * Computes the allowance for the ranks held up to each time of gain and
   * returns the largest. So a newly gained rank counts only once it adds more
   * slots than the foreign work that its former holder may have in flight.
   */
  #getAllowanceUnderSet(
    set: ReplicaSet,
    { upstream, limit, held, since }: ShareRequest,
  ): number {
    const ledger = this.#getLedger(upstream);
    const positions = set.positionsOf(upstream);
    const { replicaCount } = set;
    const ranks: number[] = [];
    let best = 0;
    for (const { replica, heldSince } of held) {
      const position = positions.get(replica);
      if (position === undefined) continue;
      ranks.push(position);
      const foreign = ledger.getForeignBound(
        heldSince > since ? heldSince : since,
      );
      const allowed = allowance({ limit, foreign, replicaCount, ranks });
      if (allowed > best) best = allowed;
    }
    return best;
  }
}

interface ShareRequest {
  readonly upstream: string;
  readonly limit: number;
  /** In the order in which they were gained. */
  readonly held: readonly HeldRank[];
  /** The sets don't cover foreign work that was started before this time. */
  readonly since: number;
}
