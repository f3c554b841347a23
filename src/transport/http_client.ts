/**
 * Sends HTTP requests to upstreams and other routers, and distinguishes
 * requests that were never sent from requests that may have been received.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { Agent, type Dispatcher, Pool } from "undici";
import { isFinalStatus } from "../policy/answer_proof.ts";
import { ResetClient, type ResetClientOptions } from "./reset_client.ts";

/** Whether a failed request may have reached the server. */
export type SendFailureKind =
  /** No connection was established, so nothing was written. */
  | "not-sent"
  /** The request may have been written in part or in full. */
  | "unclear"
  /** The caller of this module aborted the request. */
  | "cancelled";

/** Error for a request that received no response. */
export class SendFailure extends Error {
  readonly kind: SendFailureKind;

  constructor(kind: SendFailureKind, detail: string) {
    super(detail);
    this.name = "SendFailure";
    this.kind = kind;
  }
}

/** A request to send. */
export interface OutgoingRequest {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  /** Timeout for the response headers, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Timeout between two chunks of the response body, in milliseconds. */
  readonly betweenBytesTimeoutMs: number;
  readonly signal: AbortSignal;
  /**
   * Inactivity timeout until the response headers, in milliseconds, after which
   * the connection counts as lost. An informational response (1xx) restarts it.
   */
  readonly inactivityTimeoutMs?: number;
  /** Uses a new connection, because a pooled one may be stale. */
  readonly isFresh?: boolean;
}

/** Status, headers and body stream of a response. */
export interface IncomingResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Dispatcher.ResponseData["body"];
}

/** Sends requests over pooled connections. */
export interface HttpClient {
  /** Resolves when the response headers arrive or the request fails. */
  send(
    request: OutgoingRequest,
  ): Promise<Result<IncomingResponse, SendFailure>>;
  close(): Promise<void>;
}

/** Options for `createHttpClient`. */
export interface HttpClientOptions {
  connectTimeoutMs?: number;
  /** Idle time after which a pooled connection is closed, in milliseconds. */
  keepAliveMs?: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 4_000;
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function toSendFailure(cause: unknown, signal: AbortSignal): SendFailure {
  const error = cause as { code?: string; message?: string };
  const detail = error.message ?? "the request failed";
  if (error.code !== undefined && NOT_SENT_CODES.has(error.code)) {
    return new SendFailure("not-sent", detail);
  }
  if (signal.aborted) return new SendFailure("cancelled", detail);
  return new SendFailure("unclear", detail);
}

/** Aborts a request if nothing arrives for too long before the headers. */
interface InactivityTimer {
  readonly signal: AbortSignal;
  restart(): void;
  stop(): void;
}

function createInactivityTimer(
  { signal, inactivityTimeoutMs }: OutgoingRequest,
): InactivityTimer {
  if (inactivityTimeoutMs === undefined) {
    return { signal, restart() {}, stop() {} };
  }
  const controller = new AbortController();
  const timer = setTimeout(() => controller.abort(), inactivityTimeoutMs);
  return {
    signal: AbortSignal.any([signal, controller.signal]),
    restart: () => void timer.refresh(),
    stop: () => clearTimeout(timer),
  };
}

function createPool(origin: string | URL, options: object): Pool {
  return new Pool(origin, {
    ...options,
    factory: (server, clientOptions) =>
      new ResetClient(server, clientOptions as ResetClientOptions),
  });
}

/** Creates a client with its own connection pool. */
export function createHttpClient(
  {
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
    keepAliveMs = KEEP_ALIVE_MS,
  }: HttpClientOptions = {},
): HttpClient {
  const agent = new Agent({
    factory: createPool,
    connect: { timeout: connectTimeoutMs },
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
    pipelining: 1,
  });

  function createSingleUseAgent(): Agent {
    return new Agent({
      factory: createPool,
      connect: { timeout: connectTimeoutMs },
      pipelining: 0,
    });
  }

  async function send(
    request: OutgoingRequest,
  ): Promise<Result<IncomingResponse, SendFailure>> {
    if (request.signal.aborted) {
      return Err(
        new SendFailure("cancelled", "cancelled before the request was sent"),
      );
    }
    const dispatcher = request.isFresh ? createSingleUseAgent() : agent;
    const inactivityTimer = createInactivityTimer(request);
    try {
      const response = await dispatcher.request({
        origin: `http://${request.address}`,
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body ?? null,
        headersTimeout: request.firstByteTimeoutMs,
        bodyTimeout: request.betweenBytesTimeoutMs,
        signal: inactivityTimer.signal,
        onInfo: inactivityTimer.restart,
      });
      inactivityTimer.stop();
      const { statusCode } = response;
      if (!isFinalStatus(statusCode)) {
        response.body.on("error", () => {}).destroy();
        throw new Error(`status ${statusCode} is not one of HTTP`);
      }
      if (request.isFresh) {
        response.body.once("close", () => void dispatcher.destroy());
      }
      return Ok({
        status: response.statusCode,
        headers: response.headers,
        body: response.body,
      });
    } catch (cause) {
      inactivityTimer.stop();
      if (request.isFresh) void dispatcher.destroy();
      return Err(toSendFailure(cause, request.signal));
    }
  }

  return { send, close: () => agent.destroy() };
}
