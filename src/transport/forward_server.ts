/**
 * Serves requests that other routers forward to this one.
 */
import { timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../control/views.ts";
import type { Service, Workspace } from "../config/manifest.ts";
import type { Log } from "../log.ts";
import { createRefusal } from "../diagnostics.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type FilterChain,
  type Outcome,
} from "../filters/exchange.ts";
import {
  CALL_CHECKED_HEADER,
  FORWARD_KEEP_ALIVE_MS,
} from "../filters/locate_filter.ts";
import { isTokenStream } from "../filters/stream_response.ts";
import { createDisconnectController, createExchange } from "./caller_server.ts";
import { createCountedHandler, type InFlightCounter } from "./in_flight.ts";
import {
  FORWARD_TOKEN_HEADER,
  parseForwardHeaders,
  parseIdempotencyKey,
} from "./forward_headers.ts";
import { type ServerLimits, writeOutcome } from "./http_server.ts";
import { withKeepAlive } from "./keep_alive.ts";
import { renderProblem } from "./problem.ts";
import { REFUSAL_HEADER, sendProcessingUntilHeaders } from "./router_hop.ts";

/** Options for `createForwardHandler`. */
export interface ForwardHandlerOptions {
  readonly chain: FilterChain;
  readonly limits: ServerLimits;
  readonly clock: Clock;
  readonly log: Log;
  readonly token: string;
  readonly inFlight: InFlightCounter;
  findService(name: string): Service | undefined;
  findWorkspace(name: string): Workspace | undefined;
}

const CHAT_ID_HEADER = "x-chat-id";
const ESTIMATED_BYTES_PER_TOKEN = 4;
const FORBIDDEN_STATUS = 403;

function isSameToken(expected: string, actual: unknown): boolean {
  if (typeof actual !== "string" || actual.length !== expected.length) {
    return false;
  }
  return timingSafeEqual(Buffer.from(expected), Buffer.from(actual));
}

/** Creates the handler for requests that other routers forward. */
export function createForwardHandler(options: ForwardHandlerOptions) {
  const { clock, limits, log, inFlight } = options;

  /**
   * Creates the exchange from the request and the forward headers of the
   * ingress router; returns a refusal if the request can't be accepted.
   */
  async function readExchange(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Exchange | Outcome> {
    const context = parseForwardHeaders(request.headers);
    if (context === undefined) {
      return createRefusedOutcome(
        createRefusal("bad-request", "No forward headers."),
      );
    }
    const { signal } = createDisconnectController(response);
    const { requestId } = context;
    const exchange = createExchange(request, {
      requestId,
      signal,
      clock,
      limits,
    });
    exchange.service = options.findService(context.service);
    exchange.workspace = options.findWorkspace(context.workspace);
    if (exchange.service === undefined || exchange.workspace === undefined) {
      const detail = "This router does not know the service or workspace yet.";
      return createRefusedOutcome(createRefusal("not-ready", detail));
    }
    exchange.isIdempotent = context.isIdempotent;
    exchange.idempotencyKey = parseIdempotencyKey(request.headers);
    exchange.isStreaming = context.isStreaming;
    exchange.hops = context.hops;
    exchange.hasRetried = context.hasRetried;
    exchange.deadlineAt = exchange.arrivedAt + context.remainingMs;
    if (exchange.service.kind === "engine") {
      exchange.chat = request.headers[CHAT_ID_HEADER] as string | undefined;
    }
    if (!exchange.isIdempotent && exchange.idempotencyKey === undefined) {
      return createRefusedOutcome(
        createRefusal("missing-idempotency-key", "No key."),
      );
    }
    const body = await exchange.readBody();
    if (body.err) return createRefusedOutcome(body.val);
    exchange.body = body.val;
    exchange.promptTokens = Math.ceil(
      body.val.length / ESTIMATED_BYTES_PER_TOKEN,
    );
    return exchange;
  }

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (!isSameToken(options.token, request.headers[FORWARD_TOKEN_HEADER])) {
      log.warn("A forwarded request has no valid token.");
      writeInvalidTokenRefusal(response);
      return;
    }
    sendProcessingUntilHeaders(response, FORWARD_KEEP_ALIVE_MS);
    const exchange = await readExchange(request, response);
    if ("kind" in exchange) {
      const requestId = "unknown";
      await writeResponse(response, exchange, {
        requestId,
        isCallChecked: false,
      });
      return;
    }
    const outcome = await options.chain.handle(exchange);
    await writeResponse(response, outcome, exchange);
  }

  async function writeResponse(
    response: ServerResponse,
    outcome: Outcome,
    { requestId, isCallChecked, service }:
      & Pick<Exchange, "requestId" | "isCallChecked">
      & { service?: Service },
  ): Promise<void> {
    if (outcome.kind === "refused") {
      response.setHeader(REFUSAL_HEADER, outcome.refusal.code);
      if (isCallChecked) response.setHeader(CALL_CHECKED_HEADER, "1");
    }
    const needsKeepAlive = outcome.kind === "stream" && service !== undefined &&
      isTokenStream(service, outcome.headers);
    if (!needsKeepAlive) {
      await writeOutcome(response, outcome, requestId);
      return;
    }
    const body = withKeepAlive(outcome.body, FORWARD_KEEP_ALIVE_MS);
    await writeOutcome(response, { ...outcome, body }, requestId);
  }

  return createCountedHandler(serve, { inFlight, log });
}

/**
 * Refuses a request without the fleet's token. The refusal says that the
 * request did not run, so that an ingress router with a different fleet key
 * tries the next replica.
 */
function writeInvalidTokenRefusal(response: ServerResponse): void {
  const detail = "The request carries no token of this fleet.";
  const refusal = createRefusal("no-owner", detail);
  const { headers, body } = renderProblem(refusal, "unknown");
  headers[REFUSAL_HEADER] = refusal.code;
  headers["connection"] = "close";
  response.writeHead(FORBIDDEN_STATUS, headers).end(body);
}
