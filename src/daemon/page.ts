/**
 * Pages for operators. A page that can't be rendered costs just that page.
 */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import { inspect } from "node:util";
import type { Log } from "../log.ts";
import { handleClientErrors } from "../transport/client_error.ts";

/** A rendered page. */
export interface Page {
  readonly contentType: string;
  readonly body: string;
}

/** Connections of operators and of the balancer, far more than they need. */
const MAX_PAGE_CONNECTIONS = 64;
/** Time in which a whole request for a page has to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 3_000;
const STATUS_OK = 200;
const STATUS_FAILED = 500;

/** Sends the page that `render` returns; status 500 if it throws. */
export async function sendPage(
  response: ServerResponse,
  { render, log }: { render: () => Page | Promise<Page>; log: Log },
): Promise<void> {
  // An error of the response concerns its reader alone.
  response.on("error", () => response.destroy());
  try {
    const { contentType, body } = await render();
    response.writeHead(STATUS_OK, { "content-type": contentType });
    response.end(body);
  } catch (cause) {
    log.error("A page can't be rendered.", { cause: inspect(cause) });
    if (!response.headersSent) response.writeHead(STATUS_FAILED);
    response.end();
  }
}

/**
 * Creates a server of pages. A request for a page has no body: the connection of
 * one that has is closed after the response.
 */
export function createPageServer(serve: RequestListener): Server {
  const server = createServer({
    headersTimeout: REQUEST_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
  }, (request, response) => {
    if (hasBody(request)) closeAfter(request, response);
    serve(request, response);
  });
  server.maxConnections = MAX_PAGE_CONNECTIONS;
  handleClientErrors(server);
  return server;
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}

function closeAfter(request: IncomingMessage, response: ServerResponse): void {
  response.setHeader("connection", "close");
  response.once("finish", () => request.socket.destroy());
}
