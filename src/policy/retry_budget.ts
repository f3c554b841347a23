/**
 * Decides whether a failed request is retried.
 *
 * Only idempotent requests are retried, at most once, never at an upstream that
 * failed, and by default only while retries stay within a tenth of the requests
 * of the last minute. By default there is no allowance beyond that ratio: when
 * every request fails, retries add no more than a tenth to the load.
 */

/** A failed request. */
export interface FailedRequest {
  readonly idempotent: boolean;
  /** Upstreams to which the request was sent, in order. */
  readonly tried: readonly number[];
}

/** Decision on a failed request. */
export type Retry =
  | {
    readonly kind: "retry";
    /** Upstreams to which the request must not be sent again. */
    readonly exclude: readonly number[];
  }
  | {
    readonly kind: "give-up";
    readonly reason: "not-idempotent" | "already-retried" | "budget-spent";
  };

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Allowed retries per request of the window. */
  ratio?: number;
  /** Retries allowed in a window regardless of the number of requests. */
  floor?: number;
  /** Retries allowed in a window in addition to the ratio. */
  slack?: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs?: number;
}

/** Counts for one part of the window. */
interface Slot {
  /** Time divided by the length of a slot; -1 for an unused slot. */
  index: number;
  requests: number;
  retries: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_WINDOW_MS = 60_000;
const SLOT_COUNT = 12;
const MAX_RETRIES = 1;

/** Counts requests and retries over a sliding window. */
export class RetryBudget {
  readonly #ratio: number;
  readonly #floor: number;
  #slack: number;
  readonly #slotMs: number;
  readonly #slots: Slot[];

  constructor(
    { ratio, floor, slack, windowMs }: Required<RetryBudgetOptions>,
  ) {
    this.#ratio = ratio;
    this.#floor = floor;
    this.#slack = slack;
    this.#slotMs = windowMs / SLOT_COUNT;
    this.#slots = Array.from(
      { length: SLOT_COUNT },
      () => ({ index: -1, requests: 0, retries: 0 }),
    );
  }

  /** Counts the first attempt of a request. */
  recordRequest(now: number): void {
    this.#getSlot(now).requests++;
  }

  /** Decides on a retry and, if it is allowed, takes it from the budget. */
  tryRetry({ idempotent, tried }: FailedRequest, now: number): Retry {
    if (!idempotent) return { kind: "give-up", reason: "not-idempotent" };
    if (tried.length > MAX_RETRIES) {
      return { kind: "give-up", reason: "already-retried" };
    }
    if (!this.tryTakeRetry(now)) {
      return { kind: "give-up", reason: "budget-spent" };
    }
    return { kind: "retry", exclude: tried };
  }

  /** Takes one retry from the budget; false if none remains. */
  tryTakeRetry(now: number): boolean {
    const { requests, retries } = this.#sum(now);
    const share = requests * this.#ratio + this.#slack;
    if (retries + 1 > Math.max(this.#floor, share)) return false;
    this.#getSlot(now).retries++;
    return true;
  }

  /** Sets this router's share of the fleet's additional retries. */
  setSlack(slack: number): void {
    this.#slack = slack;
  }

  /**
   * Returns the slot for `now`, reset if it holds counts of an earlier window.
   */
  #getSlot(now: number): Slot {
    const index = Math.floor(now / this.#slotMs);
    const slot = this.#slots[index % SLOT_COUNT]!;
    if (slot.index !== index) {
      Object.assign(slot, { index, requests: 0, retries: 0 });
    }
    return slot;
  }

  #sum(now: number): { requests: number; retries: number } {
    const oldest = Math.floor(now / this.#slotMs) - SLOT_COUNT + 1;
    const sum = { requests: 0, retries: 0 };
    for (const { index, requests, retries } of this.#slots) {
      if (index < oldest) continue;
      sum.requests += requests;
      sum.retries += retries;
    }
    return sum;
  }
}

/** Creates a budget without any recorded requests. */
export function createRetryBudget(
  {
    ratio = DEFAULT_RATIO,
    floor = 0,
    slack = 0,
    windowMs = DEFAULT_WINDOW_MS,
  }: RetryBudgetOptions = {},
): RetryBudget {
  return new RetryBudget({ ratio, floor, slack, windowMs });
}
