/**
 * What a router knows of the rollout of one service: the order, the record in the
 * store, and how far the rollout has certainly come.
 */
import type { CanaryShare } from "../policy/rollout_exposure.ts";
import type {
  Instant,
  RolloutOrder,
  RolloutPhase,
  RolloutRecord,
} from "../routing/types.ts";

/** Verdict on the target of an order. */
export type Verdict = "bad" | "good" | "undecided";

/** A write that is due, and since when, on the monotonic clock in ms. */
interface DueWrite {
  readonly order: number;
  readonly phase: RolloutPhase;
  readonly since: number;
}

/** A phase never goes back to one of a lower rank within an order. */
const PHASE_RANKS: Readonly<Record<RolloutPhase, number>> = {
  "trial": 0,
  "promoting": 1,
  "complete": 2,
  "rolled-back": 2,
};

/**
 * Time in which a relay reads an order after it was written, in milliseconds:
 * half of the time between two polls of the store.
 */
const ARRIVAL_MS = 250;

/** Whether an order in this phase has ended. */
export function isFinal(phase: RolloutPhase | undefined): boolean {
  return phase === "complete" || phase === "rolled-back";
}

/** The rollout of one service. */
export class ServiceRollout {
  readonly service: string;
  #order: RolloutOrder | undefined;
  /** Monotonic time of the order, as far as it is known, in milliseconds. */
  #orderedAt = 0;
  /** Whether the order may be older than that. */
  #isAgeUnknown = false;
  #stored: RolloutRecord | undefined;
  #latest: RolloutRecord | undefined;
  #promotingSince: number | undefined;
  #isOfEarlierEra = false;
  /** The tries at the target that this router may make. */
  share: CanaryShare;
  #verdict: Verdict = "undecided";
  /** Monotonic time of the last judgement on the target, in milliseconds. */
  judgedAt = -Infinity;
  /** Monotonic time until which no record is written, in milliseconds. */
  pausedUntil = -Infinity;
  /** Whether other versions, without untested ones, were there since the order. */
  hadOthers = false;
  /** Targets of earlier orders that did not become complete. */
  readonly untested = new Set<string>();
  /** Versions that were registered when the rollout was complete. */
  #endVersions: ReadonlySet<string> | undefined;
  #due: DueWrite | undefined;

  constructor(service: string, share: CanaryShare) {
    this.service = service;
    this.share = share;
  }

  get order(): RolloutOrder | undefined {
    return this.#order;
  }

  /** Monotonic time since which tries count for the order, in milliseconds. */
  get countedSince(): number {
    return this.#orderedAt - ARRIVAL_MS;
  }

  /** The record in the store, which may be of an earlier order. */
  get stored(): RolloutRecord | undefined {
    return this.#stored;
  }

  /** The record with the furthest phase of the order that was known here. */
  get latest(): RolloutRecord | undefined {
    return this.#latest;
  }

  /** Phase of the order; undefined before its first record. */
  get phase(): RolloutPhase | undefined {
    const { order } = this;
    const isOfOrder = order === undefined ||
      this.#latest?.order === order.revision;
    return isOfOrder ? this.#latest?.phase : undefined;
  }

  /** Whether an order is there whose rollout has not ended. */
  get isRunning(): boolean {
    return this.#order !== undefined && !isFinal(this.phase);
  }

  /** Whether neither the order nor its record is left. */
  get isEmpty(): boolean {
    return this.#order === undefined && this.#latest === undefined;
  }

  /**
   * Monotonic time since which this router knows that the order is promoted, in
   * milliseconds; undefined in other phases.
   */
  get promotingSince(): number | undefined {
    return this.phase === "promoting" ? this.#promotingSince : undefined;
  }

  get verdict(): Verdict {
    return this.#verdict;
  }

  /** Whether a bad verdict on the target is known, which is final. */
  get isBad(): boolean {
    return this.#verdict === "bad";
  }

  recordVerdict(verdict: Verdict): void {
    if (!this.isBad) this.#verdict = verdict;
  }

  /** Monotonic time since which a record is to be written; undefined if none. */
  get dueSince(): number | undefined {
    return this.#due?.since;
  }

  /** Sets the record that is to be written, if there is one. */
  setDue(record: RolloutRecord | undefined, now: number): void {
    const due = this.#due;
    if (record === undefined) this.#due = undefined;
    else if (due?.phase !== record.phase || due.order !== record.order) {
      const { order, phase } = record;
      this.#due = { order, phase, since: now };
    }
  }

