/**
 * Serves requests of callers: creates an exchange for each request, runs the
 * filter chain on it and writes the outcome.
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../control/views.ts";
import type { Log } from "../log.ts";
import type { Metrics } from "../daemon/metrics.ts";
import { createRefusal } from "../diagnostics.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type FilterChain,
  type Outcome,
} from "../filters/exchange.ts";
import { createCountedHandler, type InFlightCounter } from "./in_flight.ts";
import { type ServerLimits, writeOutcome } from "./http_server.ts";
import { readBody } from "./request_body.ts";

/** Options for `createCallerHandler`. */
export interface CallerHandlerOptions {
  readonly chain: FilterChain;
  readonly limits: ServerLimits;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Counts requests in flight, for a graceful shutdown. */
  readonly inFlight: InFlightCounter;
}

/**
 * Creates the exchange of an HTTP request. The deadline is the time of arrival
 * until it is set.
 */
export function createExchange(
  request: IncomingMessage,
  options: {
    requestId: string;
    signal: AbortSignal;
    clock: Clock;
    limits: ServerLimits;
  },
): Exchange {
  const target = request.url ?? "/";
  const queryIndex = target.indexOf("?");
  const arrivedAt = options.clock();
  return {
    requestId: options.requestId,
    method: request.method ?? "GET",
    target,
    path: queryIndex < 0 ? target : target.slice(0, queryIndex),
    headers: request.headers,
    signal: options.signal,
    arrivedAt,
    readBody: async () => {
      const { maxBodyBytes } = options.limits;
      return (await readBody(request, { maxBodyBytes })).map(({ bytes }) =>
        bytes
      );
    },
    body: Buffer.alloc(0),
    isIdempotent: false,
    isStreaming: false,
    isCallChecked: false,
    deadlineAt: arrivedAt,
    promptTokens: 0,
    hops: 0,
    hasRetried: false,
  };
}

/**
 * Returns a controller that aborts when the connection of the caller closes
 * before `response` is finished.
 */
export function createDisconnectController(
  response: ServerResponse,
): AbortController {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  response.on("error", () => controller.abort());
  return controller;
}

/**
 * Changes `ran` of a refusal to "unknown" if a non-idempotent request has an
 * idempotency key whose record was not read: an earlier request with the same
 * key may have run, and only the record can show that it did not.
 */
function markRanUnknownIfUnchecked(
  exchange: Exchange,
  outcome: Outcome,
): Outcome {
  if (outcome.kind !== "refused" || exchange.isCallChecked) return outcome;
  const hasIdempotencyKey = exchange.headers["idempotency-key"] !== undefined;
  if (!hasIdempotencyKey || exchange.isIdempotent) return outcome;
  return createRefusedOutcome({ ...outcome.refusal, ran: "unknown" });
}

/** Creates the handler for requests of callers. */
export function createCallerHandler(options: CallerHandlerOptions) {
  const { clock, metrics, limits, inFlight, log } = options;

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = randomUUID();
    const { signal } = createDisconnectController(response);
    const exchange = createExchange(request, {
      requestId,
      signal,
      clock,
      limits,
    });
    const outcome = await runChain(exchange);
    const service = exchange.service?.name ?? "none";
    metrics.requests.inc({ service, outcome: outcome.kind });
    if (outcome.kind === "refused") {
      const { code, ran, detail } = outcome.refusal;
      metrics.refusals.inc({ code, ran });
      log.info("Refused a request.", { requestId, service, code, ran, detail });
      // The unread rest of the body would be parsed as the next request.
      if (!request.complete) response.setHeader("connection", "close");
    } else {
      const seconds = (clock() - exchange.arrivedAt) / 1_000;
      metrics.firstByteSeconds.observe({ service }, seconds);
    }
    await writeOutcome(response, outcome, requestId);
  }

  async function runChain(exchange: Exchange): Promise<Outcome> {
    try {
      const outcome = await options.chain.handle(exchange);
      return markRanUnknownIfUnchecked(exchange, outcome);
    } catch (cause) {
      log.error("A filter failed.", {
        requestId: exchange.requestId,
        cause: String(cause),
      });
      const detail = "The router failed on this request.";
      return createRefusedOutcome(
        createRefusal("internal", detail, { ran: "unknown" }),
      );
    }
  }

  return createCountedHandler(serve, { inFlight, log });
}
