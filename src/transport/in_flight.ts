/**
 * Counts the requests that a server has in flight, for a graceful shutdown.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Log } from "../log.ts";

/** Counter of requests in flight. */
export interface InFlight {
  readonly count: number;
  begin(): void;
  end(): void;
  /** Resolves when no request is in flight. */
  idle(): Promise<void>;
}

/** Creates a counter that starts at zero. */
export function createInFlight(): InFlight {
  let count = 0;
  let idleWaiters: (() => void)[] = [];
  return {
    get count() {
      return count;
    },
    begin() {
      count++;
    },
    end() {
      count--;
      if (count > 0) return;
      for (const resolve of idleWaiters) resolve();
      idleWaiters = [];
    },
    idle() {
      if (count === 0) return Promise.resolve();
      return new Promise((resolve) => idleWaiters.push(resolve));
    },
  };
}

/** Serves one request; resolves when its response has been written. */
export type Serve = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options for `createCountedHandler`. */
export interface CountedHandlerOptions {
  readonly inFlight: InFlight;
  readonly log: Log;
}

/**
 * Wraps `serve` in a request listener that counts requests in flight. If
 * `serve` rejects, the error is logged and the connection is closed.
 */
export function createCountedHandler(
  serve: Serve,
  { inFlight, log }: CountedHandlerOptions,
) {
  return function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    inFlight.begin();
    serve(request, response)
      .catch((cause) => {
        log.error("A request handler failed.", { cause: String(cause) });
        response.destroy();
      })
      .finally(() => inFlight.end());
  };
}
