/**
 * Decides whether a failed request is sent a second time.
 *
 * Only idempotent work is repeated, at most once, never at the upstream that
 * failed, and only while repeats stay below a tenth of the requests of the last
 * minute. There is no allowance on top: when everything fails, repeats add a
 * tenth to the load and no more.
 */

/** What there is to know about a failed request. */
export interface FailedRequest {
  readonly idempotent: boolean;
  /** Upstreams that it was sent to, in order. */
  readonly tried: readonly number[];
}

/** Outcome of asking for a retry. */
export type Retry =
  | {
    readonly kind: "retry";
    /** Upstreams that must not get it again. */
    readonly exclude: readonly number[];
  }
  | {
    readonly kind: "give-up";
    readonly reason: "not-idempotent" | "already-retried" | "budget-spent";
  };

/** Options of a budget. */
export interface RetryBudgetOptions {
  /** Retries per request. */
  ratio?: number;
  /** Retries of a window that are allowed however few requests there are. */
  floor?: number;
  /** Retries of a window that are allowed on top of the ratio. */
  slack?: number;
  /** Time over which requests and retries are counted, in milliseconds. */
  windowMs?: number;
}

interface Slot {
  index: number;
  requests: number;
  retries: number;
}

const DEFAULT_RATIO = 0.1;
const DEFAULT_WINDOW_MS = 60_000;
const SLOTS = 12;
const MAX_RETRIES = 1;

/** Counts requests and retries over a sliding window; see the module. */
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
    this.#slotMs = windowMs / SLOTS;
    this.#slots = Array.from(
      { length: SLOTS },
      () => ({ index: -1, requests: 0, retries: 0 }),
    );
  }

  /** Counts a request that is sent for the first time. */
  noteRequest(now: number): void {
    this.#getSlot(now).requests++;
  }

  /** Asks for a retry and, if there is one, takes it from the budget. */
  tryRetry({ idempotent, tried }: FailedRequest, now: number): Retry {
    if (!idempotent) return { kind: "give-up", reason: "not-idempotent" };
    if (tried.length > MAX_RETRIES) {
      return { kind: "give-up", reason: "already-retried" };
    }
    if (!this.tryTake(now)) return { kind: "give-up", reason: "budget-spent" };
    return { kind: "retry", exclude: tried };
  }

  /** Takes one retry from the budget, if there is one left. */
  tryTake(now: number): boolean {
    const { requests, retries } = this.#sum(now);
    const share = requests * this.#ratio + this.#slack;
    if (retries + 1 > Math.max(this.#floor, share)) return false;
    this.#getSlot(now).retries++;
    return true;
  }

  /** Sets this router's part of the retries that the whole fleet may add. */
  setSlack(slack: number): void {
    this.#slack = slack;
  }

  /** Slot of the current part of the window, cleared if it is an old one. */
  #getSlot(now: number): Slot {
    const index = Math.floor(now / this.#slotMs);
    const slot = this.#slots[index % SLOTS]!;
    if (slot.index !== index) {
      Object.assign(slot, { index, requests: 0, retries: 0 });
    }
    return slot;
  }

  #sum(now: number): { requests: number; retries: number } {
    const oldest = Math.floor(now / this.#slotMs) - SLOTS + 1;
    const sum = { requests: 0, retries: 0 };
    for (const { index, requests, retries } of this.#slots) {
      if (index < oldest) continue;
      sum.requests += requests;
      sum.retries += retries;
    }
    return sum;
  }
}

/** Creates a budget that has seen no request. */
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
