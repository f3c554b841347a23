/**
 * The queue of requests that wait for room in a pool, kept at its owner.
 *
 * The order between workspaces is that of `admission_queue_order.ts`. A request
 * whose estimated wait passes its deadline is refused when it comes, not after
 * it has waited in vain. A full queue sheds the newest waiter of the workspace
 * that is furthest above its share.
 */
import { FairOrder, type Waiter } from "./admission_queue_order.ts";
import { DepartureRate } from "./admission_queue_rate.ts";

export type { Waiter };

/** A waiter that was dropped, and when to come back. */
export interface ShedWaiter {
  readonly waiter: Waiter;
  readonly retryAfterMs: number;
}

/** Outcome of a push. */
export type Push =
  | {
    readonly kind: "queued";
    /** Waiter that lost its place; to be refused at once as `queue-full`. */
    readonly shed?: ShedWaiter;
  }
  | {
    readonly kind: "refused";
    readonly code: "queue-full" | "would-miss-deadline";
    readonly retryAfterMs: number;
  };

/** Options of a queue. */
export interface AdmissionQueueOptions {
  /** Most waiters. */
  limit?: number;
  /** Time between departures that is assumed before any was seen. */
  initialUnitMs?: number;
  /** Seeded source of numbers in [0, 1) that spreads the retries. */
  random: () => number;
}

const DEFAULT_LIMIT = 256;
const DEFAULT_UNIT_MS = 100;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 60_000;
/** Largest part of the delay that the jitter adds. */
const JITTER = 0.5;

/** A bounded queue that is fair between workspaces; see the module. */
export class AdmissionQueue {
  #limit: number;
  readonly #random: () => number;
  readonly #order = new FairOrder();
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

  /** Sets the most waiters; those above a lower limit keep their places. */
  setLimit(limit: number): void {
    this.#limit = limit;
  }

  /** Queues a request, or refuses it if it has no fair chance. */
  push(waiter: Waiter, now: number): Push {
    const waitMs = this.estimatedWaitMs(waiter.workspace, now);
    if (now + waitMs >= waiter.deadline) {
      return this.#refuse("would-miss-deadline", waitMs);
    }
    const isFull = this.#order.length >= this.#limit;
    const shed = isFull ? this.#shedFor(waiter, now) : undefined;
    if (isFull && shed === undefined) return this.#refuse("queue-full", waitMs);
    if (this.length === 0) this.#rate.start(now);
    this.#order.insert(waiter);
    return shed === undefined ? { kind: "queued" } : { kind: "queued", shed };
  }

  /**
   * Takes the next waiter out for a place. With `accepts`, the first in order
   * that it accepts; it is asked about each waiter before that one.
   */
  next(
    now: number,
    accepts: (waiter: Waiter) => boolean = () => true,
  ): Waiter | undefined {
    const entry = this.#order.find(accepts);
    if (entry === undefined) return undefined;
    this.#rate.observe(entry.cost, now);
    this.#order.serve(entry);
    return entry.waiter;
  }

  /** Takes a waiter out, for instance because its caller has gone. */
  remove(id: string): Waiter | undefined {
    const entry = this.#order.find((waiter) => waiter.id === id);
    if (entry !== undefined) this.#order.drop([entry]);
    return entry?.waiter;
  }

  /** Takes out every waiter whose deadline has passed. */
  expire(now: number): Waiter[] {
    const late = this.#order.filter(({ deadline }) => deadline <= now);
    this.#order.drop(late);
    return late.map(({ waiter }) => waiter);
  }

  /**
   * Estimates how long a new waiter of the workspace would wait. Later arrivals
   * of other workspaces that leave before it are not foreseen, and it is 0 if
   * nobody is ahead.
   */
  estimatedWaitMs(workspace: string, now: number): number {
    const ahead = this.#order.getCostAhead(workspace);
    return ahead * this.#rate.getUnitMs(now);
  }

  /** Drops the newest waiter of a workspace that is further above its share. */
  #shedFor(waiter: Waiter, now: number): ShedWaiter | undefined {
    const newest = this.#order.findShedFor(waiter);
    if (newest === undefined) return undefined;
    this.#order.drop([newest]);
    const waitMs = this.estimatedWaitMs(newest.waiter.workspace, now);
    return { waiter: newest.waiter, retryAfterMs: this.#getRetryAfter(waitMs) };
  }

  #refuse(code: "queue-full" | "would-miss-deadline", waitMs: number): Push {
    const retryAfterMs = this.#getRetryAfter(waitMs);
    return { kind: "refused", code, retryAfterMs };
  }

  /** The time in which the waiters ahead leave, spread by the jitter. */
  #getRetryAfter(waitMs: number): number {
    const delay = Math.max(MIN_RETRY_AFTER_MS, waitMs) *
      (1 + JITTER * this.#random());
    return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, delay));
  }
}

/** Creates an empty queue. */
export function createAdmissionQueue(
  { limit = DEFAULT_LIMIT, initialUnitMs = DEFAULT_UNIT_MS, random }:
    AdmissionQueueOptions,
): AdmissionQueue {
  return new AdmissionQueue({ limit, initialUnitMs, random });
}
