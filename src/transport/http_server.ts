/**
 * Small helpers of the HTTP servers: reading a bounded body and writing an
 * outcome.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results";
import { createRefusal, type Refusal } from "../diagnostics.ts";
import type { Outcome } from "../filters/exchange.ts";
import { bindServer } from "./address.ts";
import { answerClientErrors } from "./client_error.ts";
import { renderProblem } from "./problem.ts";

/** Bounds on what a client may send. */
export interface ServerLimits {
  maxBodyBytes: number;
  /** Time for the whole head, in milliseconds. */
  headerTimeoutMs: number;
  /** Time for the whole head and body, in milliseconds. */
  requestTimeoutMs: number;
  maxConnections: number;
}

/**
 * Longer than a process is paused: on its return the timer of an idle
 * connection runs before the request is read that came meanwhile.
 */
const KEEP_ALIVE_MS = 600_000;

/** Listens at `address`; resolves once it is bound. */
export function listenForHttp(
  address: string,
  options: {
    limits: ServerLimits;
    handle(request: IncomingMessage, response: ServerResponse): void;
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
  answerClientErrors(server);
  return bindServer(server, address);
}

/** Ends a server whose requests have all been answered. */
export type ServerCloser = () => Promise<void>;

/**
 * Prepares the end of `server`: connections close once their answers are
 * written out, and those without a whole request at once. Node stops to time
 * these out when it closes a server.
 */
export function createServerCloser(server: Server): ServerCloser {
  const open = new Map<Socket, number>();
  let isClosing = false;
  function closeIfIdle(socket: Socket): void {
    if (isClosing && open.get(socket) === 0) socket.destroy();
  }
  server.on("connection", (socket) => {
    open.set(socket, 0);
    socket.once("close", () => open.delete(socket));
  });
  server.prependListener("request", ({ socket }, response) => {
    open.set(socket, (open.get(socket) ?? 0) + 1);
    response.once("close", () => {
      open.set(socket, (open.get(socket) ?? 1) - 1);
      closeIfIdle(socket);
    });
  });
  return () =>
    new Promise((resolve) => {
      isClosing = true;
      server.close(() => resolve());
      for (const socket of open.keys()) closeIfIdle(socket);
    });
}

/** Reads the whole body, or refuses it. */
export async function readBody(
  request: IncomingMessage,
  limits: Pick<ServerLimits, "maxBodyBytes">,
): Promise<Result<Buffer, Refusal>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const limit = limits.maxBodyBytes;
  if (Number(request.headers["content-length"] ?? 0) > limit) {
    return Err(createRefusal("body-too-large", `The limit is ${limit} bytes.`));
  }
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > limit) {
        return Err(
          createRefusal("body-too-large", `The limit is ${limit} bytes.`),
        );
      }
      chunks.push(chunk);
    }
  } catch {
    return Err(createRefusal("bad-request", "The body ended early."));
  }
  return Ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
}

/** Writes what came of a request; resolves when all is handed over. */
export async function writeOutcome(
  response: ServerResponse,
  outcome: Outcome,
  requestId: string,
): Promise<void> {
  if (outcome.kind === "refused") {
    const problem = renderProblem(outcome.refusal, requestId);
    writeWhole(response, problem);
    return;
  }
  response.setHeader("x-request-id", requestId);
  if (outcome.kind === "whole") {
    writeWhole(response, outcome);
    return;
  }
  response.writeHead(outcome.status, outcome.headers);
  await writeStream(response, outcome.body);
}

/** Writes an answer that is whole; its headers hold the length. */
export function writeWhole(
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
      if (!response.write(chunk)) await drained(response);
    }
    response.end();
  } catch {
    // The head is out, so that a reset is the only honest end.
    response.destroy();
  }
}

async function drained(response: ServerResponse): Promise<void> {
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
