/**
 * Paths of the caller port that are for the balancer and for operators.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Explanation, RouterStatus } from "../types_status.ts";
import type { Metrics } from "./metrics.ts";

/** Handles an HTTP request. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Names a chat. */
export interface ChatQuestion {
  readonly service: string;
  readonly workspace: string;
  readonly chat: string;
}

/** Options of the handler. */
export interface AdminOptions {
  /** Handles every other path. */
  readonly next: Handler;
  readonly metrics: Metrics;
  /** Called before the metrics are read. */
  refreshMetrics(): void;
  isReady(): boolean;
  getStatus(): Promise<RouterStatus>;
  /** Undefined for an unknown service or workspace. */
  explain(chat: ChatQuestion): Explanation | undefined;
}

const BASE = "http://router";

function writeJson(
  response: ServerResponse,
  document: unknown,
  status = 200,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(document));
}

/** Creates the handler. */
export function createAdminHandler(options: AdminOptions): Handler {
  const { next, metrics, isReady } = options;

  async function writeMetrics(response: ServerResponse): Promise<void> {
    options.refreshMetrics();
    const body = await metrics.registry.metrics();
    response.writeHead(200, { "content-type": metrics.registry.contentType });
    response.end(body);
  }

  function writeReadiness(response: ServerResponse): void {
    const isUp = isReady();
    response.writeHead(isUp ? 200 : 503).end(isUp ? "ready\n" : "not ready\n");
  }

  function writeExplanation(url: URL, response: ServerResponse): void {
    const service = url.searchParams.get("service") ?? "";
    const workspace = url.searchParams.get("workspace") ?? "";
    const chat = url.searchParams.get("chat") ?? "";
    const explanation = options.explain({ service, workspace, chat });
    if (explanation !== undefined) {
      writeJson(response, explanation);
      return;
    }
    const title = `There is no service ${service} or workspace ${workspace}.`;
    writeJson(response, { title, status: 404 }, 404);
  }

  return function handle(request, response) {
    const target = request.url ?? "/";
    const [path] = target.split("?", 1);
    switch (path) {
      case "/healthz":
        response.writeHead(200).end("ok\n");
        break;
      case "/readyz":
        writeReadiness(response);
        break;
      case "/metrics":
        void writeMetrics(response);
        break;
      case "/admin/status":
        void options.getStatus().then((status) => writeJson(response, status));
        break;
      case "/admin/explain":
        writeExplanation(new URL(target, BASE), response);
        break;
      default:
        next(request, response);
    }
  };
}
