/**
 * Writes a stream of events to the caller. If the stream resumes at another
 * upstream, its events continue the same response, which keeps the status
 * and headers, and so the signature, of the first upstream.
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import {
  EventOrder,
  type ResponseProgress,
  type StreamPosition,
} from "../policy/event_order.ts";
import type { StreamTiming } from "./ingress_exchange.ts";
import type { MemoryBudget } from "../policy/memory_budget.ts";
import type { StreamEvent } from "../transport/event_stream.ts";
import { UnreadAnswer } from "./unread_answers.ts";

/** Pauses reading from an upstream while the caller reads slowly. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** Events of a response that the caller does not have yet. */
export interface SelectedEvents {
  readonly events: readonly StreamEvent[];
  /** Whether the event behind them, if there is one, may be the next. */
  readonly isInOrder: boolean;
}

/** The event stream response to one request. */
export class StreamRelay {
  readonly #response: ServerResponse;
  readonly #order: EventOrder;
  readonly #clock: () => number;
  readonly #unread: UnreadAnswer;
  #isStarted = false;
  #eventCount = 0;
  #lastWriteAt: number | undefined;
  #longestPauseMs = 0;
  #firstWriteAt: number | undefined;

  constructor(
    response: ServerResponse,
    { lastEventId, clock, memory }: {
      lastEventId: string | undefined;
      clock: () => number;
      memory: MemoryBudget;
    },
  ) {
    this.#response = response;
    this.#order = new EventOrder(lastEventId);
    this.#clock = clock;
    this.#unread = new UnreadAnswer(response, memory);
  }

  /** Whether status and headers have been written. */
  get isStarted(): boolean {
    return this.#isStarted;
  }

  /** Whether another upstream can continue the stream. */
  get canContinue(): boolean {
    return this.#order.canContinue;
  }

  /** Up to where the caller has got a stream that is not complete. */
  get position(): StreamPosition | undefined {
    return this.#response.writableEnded ? undefined : this.#order.position;
  }

  /** Records up to where an earlier request for the stream has got it. */
  recordPosition(position: StreamPosition): void {
    this.#order.recordPosition(position);
  }

  /**
   * Begins the response of an upstream. Several may be open at a time until
   * events of one of them are forwarded.
   */
  beginResponse(): RelayedResponse {
    return new RelayedResponse(this, this.#order.beginResponse());
  }

  /** Returns event timing for a request that arrived at `arrivedAt`. */
  getTiming(arrivedAt: number): StreamTiming {
    return {
      events: this.#eventCount,
      firstMs: this.#firstWriteAt === undefined
        ? undefined
        : Math.round(this.#firstWriteAt - arrivedAt),
      longestPauseMs: Math.round(this.#longestPauseMs),
    };
  }

  /**
   * Writes status and headers, before the first event. The response is sent in
   * chunks even if the upstream's has no length: if this process dies, its
   * kernel closes the connection as at the end of a response without a length.
   */
  start(status: number, headers: Record<string, string | string[]>): void {
    this.#isStarted = true;
    this.#response.writeHead(status, headers);
  }

  /**
   * Selects the events of a response that the caller does not have yet, up to one
   * that may not be the next one.
   */
  select(
    events: readonly StreamEvent[],
    response: ResponseProgress,
  ): SelectedEvents {
    const selected: StreamEvent[] = [];
    for (const event of events) {
      const action = this.#order.receive(event, response);
      if (action === "gap" || action === "disorder") {
        return { events: selected, isInOrder: false };
      }
      if (action === "pass") selected.push(event);
    }
    return { events: selected, isInOrder: true };
  }

  /** Whether a response may be the rest of the stream, up to its end. */
  canEnd(response: ResponseProgress): boolean {
    return this.#order.canEnd(response);
  }

  /** Ends a complete response. */
  end(): void {
    this.#response.end();
  }

  /**
   * Aborts the connection, so that the response can't be taken as complete. To
   * an HTTP/1.0 caller, which knows no chunks, only a reset tells that it is not.
   */
  abort(): void {
    if (!this.#response.chunkedEncoding) {
      this.#response.req.socket.resetAndDestroy();
    }
    this.#response.destroy();
  }

  /** Writes events to the caller. */
  write(events: readonly StreamEvent[], flow: FlowControl): void {
    const now = this.#clock();
    this.#firstWriteAt ??= now;
    const pauseMs = now - (this.#lastWriteAt ?? now);
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastWriteAt = now;
    this.#eventCount += events.length;
    const bytes = events.length === 1
      ? events[0]!.bytes
      : Buffer.concat(events.map((event) => event.bytes));
    if (this.#response.write(bytes)) return;
    flow.pause();
    this.#unread.resize(this.#response.writableLength);
    this.#response.once("drain", () => {
      this.#unread.resize(0);
      flow.resume();
    });
  }
}

/** The response of one upstream, as a part of the caller's stream. */
export class RelayedResponse {
  readonly #relay: StreamRelay;
  readonly #progress: ResponseProgress;

  constructor(relay: StreamRelay, progress: ResponseProgress) {
    this.#relay = relay;
    this.#progress = progress;
  }

  /**
   * Id of the event after which the upstream is to continue the stream; undefined
   * to leave the id that the caller has named, or none.
   */
  get resumeAfter(): string | undefined {
    return this.#progress.resumeAfter;
  }

  /** Whether the stream has started, with this or an earlier response. */
  get isStarted(): boolean {
    return this.#relay.isStarted;
  }

  /** Whether it lacks events that the caller has. */
  get isBehind(): boolean {
    return !this.#relay.canEnd(this.#progress);
  }

  /** What is wrong with the event at which `select` has stopped. */
  get fault(): string {
    return this.#progress.fault;
  }

  /** Writes status and headers of the stream. */
  start(status: number, headers: Record<string, string | string[]>): void {
    this.#relay.start(status, headers);
  }

  /** Selects the events that the caller does not have yet. */
  select(events: readonly StreamEvent[]): SelectedEvents {
    return this.#relay.select(events, this.#progress);
  }

  /** Writes selected events; `flow` pauses reading if the caller is slow. */
  write(events: readonly StreamEvent[], flow: FlowControl): void {
    this.#relay.write(events, flow);
  }
}
