/**
 * Counts the requests that a server has in flight, for a graceful stop.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Log } from "../log.ts";

/** Counts what is in flight and tells when it has reached zero. */
export interface InFlight {
  readonly count: number;
  begin(): void;
  end(): void;
  /** Resolves once nothing is in flight. */
  idle(): Promise<void>;
}

/** Creates a count of zero. */
export function createInFlight(): InFlight {
  let count = 0;
  let waiting: (() => void)[] = [];
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
      for (const resolve of waiting) resolve();
      waiting = [];
    },
    idle() {
      if (count === 0) return Promise.resolve();
      return new Promise((resolve) => waiting.push(resolve));
    },
  };
}

/** Serves one request to its end. */
export type Serve = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options of a counted handler. */
export interface CountedHandlerOptions {
  readonly inFlight: InFlight;
  readonly log: Log;
}

/** Wraps `serve`: counts its requests, and resets one that it fails on. */
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
        log.error("An answer failed.", { cause: String(cause) });
        response.destroy();
      })
      .finally(() => inFlight.end());
  };
}
