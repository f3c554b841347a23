/**
 * Sends HTTP requests to upstreams and to other routers, and tells a request
 * that was never sent from one whose fate is unclear.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { Agent, type Dispatcher } from "undici";

/** Whether the request may have reached the other end. */
export type SendFailureKind =
  /** No connection came about, so that nothing was written. */
  | "not-sent"
  /** Something may have been written. */
  | "unclear"
  /** The caller of this module gave up. */
  | "cancelled";

/** A request that got no answer. */
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
  /** Silence until the head of the answer, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Silence between two parts of the body, in milliseconds. */
  readonly betweenBytesTimeoutMs: number;
  readonly signal: AbortSignal;
  /**
   * Silence until the head of the answer after which the connection counts as
   * lost, in milliseconds; an informational answer (1xx) ends the silence.
   */
  readonly silenceMs?: number;
  /** Opens a connection of its own, so that no stale one can be picked. */
  readonly isFresh?: boolean;
}

/** The head of an answer and its body. */
export interface IncomingAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Dispatcher.ResponseData["body"];
}

/** Sends requests over pooled connections. */
export interface HttpClient {
  send(request: OutgoingRequest): Promise<Result<IncomingAnswer, SendFailure>>;
  close(): Promise<void>;
}

/** Options of a client. */
export interface HttpClientOptions {
  connectTimeoutMs?: number;
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

/** Ends a request whose other end has shown no sign of life for too long. */
interface SilenceTimer {
  readonly signal: AbortSignal;
  restart(): void;
  stop(): void;
}

function createSilenceTimer(
  { signal, silenceMs }: OutgoingRequest,
): SilenceTimer {
  if (silenceMs === undefined) {
    return { signal, restart() {}, stop() {} };
  }
  const controller = new AbortController();
  const timer = setTimeout(() => controller.abort(), silenceMs);
  return {
    signal: AbortSignal.any([signal, controller.signal]),
    restart: () => void timer.refresh(),
    stop: () => clearTimeout(timer),
  };
}

/** Creates a client. */
export function createHttpClient(
  {
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
    keepAliveMs = KEEP_ALIVE_MS,
  }: HttpClientOptions = {},
): HttpClient {
  const agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
    pipelining: 1,
  });

  function createFreshAgent(): Agent {
    return new Agent({ connect: { timeout: connectTimeoutMs }, pipelining: 0 });
  }

  async function send(
    request: OutgoingRequest,
  ): Promise<Result<IncomingAnswer, SendFailure>> {
    if (request.signal.aborted) {
      return Err(new SendFailure("cancelled", "given up before it was sent"));
    }
    const dispatcher = request.isFresh ? createFreshAgent() : agent;
    const silence = createSilenceTimer(request);
    try {
      const answer = await dispatcher.request({
        origin: `http://${request.address}`,
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body ?? null,
        headersTimeout: request.firstByteTimeoutMs,
        bodyTimeout: request.betweenBytesTimeoutMs,
        signal: silence.signal,
        onInfo: silence.restart,
      });
      silence.stop();
      if (request.isFresh) {
        answer.body.once("close", () => void dispatcher.destroy());
      }
      return Ok({
        status: answer.statusCode,
        headers: answer.headers,
        body: answer.body,
      });
    } catch (cause) {
      silence.stop();
      if (request.isFresh) void dispatcher.destroy();
      return Err(toSendFailure(cause, request.signal));
    }
  }

  return { send, close: () => agent.destroy() };
}
