/**
 * Paths of the caller port that are for the balancer and for operators.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Metrics } from "./metrics.ts";

/** Handles an HTTP request. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Options of the handler. */
export interface AdminOptions {
  /** Handles every other path. */
  readonly next: Handler;
  readonly metrics: Metrics;
  isReady(): boolean;
}

/** Creates the handler. */
export function createAdminHandler(options: AdminOptions): Handler {
  const { next, metrics, isReady } = options;

  async function writeMetrics(response: ServerResponse): Promise<void> {
    const body = await metrics.registry.metrics();
    response.writeHead(200, { "content-type": metrics.registry.contentType });
    response.end(body);
  }

  return function handle(request, response) {
    switch (request.url) {
      case "/healthz":
        response.writeHead(200).end("ok\n");
        break;
      case "/readyz":
        response.writeHead(isReady() ? 200 : 503)
          .end(isReady() ? "ready\n" : "not ready\n");
        break;
      case "/metrics":
        void writeMetrics(response);
        break;
      default:
        next(request, response);
    }
  };
}
