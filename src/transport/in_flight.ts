/**
 * Counts the requests that a server has in flight, for a graceful shutdown.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Log } from "../log.ts";

/** Counter of requests in flight. */
export interface InFlightCounter {
  readonly count: number;
  recordStart(): void;
  recordEnd(): void;
  /** Resolves when no request is in flight. */
  waitUntilIdle(): Promise<void>;
}

/** Creates a counter that starts at zero. */
export function createInFlightCounter(): InFlightCounter {
  let count = 0;
  let idleWaiters: (() => void)[] = [];
  return {
    get count() {
      return count;
    },
    recordStart() {
      count++;
    },
    recordEnd() {
      count--;
      if (count > 0) return;
      for (const resolve of idleWaiters) resolve();
      idleWaiters = [];
    },
    waitUntilIdle() {
      if (count === 0) return Promise.resolve();
      return new Promise((resolve) => idleWaiters.push(resolve));
    },
  };
}

/** Serves one request; resolves when its response has been written. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options for `createCountedHandler`. */
export interface CountedHandlerOptions {
  readonly inFlight: InFlightCounter;
  readonly log: Log;
}

/**
 * Wraps `serve` in a request listener that counts requests in flight. If
 * `serve` rejects, the error is logged and the connection is closed.
 */
export function createCountedHandler(
  serve: RequestHandler,
  { inFlight, log }: CountedHandlerOptions,
) {
  return function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    inFlight.recordStart();
    serve(request, response)
      .catch((cause) => {
        log.error("A request handler failed.", { cause: String(cause) });
        response.destroy();
      })
      .finally(() => inFlight.recordEnd());
  };
}
