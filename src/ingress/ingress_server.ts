/**
 * Handles requests from callers: runs each through the filter chain, writes the
 * response, and records the outcome in log and metrics.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createRefusal } from "../diagnostics.ts";
import type { FilterChain } from "../filters/exchange.ts";
import type { Log } from "../log.ts";
import { decodeRequest } from "../platform/message_headers.ts";
import type { MemoryBudget } from "../policy/memory_budget.ts";
import type { RouteTable } from "../policy/route_table.ts";
import { mayHaveBody } from "../transport/body_framing.ts";
import { hasLaterRequest } from "../transport/connection_turns.ts";
import {
  createCountedHandler,
  type InFlightCounter,
} from "../transport/in_flight.ts";
import { writeBufferedResponse } from "../transport/http_server.ts";
import { renderProblem } from "../transport/problem.ts";
import { discardBody } from "../transport/request_body.ts";
import type { RequestTraits } from "../routing/types.ts";
import {
  decodeForwarded,
  REFUSAL_HEADER,
  sendProcessingUntilHeaders,
} from "../transport/router_hop.ts";
import type { IngressExchange, IngressOutcome } from "./ingress_exchange.ts";
import type { IngressMetrics } from "./ingress_metrics.ts";
import { refuseRetryable } from "./refusals.ts";
import { LIFE_SIGN_INTERVAL_MS } from "./router_forwarding.ts";
import { UnreadAnswer } from "./unread_answers.ts";

/** Options of the handler. */
export interface IngressHandlerOptions {
  readonly chain: FilterChain<IngressExchange, IngressOutcome>;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  readonly log: Log;
  readonly metrics: IngressMetrics;
  readonly inFlight: InFlightCounter;
  readonly memory: MemoryBudget;
  /** Returns the routes in force; undefined before the first configuration. */
  readonly getTable: () => RouteTable | undefined;
  /**
   * Waits for the first configuration on behalf of a request with `remainingMs`
   * milliseconds left; returns undefined if it does not arrive soon enough.
   */
  readonly awaitTable: (remainingMs: number) => Promise<RouteTable | undefined>;
  /** Whether a graceful stop of this router has started. */
  readonly isStopping: () => boolean;
  /** Whether the requests come from other routers; false by default. */
  readonly isForRouters?: boolean;
}

/**
 * Deadline of a request until the route filter sets one, in milliseconds from
 * its arrival. Before the first configuration, `deadlineMs` of the request
 * takes precedence.
 */
const DEFAULT_DEADLINE_MS = 1_000;
const MIN_SERVER_ERROR_STATUS = 500;
const MS_PER_SECOND = 1_000;
/** Prompt parts of a request that are logged, and length of their ids. */
const MAX_LOGGED_PARTS = 8;
const MAX_LOGGED_PART_LENGTH = 32;

/**
 * Parts of a request that are logged; there is no table before the first
 * configuration.
 */
type ReportedExchange =
  & Pick<IngressExchange, "traits" | "arrivedAt" | "trace">
  & Partial<
    Pick<IngressExchange, "route" | "table" | "forwarded" | "admission">
  >;

/** Returns the name of an outcome in logs and metrics. */
function getOutcomeLabel(outcome: IngressOutcome): string {
  if (outcome.kind === "refused") return outcome.refusal.code;
  if (outcome.kind === "streamed") return `stream-${outcome.end}`;
  return outcome.kind;
}

