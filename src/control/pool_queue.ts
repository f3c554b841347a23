/**
 * The requests that wait for room in a pool, with the replies that are owed to
 * them. Whoever leaves the queue without a place is refused at once.
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

/** A request that waits. */
export interface Waiting {
  readonly request: AcquireRequest;
  /** Monotonic time of its arrival, milliseconds. */
  readonly since: number;
  /** Upstreams in rendezvous order for the request's chat. */
  readonly order: readonly UpstreamState[];
  readonly reply: Reply;
}

const UNIT_MS = 100;

/** The queue of one pool. */
export class PoolQueue {
  readonly #pool: string;
  readonly #queue: AdmissionQueue;
  readonly #waiting = new Map<string, Waiting>();

  constructor(pool: string, random: () => number) {
    this.#pool = pool;
    this.#queue = createAdmissionQueue({ initialUnitMs: UNIT_MS, random });
  }

  /** Number of requests that wait. */
  get length(): number {
    return this.#queue.length;
  }

  /** Sets the most requests that may wait. */
  setLimit(limit: number): void {
    this.#queue.setLimit(limit);
  }

  /** Queues a request, or refuses it or another one in its place. */
  add(waiting: Waiting, now: number): void {
    const { request } = waiting;
    const push = this.#queue.push({
      id: request.requestId,
      workspace: request.workspace,
      weight: request.weight,
      enqueuedAt: now,
      deadline: request.deadlineAt,
      promptTokens: request.promptTokens,
    }, now);
    if (push.kind === "refused") {
      const { code, retryAfterMs } = push;
      const detail = `${this.#queue.length} requests wait for ${this.#pool}.`;
      waiting.reply(Err(createRefusal(code, detail, { retryAfterMs })));
      return;
    }
    this.#waiting.set(request.requestId, waiting);
    if (push.shed === undefined) return;
    const { waiter, retryAfterMs } = push.shed;
    const detail = "The workspace is above its share of the queue.";
    const refusal = createRefusal("queue-full", detail, { retryAfterMs });
    this.#reply(waiter.id, refusal);
  }

  /** Takes out the first request in order that `accepts` accepts. */
  next(
    now: number,
    accepts: (waiting: Waiting) => boolean,
  ): Waiting | undefined {
    const waiter = this.#queue.next(now, ({ id }) => {
      const waiting = this.#waiting.get(id);
      return waiting !== undefined && accepts(waiting);
    });
    if (waiter === undefined) return undefined;
    const waiting = this.#waiting.get(waiter.id);
    this.#waiting.delete(waiter.id);
    return waiting;
  }

  /** Refuses a request if it waits. */
  refuse(id: string, refusal: Refusal): void {
    if (!this.#waiting.has(id)) return;
    this.#queue.remove(id);
    this.#reply(id, refusal);
  }

  /** Takes out a request whose caller has gone. */
  cancel(id: string): void {
    this.refuse(id, createRefusal("deadline-passed", "The caller has gone."));
  }

  /** Refuses every request whose deadline has passed. */
  expire(now: number): void {
    for (const { id } of this.#queue.expire(now)) {
      const detail = "The request waited until its deadline.";
      this.#reply(id, createRefusal("deadline-passed", detail));
    }
  }

  /** Refuses every request. */
  refuseAll(refusal: Refusal): void {
    for (const id of [...this.#waiting.keys()]) this.refuse(id, refusal);
  }

  #reply(id: string, refusal: Refusal): void {
    const waiting = this.#waiting.get(id);
    this.#waiting.delete(id);
    waiting?.reply(Err(refusal));
  }
}
