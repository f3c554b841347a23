/**
 * Writes a stream of events to the caller, over all the upstreams that it goes
 * on at. The head and the signature are those of the first upstream.
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { endWithConnection } from "../transport/unframed_answer.ts";
import { EventOrder } from "../policy/event_order.ts";
import type { StreamTiming } from "./ingress_exchange.ts";
import type { StreamEvent } from "../transport/event_stream.ts";

/** Holds an upstream back while the caller reads slowly. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** See the module. */
export class StreamRelay {
  readonly #response: ServerResponse;
  readonly #order: EventOrder;
  readonly #clock: () => number;
  #isBegun = false;
  #isFramed = true;
  #count = 0;
  #lastPassedAt: number | undefined;
  #longestPauseMs = 0;
  #firstAt: number | undefined;

  constructor(
    response: ServerResponse,
    { lastEventId, clock }: {
      lastEventId: number | undefined;
      clock: () => number;
    },
  ) {
    this.#response = response;
    this.#order = new EventOrder(lastEventId);
    this.#clock = clock;
  }

  /** Whether the caller has received the head. */
  get isBegun(): boolean {
    return this.#isBegun;
  }

  get lastEventId(): number | undefined {
    return this.#order.lastId;
  }

  /** How the events came, for a request that came at `arrivedAt`. */
  getTiming(arrivedAt: number): StreamTiming {
    return {
      events: this.#count,
      firstMs: this.#firstAt === undefined
        ? undefined
        : Math.round(this.#firstAt - arrivedAt),
      longestPauseMs: Math.round(this.#longestPauseMs),
    };
  }

  /** Whether the caller can tell the end of the answer from a break. */
  get isFramed(): boolean {
    return this.#isFramed;
  }

  /** Writes the head, before the first event. */
  begin(
    status: number,
    { headers, isFramed }: {
      headers: Record<string, string | string[]>;
      isFramed: boolean;
    },
  ): void {
    this.#isBegun = true;
    this.#isFramed = isFramed;
    if (!isFramed) endWithConnection(this.#response);
    this.#response.writeHead(status, headers);
  }

  /** Passes events on; false where one is missing before them. */
  pass(events: readonly StreamEvent[], flow: FlowControl): boolean {
    const passed: Buffer[] = [];
    let isInOrder = true;
    for (const { id, bytes } of events) {
      const fate = this.#order.take(id);
      if (fate === "gap") {
        isInOrder = false;
        break;
      }
      if (fate === "pass") passed.push(bytes);
    }
    if (passed.length > 0) this.#write(passed, flow);
    return isInOrder;
  }

  /** Ends the answer as complete. */
  end(): void {
    this.#response.end();
  }

  /** Breaks the answer off, so that it can't look complete. */
  breakOff(): void {
    this.#response.destroy();
  }

  #write(passed: readonly Buffer[], flow: FlowControl): void {
    const now = this.#clock();
    this.#firstAt ??= now;
    const pauseMs = now - (this.#lastPassedAt ?? now);
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#lastPassedAt = now;
    this.#count += passed.length;
    const bytes = passed.length === 1 ? passed[0]! : Buffer.concat(passed);
    if (this.#response.write(bytes)) return;
    flow.pause();
    this.#response.once("drain", () => flow.resume());
  }
}
