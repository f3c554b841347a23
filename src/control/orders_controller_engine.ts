/**
 * State that the orders controller keeps per engine: back-off, capacity that is
 * changing and the time of the next check.
 */
import { isIdle } from "./orders_controller_plan.ts";
import type { UpstreamSummary } from "./pool_summary.ts";

const INITIAL_BACK_OFF_MS = 2_000;
const MAX_BACK_OFF_MS = 60_000;
const MAX_SETTLE_MS = 60_000;
/**
 * Share of the settling time in which an engine counts as changing even if it
 * isn't cold: its report may not show yet that the load made it cold.
 */
const MIN_SETTLE_RATIO = 0.1;
/** Time after which the list of an up-to-date engine is read again. */
const RECHECK_MS = 300_000;

/** Timing of the orders to an engine, in milliseconds. */
export interface EngineTimes {
  /** Maximum of the first back-off; doubles with each failure. */
  backOffMs?: number;
  /** Maximum time that an engine counts as changing after a load. */
  settleMs?: number;
}

/** Order state of one engine. */
export class EngineOrderState {
  /** True from the read of its list until its order has ended. */
  isBusy = false;
  /** True while an order that keeps new work away is in progress. */
  isLoading = false;
  readonly #times: Required<EngineTimes>;
  /** The wish that the engine fulfilled at the last check. */
  #fulfilled: string | undefined;
  #checkedAt = -Infinity;
  /** Whether its capacity was in use when the last load order was sent. */
  #wasWarm = false;
  /** When the last load ended; Infinity while it is in progress. */
  #loadedAt = -Infinity;
  #failures = 0;
  #retryNotBefore = -Infinity;

  constructor(
    { backOffMs = INITIAL_BACK_OFF_MS, settleMs = MAX_SETTLE_MS }: EngineTimes,
  ) {
    this.#times = { backOffMs, settleMs };
  }

  /** Whether an order is in progress or the engine settles after a load. */
  isChanging(summary: UpstreamSummary, now: number): boolean {
    if (this.isBusy) return true;
    if (!this.#wasWarm) return false;
    const { settleMs } = this.#times;
    const sinceMs = now - this.#loadedAt;
    if (sinceMs < settleMs * MIN_SETTLE_RATIO) return true;
    return isIdle(summary) && sinceMs < settleMs;
  }

  /** Whether its list of carried-out orders must be read. */
  isReconciliationDue(
    { isLeaving, incarnation }: UpstreamSummary,
    { wish, now }: { wish: string; now: number },
  ): boolean {
    // Without an incarnation the engine has not sent a report yet.
    if (isLeaving || incarnation === undefined) return false;
    if (this.isBusy || now < this.#retryNotBefore) return false;
    if (this.#fulfilled !== wish) return true;
    return now - this.#checkedAt >= RECHECK_MS;
  }

  /** Records that the engine fulfils `wish`. */
  recordFulfilled(wish: string, now: number): void {
    this.#fulfilled = wish;
    this.#checkedAt = now;
    this.#failures = 0;
  }

  /** Records that an order was sent; `holdsBack` keeps new work away. */
  recordSent(
    summary: UpstreamSummary,
    { holdsBack, now }: { holdsBack: boolean; now: number },
  ): void {
    this.isLoading = holdsBack;
    // The order changes what the engine runs, so the last check is outdated
    // even if the manifest returns to that state.
    this.#fulfilled = undefined;
    // An adapter load continues the change that the model load started.
    const isSettling = now - this.#loadedAt < this.#times.settleMs;
    this.#wasWarm = !isIdle(summary) || (this.#wasWarm && isSettling);
    this.#loadedAt = Infinity;
  }

  /** Records the end of an order, whether it was sent or not. */
  recordEnd(now: number): void {
    if (this.#loadedAt === Infinity) this.#loadedAt = now;
    this.isLoading = false;
  }

  /** Resets the back-off. */
  recordSuccess(): void {
    this.#failures = 0;
  }

  /**
   * Postpones the next order by exponential back-off and returns the wait in
   * milliseconds. The jitter keeps two owners from retrying in step.
   */
  backOff(now: number, random: () => number): number {
    const boundMs = this.#times.backOffMs * 2 ** this.#failures;
    const cappedMs = Math.min(MAX_BACK_OFF_MS, boundMs);
    const waitMs = Math.round(cappedMs * (1 + random()) / 2);
    this.#failures++;
    this.#retryNotBefore = now + waitMs;
    return waitMs;
  }
}
