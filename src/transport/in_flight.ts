/**
 * Keeps the requests that a server has in flight, for a graceful shutdown.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Log } from "../log.ts";

/** A request in flight, with its connection. */
export type RequestInFlight = Pick<IncomingMessage, "socket">;

/** The requests in flight. */
export interface InFlightCounter {
  readonly count: number;
  recordStart(request: RequestInFlight): void;
  recordEnd(request: RequestInFlight): void;
  /** Resolves when no request is in flight. */
  waitUntilIdle(): Promise<void>;
  /**
   * Resets the connections of the requests in flight. Unlike a close, a reset
   * can't be taken for the end of a response.
   */
  resetConnections(): void;
}

/** Creates a counter without requests. */
export function createInFlightCounter(): InFlightCounter {
  const requests = new Set<RequestInFlight>();
  let idleWaiters: (() => void)[] = [];
  return {
    get count() {
      return requests.size;
    },
    recordStart(request) {
      requests.add(request);
    },
    recordEnd(request) {
      requests.delete(request);
      if (requests.size > 0) return;
      for (const resolve of idleWaiters) resolve();
      idleWaiters = [];
    },
    waitUntilIdle() {
      if (requests.size === 0) return Promise.resolve();
      return new Promise((resolve) => idleWaiters.push(resolve));
    },
    resetConnections() {
      for (const { socket } of requests) socket.resetAndDestroy();
    },
  };
}

/** Serves one request; resolves when it has ended the response. */
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
 * Calls `listener` once: when the response has been written to the connection,
 * or the connection has closed. A response that waits for an earlier one on its
 * connection does not learn that the connection has closed.
 */
export function onceWritten(
  { socket }: RequestInFlight,
  response: ServerResponse,
  listener: () => void,
): void {
  function finish(): void {
    response.off("close", finish);
    socket.off("close", finish);
    listener();
  }
  // Requests that are pipelined each add a listener.
  socket.setMaxListeners(0);
  response.once("close", finish);
  socket.once("close", finish);
}

/**
 * Wraps `serve` in a request listener that counts requests in flight, each until
 * its response is written. If `serve` rejects, the error is logged and the
 * connection is closed.
 */
export function createCountedHandler(
  serve: RequestHandler,
  { inFlight, log }: CountedHandlerOptions,
) {
  return function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const written = new Promise<void>((resolve) =>
      onceWritten(request, response, resolve)
    );
    inFlight.recordStart(request);
    serve(request, response)
      .catch((cause) => {
        log.error("A request handler failed.", { cause: String(cause) });
        response.destroy();
      })
      .then(() => written)
      .finally(() => inFlight.recordEnd(request));
  };
}
