/**
 * Functions that the HTTP servers share: listening, graceful shutdown and
 * writing an outcome.
 */
import type { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Outcome } from "../filters/exchange.ts";
import { bindServer } from "./address.ts";
import { handleClientErrors } from "./client_error.ts";
import { renderProblem } from "./problem.ts";

/** Limits on requests and connections of clients. */
export interface ServerLimits {
  maxBodyBytes: number;
  /** Timeout for receiving the request headers, in milliseconds. */
  headerTimeoutMs: number;
  /** Timeout for receiving the whole request, in milliseconds. */
  requestTimeoutMs: number;
  maxConnections: number;
}

/**
 * Longer than any pause of the process: when a paused process resumes, it runs
 * the expired timer of an idle connection, which closes it, before it reads a
 * request that arrived during the pause.
 */
const KEEP_ALIVE_MS = 600_000;

/**
 * Creates an HTTP server that listens on `address` (`ip:port`). Resolves when
 * it is bound and rejects if it can't be. `onError` receives what fails later.
 */
export function listenForHttp(
  address: string,
  options: {
    limits: ServerLimits;
    handle(request: IncomingMessage, response: ServerResponse): void;
    onError(cause: Error): void;
  },
): Promise<Server> {
  const { limits } = options;
  const server = createServer({
    requestTimeout: limits.requestTimeoutMs,
    headersTimeout: limits.headerTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connectionsCheckingInterval: 1_000,
  }, options.handle);
  server.maxConnections = limits.maxConnections;
  handleClientErrors(server);
  return bindServer(server, address, options);
}

/** Closes a server; resolves when all its connections have closed. */
export type ServerCloser = () => Promise<void>;

/**
 * Tracks the connections of `server` and returns a function that closes it.
 * That function closes connections without an active request immediately and
 * the others when their responses end. A connection with incomplete request
 * headers would otherwise stay open, because a closing Node server no longer
 * enforces its request timeouts.
 */
export function createServerCloser(server: Server): ServerCloser {
  const activeRequests = new Map<Socket, number>();
  let isClosing = false;
  function closeIfIdle(socket: Socket): void {
    if (isClosing && activeRequests.get(socket) === 0) socket.destroy();
  }
  server.on("connection", (socket) => {
    activeRequests.set(socket, 0);
    socket.once("close", () => activeRequests.delete(socket));
  });
  server.prependListener("request", ({ socket }, response) => {
    activeRequests.set(socket, (activeRequests.get(socket) ?? 0) + 1);
    response.once("close", () => {
      activeRequests.set(socket, (activeRequests.get(socket) ?? 1) - 1);
      closeIfIdle(socket);
    });
  });
  return () =>
    new Promise((resolve) => {
      isClosing = true;
      server.close(() => resolve());
      for (const socket of activeRequests.keys()) closeIfIdle(socket);
    });
}

/**
 * Writes the outcome of a request; resolves when all of it has been passed to
 * `response` or the connection has closed.
 */
export async function writeOutcome(
  response: ServerResponse,
  outcome: Outcome,
  requestId: string,
): Promise<void> {
  if (outcome.kind === "refused") {
    const problem = renderProblem(outcome.refusal, requestId);
    writeBufferedResponse(response, problem);
    return;
  }
  response.setHeader("x-request-id", requestId);
  if (outcome.kind === "whole") {
    writeBufferedResponse(response, outcome);
    return;
  }
  response.writeHead(outcome.status, outcome.headers);
  await writeStream(response, outcome.body);
}

/** Writes a complete response; `headers` must include its length. */
export function writeBufferedResponse(
  response: ServerResponse,
  answer: {
    status: number;
    headers: Record<string, string | string[]>;
    body: Buffer;
  },
): void {
  if (response.destroyed) return;
  response.writeHead(answer.status, answer.headers);
  response.end(answer.body);
}

async function writeStream(
  response: ServerResponse,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  try {
    response.flushHeaders();
    for await (const chunk of body) {
      if (response.destroyed) return;
      if (!response.write(chunk)) await waitForDrain(response);
    }
    response.end();
  } catch {
    // The headers are sent, so only a reset can signal the failure.
    response.destroy();
  }
}

async function waitForDrain(response: ServerResponse): Promise<void> {
  const controller = new AbortController();
  const { signal } = controller;
  try {
    await Promise.race([
      once(response, "drain", { signal }),
      once(response, "close", { signal }),
    ]);
  } finally {
    controller.abort();
  }
}
