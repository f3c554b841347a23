/**
 * Serves callers: reads a request, runs it through the filters and writes what
 * came of it.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createRefusal } from "../diagnostics.ts";
import type { FilterChain } from "../filters/exchange.ts";
import type { Log } from "../log.ts";
import { decodeRequest } from "../platform/message_headers.ts";
import type { RouteTable } from "../policy/route_table.ts";
import { createCountedHandler, type InFlight } from "../transport/in_flight.ts";
import { writeWhole } from "../transport/http_server.ts";
import { renderProblem } from "../transport/problem.ts";
import { endWithConnection } from "../transport/unframed_answer.ts";
import type { IngressExchange, IngressOutcome } from "./ingress_exchange.ts";
import type { IngressMetrics } from "./ingress_metrics.ts";
import { refuseForNow } from "./refusals.ts";

/** Options of the handler. */
export interface IngressHandlerOptions {
  readonly chain: FilterChain<IngressExchange, IngressOutcome>;
  readonly clock: () => number;
  readonly log: Log;
  readonly metrics: IngressMetrics;
  readonly inFlight: InFlight;
  readonly getTable: () => RouteTable | undefined;
  /** Whether this router has begun to stop. */
  readonly isStopping: () => boolean;
}

/** Time that a caller is assumed to wait where it doesn't say, milliseconds. */
const DEFAULT_DEADLINE_MS = 1_000;
const FIRST_FAILURE_STATUS = 500;
const MS_PER_SECOND = 1_000;

/** What the log says of a request; without a table before the first one. */
type ReportedExchange =
  & Pick<IngressExchange, "traits" | "arrivedAt" | "trace">
  & Partial<Pick<IngressExchange, "route" | "table">>;

/** Names an outcome in logs and metrics. */
function getLabel(outcome: IngressOutcome): string {
  if (outcome.kind === "refused") return outcome.refusal.code;
  if (outcome.kind === "streamed") return `stream-${outcome.end}`;
  return outcome.kind;
}

function getPath(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

/** Creates the handler of callers' requests. */
export function createIngressHandler(options: IngressHandlerOptions) {
  const { clock, log, metrics, inFlight } = options;

  function refuseUnready(
    arrivedAt: number,
    deadlineMs: number,
  ): IngressOutcome {
    return refuseForNow({ arrivedAt, answerBy: arrivedAt + deadlineMs }, {
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
    const traits = decodeRequest(request.headers);
    const { requestId, deadlineMs = DEFAULT_DEADLINE_MS } = traits;
    const table = options.getTable();
    if (table === undefined) {
      const outcome = refuseUnready(arrivedAt, deadlineMs);
      write({ request, response, requestId }, outcome);
      report({ traits, arrivedAt, trace: [] }, outcome);
      return;
    }
    const exchange: IngressExchange = {
      request,
      response,
      traits,
      path: getPath(request.url ?? "/"),
      arrivedAt,
      table,
      answerBy: arrivedAt + DEFAULT_DEADLINE_MS,
      trace: [],
    };
    if (options.isStopping()) {
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
      response.setHeader("connection", "close");
    }
    if (outcome.kind === "whole" && !outcome.isFramed) {
      endWithConnection(response);
      response.writeHead(outcome.status, outcome.headers);
      response.end(outcome.body);
    } else if (outcome.kind === "whole") {
      const length = String(outcome.body.length);
      const headers = { ...outcome.headers, "content-length": length };
      writeWhole(response, { ...outcome, headers });
    } else if (outcome.kind === "refused") {
      const { refusal, closes = false } = outcome;
      // A close with unread bytes would reset the connection under the answer.
      if (closes && request.complete) {
        response.setHeader("connection", "close");
      }
      writeWhole(
        response,
        renderProblem(refusal, requestId, { hasFractions: true }),
      );
    }
  }

  function report(
    { route, traits, trace, table, arrivedAt }: ReportedExchange,
    outcome: IngressOutcome,
  ): void {
    const ms = Math.round(clock() - arrivedAt);
    const label = getLabel(outcome);
    const kind = route?.kind ?? "none";
    metrics.requests.inc({ route: kind, outcome: label });
    metrics.seconds.observe({ route: kind }, ms / MS_PER_SECOND);
    const isWell =
      (outcome.kind === "whole" && outcome.status < FIRST_FAILURE_STATUS) ||
      (outcome.kind === "streamed" && outcome.end === "complete");
    const firstMs = outcome.kind === "streamed" ? outcome.timing.firstMs : ms;
    const isLate = isWell && (firstMs ?? 0) > (route?.objectiveMs ?? Infinity);
    const line = {
      requestId: traits.requestId,
      route: route?.name ?? "none",
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
      ms,
      tries: trace,
    };
    if (isLate) log.info("Answered late.", line);
    else if (isWell) log.info("Answered.", line);
    else log.warn("Not answered.", line);
  }

  return createCountedHandler(serve, { inFlight, log });
}
