/**
 * Admission queue of a pool or, at the ingress, of a service. It holds the
 * requests that wait until an upstream has capacity.
 *
 * `admission_queue_levels.ts` defines the order between priorities, and
 * `admission_queue_order.ts` the one between workspaces. A request
 * whose estimated wait exceeds its deadline is refused on arrival instead of
 * timing out in the queue. A full queue sheds the newest waiter of the
 * workspace that exceeds its share the most.
 */
import { LevelledQueueOrder } from "./admission_queue_levels.ts";
import type { Waiter } from "./admission_queue_order.ts";
import { DepartureRate } from "./admission_queue_rate.ts";

export type { Waiter };

/** A waiter that was shed, and the delay after which it may retry. */
export interface ShedWaiter {
  readonly waiter: Waiter;
  readonly retryAfterMs: number;
}

/** Result of `AdmissionQueue.push`. */
export type PushResult =
  | {
    readonly kind: "queued";
    /** Waiter that was shed; the caller must refuse it as `queue-full`. */
    readonly shed?: ShedWaiter;
  }
  | {
    readonly kind: "refused";
    readonly code: "queue-full" | "would-miss-deadline";
    readonly retryAfterMs: number;
  };

/** Options of `createAdmissionQueue`. */
export interface AdmissionQueueOptions {
  /** Maximum number of waiters. */
  limit?: number;
  /** Time per unit of cost that is assumed until departures are observed. */
  initialUnitMs?: number;
  /** Seeded source of numbers in [0, 1) for the jitter of the retry delays. */
  random: () => number;
}

const DEFAULT_LIMIT = 256;
const DEFAULT_UNIT_MS = 100;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 60_000;
/** Maximum jitter, as a fraction of the retry delay. */
const MAX_JITTER_RATIO = 0.5;

/** A bounded queue that is fair between workspaces. */
export class AdmissionQueue {
  #limit: number;
  readonly #random: () => number;
  readonly #order = new LevelledQueueOrder();
  readonly #rate: DepartureRate;

  constructor({ limit, initialUnitMs, random }: Required<
    AdmissionQueueOptions
  >) {
    this.#limit = limit;
    this.#rate = new DepartureRate(initialUnitMs);
    this.#random = random;
  }

  /** Number of waiters. */
  get length(): number {
    return this.#order.length;
  }

  /** Sets the maximum number of waiters; a lower limit evicts no waiter. */
  setLimit(limit: number): void {
    this.#limit = limit;
  }

  /**
   * Queues a request. Refuses it if its estimated wait exceeds its deadline, or
   * if the queue is full and no other workspace exceeds its share by more.
   */
  push(waiter: Waiter, now: number): PushResult {
    const waitMs = this.#estimateWaitMs(waiter, now);
    if (now + waitMs >= waiter.deadline) {
      return this.#createRefusal("would-miss-deadline", waitMs);
    }
    const isFull = this.#order.length >= this.#limit;
    const shed = isFull ? this.#shedFor(waiter, now) : undefined;
    if (isFull && shed === undefined) {
      return this.#createRefusal("queue-full", waitMs);
    }
    if (this.length === 0) this.#rate.recordArrival(now);
    this.#order.insert(waiter);
    return shed === undefined ? { kind: "queued" } : { kind: "queued", shed };
  }

  /**
   * Removes and returns the first waiter in order that `accepts` returns true
   * for, and charges its cost to its workspace. `accepts` is called for each
   * waiter up to that one.
   */
  next(
    now: number,
    accepts: (waiter: Waiter) => boolean = () => true,
  ): Waiter | undefined {
    const entry = this.#order.find(accepts);
    if (entry === undefined) return undefined;
    this.#rate.recordDeparture(entry.cost, now);
    this.#order.serve(entry);
    return entry.waiter;
  }

  /** Removes a waiter, for example when its caller has disconnected. */
  remove(id: string): Waiter | undefined {
    const entry = this.#order.find((waiter) => waiter.id === id);
    if (entry !== undefined) this.#order.drop([entry]);
    return entry?.waiter;
  }

  /** Removes and returns every waiter whose deadline has passed. */
  expire(now: number): Waiter[] {
    const expired = this.#order.filter(({ deadline }) => deadline <= now);
    this.#order.drop(expired);
    return expired.map(({ waiter }) => waiter);
  }

  /**
   * Estimates how long a new waiter of the workspace would wait, in
   * milliseconds; 0 if no waiter is ahead of it. Does not account for later
   * arrivals of other workspaces that are served before it.
   */
  estimatedWaitMs(workspace: string, now: number): number {
    return this.#estimateWaitMs({ workspace }, now);
  }

  #estimateWaitMs(
    waiter: Pick<Waiter, "workspace" | "priority">,
    now: number,
  ): number {
    return this.#order.getCostAhead(waiter) * this.#rate.getUnitMs(now);
  }

  /**
   * Sheds the newest waiter of the workspace that exceeds its share the most;
   * undefined if no workspace exceeds its share by more than `waiter`'s would.
   */
  #shedFor(waiter: Waiter, now: number): ShedWaiter | undefined {
    const newest = this.#order.findEntryToShed(waiter);
    if (newest === undefined) return undefined;
    this.#order.drop([newest]);
    const waitMs = this.#estimateWaitMs(newest.waiter, now);
    return {
      waiter: newest.waiter,
      retryAfterMs: this.#getRetryAfterMs(waitMs),
    };
  }

  #createRefusal(
    code: "queue-full" | "would-miss-deadline",
    waitMs: number,
  ): PushResult {
    const retryAfterMs = this.#getRetryAfterMs(waitMs);
    return { kind: "refused", code, retryAfterMs };
  }

  /** Time until the waiters ahead have been served, plus jitter. */
  #getRetryAfterMs(waitMs: number): number {
    const delay = Math.max(MIN_RETRY_AFTER_MS, waitMs) *
      (1 + MAX_JITTER_RATIO * this.#random());
    return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, delay));
  }
}

/** Creates an empty admission queue. */
export function createAdmissionQueue(
  { limit = DEFAULT_LIMIT, initialUnitMs = DEFAULT_UNIT_MS, random }:
    AdmissionQueueOptions,
): AdmissionQueue {
  return new AdmissionQueue({ limit, initialUnitMs, random });
}