/** Removes query and fragment from a request target. */
function getPath(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

/** Returns the ids of the first prompt parts, shortened for the log. */
function listLoggedParts({ promptParts }: RequestTraits): string[] {
  return promptParts.slice(0, MAX_LOGGED_PARTS)
    .map(({ id }) => id.slice(0, MAX_LOGGED_PART_LENGTH));
}

/**
 * Creates the handler of requests from callers or, with `isForRouters`, of those
 * that other routers forward.
 */
export function createIngressHandler(options: IngressHandlerOptions) {
  const { clock, log, metrics, inFlight, isForRouters = false } = options;

  function refuseNotReady(
    arrivedAt: number,
    deadlineMs: number,
  ): IngressOutcome {
    return refuseRetryable({ arrivedAt, deadlineAt: arrivedAt + deadlineMs }, {
      code: "not-ready",
      detail: "This router has no configuration yet.",
      cause: "this-router",
      closes: true,
    });
  }

  async function run(exchange: IngressExchange): Promise<IngressOutcome> {
    try {
      return await options.chain.handle(exchange);
    } catch (cause) {
      log.error("A filter failed.", {
        requestId: exchange.traits.requestId,
        cause: cause instanceof Error ? cause.stack : String(cause),
      });
      const detail = "The router failed on this request.";
      const refusal = createRefusal("internal", detail, { ran: "unknown" });
      return { kind: "refused", refusal };
    }
  }

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = clock();
    response.on("error", () => response.destroy());
    const forwarded = isForRouters
      ? decodeForwarded(request.headers)
      : undefined;
    if (forwarded !== undefined) {
      sendProcessingUntilHeaders(response, LIFE_SIGN_INTERVAL_MS);
    }
    const traits = decodeRequest(request.headers);
    const { requestId, deadlineMs = DEFAULT_DEADLINE_MS } = traits;
    const table = options.getTable() ?? await options.awaitTable(deadlineMs);
    if (table === undefined) {
      const outcome = refuseNotReady(arrivedAt, deadlineMs);
      write({ request, response, requestId }, outcome);
      report({ traits, arrivedAt, trace: [] }, outcome);
      return;
    }
    const exchange: IngressExchange = {
      request,
      response,
      traits,
      forwarded,
      path: getPath(request.url ?? "/"),
      arrivedAt,
      table,
      deadlineAt: arrivedAt + DEFAULT_DEADLINE_MS,
      trace: [],
    };
    if (options.isStopping() && !hasLaterRequest(request)) {
      response.setHeader("connection", "close");
    }
    const outcome = await run(exchange);
    write({ request, response, requestId }, outcome);
    report(exchange, outcome);
  }

  function write(
    { request, response, requestId }: {
      request: IncomingMessage;
      response: ServerResponse;
      requestId: string;
    },
    outcome: IngressOutcome,
  ): void {
    if (response.destroyed) return;
    if (options.isStopping() && !response.headersSent) {
      // Those read after this request are answered first.
      if (hasLaterRequest(request)) response.removeHeader("connection");
      else response.setHeader("connection", "close");
    }
    if (outcome.kind === "whole") {
      const { status, headers, body } = outcome;
      const method = request.method ?? "GET";
      const length = String(body.length);
      writeBufferedResponse(response, {
        ...outcome,
        headers: mayHaveBody({ method, status })
          ? { ...headers, "content-length": length }
          : headers,
      });
      const isWritten = response.writableLength === 0;
      if (!isWritten) {
        new UnreadAnswer(response, options.memory).resize(body.length);
      }
    } else if (outcome.kind === "refused") {
      const { refusal, closes = false } = outcome;
      if (isForRouters) response.setHeader(REFUSAL_HEADER, refusal.code);
      // Closing with unread request bytes would reset the connection before
      // the caller has read the response.
      if (closes && request.complete) {
        response.setHeader("connection", "close");
      }
      discardBody(request);
      writeBufferedResponse(
        response,
        renderProblem(refusal, requestId, { allowsFractionalSeconds: true }),
      );
    }
  }

  function report(
    exchange: ReportedExchange,
    outcome: IngressOutcome,
  ): void {
    const { route, traits, trace, table, arrivedAt, forwarded, admission } =
      exchange;
    const ms = Math.round(clock() - arrivedAt);
    const label = getOutcomeLabel(outcome);
    const kind = route?.kind ?? "none";
    metrics.requests.inc({ route: kind, outcome: label });
    metrics.seconds.observe({ route: kind }, ms / MS_PER_SECOND);
    const isSuccess =
      (outcome.kind === "whole" && outcome.status < MIN_SERVER_ERROR_STATUS) ||
      (outcome.kind === "streamed" && outcome.end === "complete");
    const firstMs = outcome.kind === "streamed" ? outcome.timing.firstMs : ms;
    const isLate = isSuccess &&
      (firstMs ?? 0) > (route?.objectiveMs ?? Infinity);
    const line = {
      requestId: traits.requestId,
      route: route?.name ?? "none",
      ...(traits.resumedId !== undefined && { resumedId: traits.resumedId }),
      ...(forwarded !== undefined && { isForwarded: true }),
      version: table?.configuration.version,
      outcome: label,
      ...(outcome.kind === "whole" && { status: outcome.status }),
      ...(outcome.kind === "streamed" && outcome.timing),
      ...(outcome.kind === "refused" && {
        ran: outcome.refusal.ran,
        detail: outcome.refusal.detail,
        retryAfterMs: outcome.refusal.retryAfterMs,
      }),
      ...(isLate && { objectiveMs: route?.objectiveMs }),
      ...(admission !== undefined && { admission }),
      ms,
      tries: trace,
    };
    if (isLate) log.info("Answered late.", line);
    else if (isSuccess) log.info("Answered.", line);
    else log.warn("Not answered.", { ...line, parts: listLoggedParts(traits) });
  }

  return createCountedHandler(serve, { inFlight, log });
}