  /**
   * Returns the versions of `registered` that the rollout is about: after it is
   * complete, the target and those that were there then.
   */
  listBinding(registered: readonly string[]): readonly string[] {
    if (this.phase !== "complete") {
      this.#endVersions = undefined;
      return registered;
    }
    const { target } = this.#latest!;
    const endVersions = this.#endVersions ??= new Set(registered);
    return registered.filter((each) =>
      each === target || endVersions.has(each)
    );
  }

  /** Time since the order at `now`, in milliseconds. */
  getElapsedMs({ steady, wall }: Instant): number {
    const knownMs = steady - this.#orderedAt;
    const hasRecord = this.#latest?.order === this.#order?.revision;
    if (!this.#isAgeUnknown || !hasRecord) return knownMs;
    return Math.max(knownMs, wall - this.#latest!.startedAt);
  }

  /**
   * Receives an order; returns whether it is another one. `ageMs` is undefined if
   * it is not known how long the store has had it.
   */
  receiveOrder(
    order: RolloutOrder,
    { ageMs, now, share }: {
      ageMs: number | undefined;
      now: Instant;
      share: CanaryShare;
    },
  ): boolean {
    const previous = this.#order;
    const isSame = previous?.revision === order.revision &&
      previous.target === order.target &&
      previous.durationMs === order.durationMs;
    if (isSame) {
      this.#isOfEarlierEra = false;
      return false;
    }
    const isOfEarlierEra = this.#isOfEarlierEra;
    this.#isOfEarlierEra = false;
    // The operators have written again what the store had lost.
    const isAgain = isOfEarlierEra && previous?.target === order.target;
    this.#recordUntested(order.target);
    this.#order = order;
    this.#due = undefined;
    if (isAgain) {
      const { revision } = order;
      if (this.#latest !== undefined) {
        this.#latest = { ...this.#latest, order: revision };
      }
      return true;
    }
    // Revisions of the era before can't be compared.
    if (isOfEarlierEra) this.#latest = undefined;
    this.#orderedAt = now.steady - (ageMs ?? 0);
    this.#isAgeUnknown = ageMs === undefined;
    this.share = share;
    this.#verdict = "undecided";
    this.judgedAt = -Infinity;
    this.hadOthers = false;
    this.#promotingSince = undefined;
    return true;
  }

  /** Adds the target before `target` to the untested ones unless it passed. */
  #recordUntested(target: string): void {
    const previous = this.#order?.target ?? this.#latest?.target;
    if (previous !== undefined && this.phase !== "complete") {
      this.untested.add(previous);
    }
    this.untested.delete(target);
  }

  /** Records that the order was removed. */
  removeOrder(): void {
    this.#order = undefined;
    this.#due = undefined;
  }

  /**
   * Receives the record in the store, or one that this router has written.
   * Returns the phase before it if the phase is another one now.
   */
  receiveRecord(
    record: RolloutRecord,
    now: Instant,
  ): { readonly before: RolloutPhase | undefined } | undefined {
    this.#stored = record;
    const before = this.phase;
    if (!this.#isNewer(record)) return undefined;
    this.#latest = record;
    const order = this.#order;
    if (order !== undefined && record.order !== order.revision) {
      const isUntested = record.target !== order.target &&
        record.phase !== "complete";
      if (isUntested) this.untested.add(record.target);
      return undefined;
    }
    if (record.phase === "promoting" && before !== "promoting") {
      this.#promotingSince = now.steady;
    }
    return this.phase === before ? undefined : { before };
  }

  #isNewer({ order, phase }: RolloutRecord): boolean {
    const latest = this.#latest;
    if (latest === undefined || latest.order !== order) {
      // A record of an earlier order does not replace one of this order.
      return latest === undefined || latest.order !== this.#order?.revision;
    }
    return PHASE_RANKS[phase] >= PHASE_RANKS[latest.phase];
  }

  /** Records that the store has no record. */
  removeRecord(): void {
    this.#stored = undefined;
    if (this.#latest?.order !== this.#order?.revision) this.#latest = undefined;
  }

  /** Records that the store has returned to an older copy of its state. */
  recordStoreRestored(): void {
    this.#isOfEarlierEra = true;
  }

  /**
   * Whether the store lacks what this router knows: it has lost the record, or has
   * one of an earlier phase.
   */
  get isStoreBehind(): boolean {
    const latest = this.#latest;
    if (latest === undefined || latest.order !== this.#order?.revision) {
      return false;
    }
    const stored = this.#stored;
    return stored?.order !== latest.order ||
      PHASE_RANKS[stored.phase] < PHASE_RANKS[latest.phase];
  }
}
