/**
 * What the orders controller keeps of an engine, and what follows from it.
 */
import { isIdle } from "./orders_controller_plan.ts";
import type { UpstreamSummary } from "./pool_summary.ts";

const BACK_OFF_MS = 2_000;
const MAX_BACK_OFF_MS = 60_000;
const SETTLE_MS = 60_000;
/** Part of the time to settle in which a report shows that it turned cold. */
const MIN_SETTLE_PART = 0.1;
/** Time after which the list of an engine that was right is read again. */
const RECHECK_MS = 300_000;

/** Times of the orders to an engine, in milliseconds. */
export interface EngineTimes {
  /** Bound of the first back-off; doubles with each failure. */
  backOffMs?: number;
  /** Longest time that a loaded engine counts as changing. */
  settleMs?: number;
}

/** State of an engine. */
export class OrderedEngine {
  /** True from the look at its list until its order has ended. */
  isBusy = false;
  /** True while an order that was sent has not ended. */
  isLoading = false;
  readonly #times: Required<EngineTimes>;
  /** The wish that was last seen fulfilled. */
  #fulfilled: string | undefined;
  #checkedAt = -Infinity;
  /** Whether it had capacity in use when it was last ordered to load. */
  #wasWarm = false;
  #loadedAt = -Infinity;
  #failures = 0;
  #notBefore = -Infinity;

  constructor(
    { backOffMs = BACK_OFF_MS, settleMs = SETTLE_MS }: EngineTimes,
  ) {
    this.#times = { backOffMs, settleMs };
  }

  /** Whether it is being ordered, or is not yet warm after a load. */
  isChanging(summary: UpstreamSummary, now: number): boolean {
    if (this.isBusy) return true;
    if (!this.#wasWarm) return false;
    const { settleMs } = this.#times;
    const sinceMs = now - this.#loadedAt;
    if (sinceMs < settleMs * MIN_SETTLE_PART) return true;
    return isIdle(summary) && sinceMs < settleMs;
  }

  /** Whether its list is to be read. */
  isVisitDue(
    { isLeaving, incarnation }: UpstreamSummary,
    { wish, now }: { wish: string; now: number },
  ): boolean {
    // Without an incarnation the engine has not said a word yet.
    if (isLeaving || incarnation === undefined) return false;
    if (this.isBusy || now < this.#notBefore) return false;
    if (this.#fulfilled !== wish) return true;
    return now - this.#checkedAt >= RECHECK_MS;
  }

  noteFulfilled(wish: string, now: number): void {
    this.#fulfilled = wish;
    this.#checkedAt = now;
    this.#failures = 0;
  }

  /** Notes that an order is sent; `holdsBack` keeps new work away. */
  noteSent(
    summary: UpstreamSummary,
    { holdsBack, now }: { holdsBack: boolean; now: number },
  ): void {
    this.isLoading = holdsBack;
    // What it ran before no longer counts, also if that is wished for again.
    this.#fulfilled = undefined;
    // An adapter's load goes on with the change that the model's load began.
    const isSettling = now - this.#loadedAt < this.#times.settleMs;
    this.#wasWarm = !isIdle(summary) || (this.#wasWarm && isSettling);
    this.#loadedAt = Infinity;
  }

  /** Notes that an order has ended, sent or not. */
  noteEnd(now: number): void {
    if (this.#loadedAt === Infinity) this.#loadedAt = now;
    this.isLoading = false;
  }

  noteSuccess(): void {
    this.#failures = 0;
  }

  /** Waits longer each time, and by chance, so that two owners part. */
  backOff(now: number, random: () => number): number {
    const boundMs = this.#times.backOffMs * 2 ** this.#failures;
    const cappedMs = Math.min(MAX_BACK_OFF_MS, boundMs);
    const waitMs = Math.round(cappedMs * (1 + random()) / 2);
    this.#failures++;
    this.#notBefore = now + waitMs;
    return waitMs;
  }
}
