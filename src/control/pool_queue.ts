/**
 * Queue of the requests that wait for capacity in a pool, with the callbacks
 * for their results. A request that leaves the queue without being admitted is
 * refused immediately.
 */
import { Err } from "ts-results";
import { createRefusal, type Refusal } from "../diagnostics.ts";
import {
  type AdmissionQueue,
  createAdmissionQueue,
} from "../policy/admission_queue.ts";
import type { AcquireRequest } from "./pool.ts";
import type { Reply } from "./pool_messages.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** A request in the queue of a pool. */
export interface QueuedRequest {
  readonly request: AcquireRequest;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly since: number;
  /** Upstreams in rendezvous order for the request's chat. */
  readonly order: readonly UpstreamState[];
  readonly reply: Reply;
}

/** Assumed time between departures before any has been observed. */
const INITIAL_DEPARTURE_INTERVAL_MS = 100;

/** The queue of one pool. */
export class PoolQueue {
  readonly #pool: string;
  readonly #queue: AdmissionQueue;
  readonly #waitingById = new Map<string, QueuedRequest>();

  constructor(pool: string, random: () => number) {
    this.#pool = pool;
    this.#queue = createAdmissionQueue({
      initialUnitMs: INITIAL_DEPARTURE_INTERVAL_MS,
      random,
    });
  }

  /** Number of queued requests. */
  get length(): number {
    return this.#queue.length;
  }

  /** Sets the maximum number of queued requests. */
  setLimit(limit: number): void {
    this.#queue.setLimit(limit);
  }

  /** Queues a request; if the queue is full, refuses it or another request. */
  add(waiting: QueuedRequest, now: number): void {
    const { request } = waiting;
    const result = this.#queue.push({
      id: request.requestId,
      workspace: request.workspace,
      weight: request.weight,
      enqueuedAt: now,
      deadline: request.deadlineAt,
      promptTokens: request.promptTokens,
    }, now);
    if (result.kind === "refused") {
      const { code, retryAfterMs } = result;
      const detail = `${this.#queue.length} requests wait for ${this.#pool}.`;
      waiting.reply(Err(createRefusal(code, detail, { retryAfterMs })));
      return;
    }
    this.#waitingById.set(request.requestId, waiting);
    if (result.shed === undefined) return;
    const { waiter, retryAfterMs } = result.shed;
    const detail = "The workspace is above its share of the queue.";
    const refusal = createRefusal("queue-full", detail, { retryAfterMs });
    this.#reply(waiter.id, refusal);
  }

  /** Removes and returns the first request in order that `accepts` accepts. */
  takeNext(
    now: number,
    accepts: (waiting: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    const waiter = this.#queue.next(now, ({ id }) => {
      const waiting = this.#waitingById.get(id);
      return waiting !== undefined && accepts(waiting);
    });
    if (waiter === undefined) return undefined;
    const waiting = this.#waitingById.get(waiter.id);
    this.#waitingById.delete(waiter.id);
    return waiting;
  }

  /** Refuses a request; does nothing if it is not queued. */
  refuse(id: string, refusal: Refusal): void {
    if (!this.#waitingById.has(id)) return;
    this.#queue.remove(id);
    this.#reply(id, refusal);
  }

  /** Refuses a request that was aborted; does nothing if it is not queued. */
  cancel(id: string): void {
    this.refuse(
      id,
      createRefusal("deadline-passed", "The caller has gone."),
    );
  }

  /** Refuses every queued request whose deadline has passed. */
  expire(now: number): void {
    for (const { id } of this.#queue.expire(now)) {
      const detail = "The request waited until its deadline.";
      this.#reply(id, createRefusal("deadline-passed", detail));
    }
  }

  /** Refuses every queued request. */
  refuseAll(refusal: Refusal): void {
    for (const id of [...this.#waitingById.keys()]) this.refuse(id, refusal);
  }

  #reply(id: string, refusal: Refusal): void {
    const waiting = this.#waitingById.get(id);
    this.#waitingById.delete(id);
    waiting?.reply(Err(refusal));
  }
}
