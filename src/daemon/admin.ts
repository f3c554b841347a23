/**
 * Paths of the caller port for the load balancer and operators: health,
 * readiness, metrics, status and placement explanations.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Explanation, RouterStatus } from "../types_status.ts";
import type { Log } from "../log.ts";
import type { Metrics } from "./metrics.ts";
import { type Page, sendPage } from "./page.ts";

/** Handles an HTTP request. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Identifies the chat of a request to `/admin/explain`. */
export interface ChatQuery {
  readonly service: string;
  readonly workspace: string;
  readonly chat: string;
}

/** Options of `createAdminHandler`. */
export interface AdminOptions {
  /** Handles every other path. */
  readonly next: Handler;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Updates the gauges; called before the metrics are rendered. */
  refreshMetrics(): void;
  isReady(): boolean;
  getStatus(): Promise<RouterStatus>;
  /** Returns undefined if the service or workspace is unknown. */
  explain(chat: ChatQuery): Explanation | undefined;
}

const PLACEHOLDER_BASE_URL = "http://router";

function writeJson(
  response: ServerResponse,
  document: unknown,
  status = 200,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(document));
}

/** Creates a handler for the admin paths; passes all others to `next`. */
export function createAdminHandler(options: AdminOptions): Handler {
  const { next, metrics, log, isReady } = options;

  async function renderMetrics(): Promise<Page> {
    options.refreshMetrics();
    const { registry } = metrics;
    return {
      contentType: registry.contentType,
      body: await registry.metrics(),
    };
  }

  async function renderStatus(): Promise<Page> {
    const body = JSON.stringify(await options.getStatus());
    return { contentType: "application/json", body };
  }

  function writeReadiness(response: ServerResponse): void {
    const isRouterReady = isReady();
    response.writeHead(isRouterReady ? 200 : 503).end(
      isRouterReady ? "ready\n" : "not ready\n",
    );
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
        void sendPage(response, { render: renderMetrics, log });
        break;
      case "/admin/status":
        void sendPage(response, { render: renderStatus, log });
        break;
      case "/admin/explain":
        writeExplanation(new URL(target, PLACEHOLDER_BASE_URL), response);
        break;
      default:
        next(request, response);
    }
  };
}
