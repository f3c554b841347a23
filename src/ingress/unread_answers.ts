/**
 * Counts what callers have not read yet in the memory that is held for others.
 * When that is full, the callers that hold most of it lose their connections.
 */
import type { ServerResponse } from "node:http";
import {
  type Holding,
  type MemoryBudget,
  MIN_HOLDING_BYTES,
} from "../policy/memory_budget.ts";
import { onceWritten } from "../transport/in_flight.ts";

/** The unread part of one response. */
export class UnreadAnswer {
  readonly #response: ServerResponse;
  readonly #memory: MemoryBudget;
  #holding: Holding | undefined;

  constructor(response: ServerResponse, memory: MemoryBudget) {
    this.#response = response;
    this.#memory = memory;
  }

  /** Sets the bytes that the caller has not read. */
  resize(bytes: number): void {
    if (this.#holding === undefined) {
      if (bytes < MIN_HOLDING_BYTES || this.#isGone) return;
      this.#holding = this.#open();
    }
    this.#holding.resize(bytes);
  }

  get #isGone(): boolean {
    const { destroyed, req } = this.#response;
    return destroyed || req.socket.destroyed;
  }

  #open(): Holding {
    const response = this.#response;
    // A response that waits for an earlier one has no socket of its own yet.
    const { socket } = response.req;
    const holding = this.#memory.open({
      kind: "unread-answer",
      source: socket.remoteAddress ?? "",
      // Only a reset tells an HTTP/1.0 caller that the answer is not whole.
      onEvict: () => {
        socket.resetAndDestroy();
        response.destroy();
      },
    });
    onceWritten(response.req, response, () => holding.close());
    return holding;
  }
}
