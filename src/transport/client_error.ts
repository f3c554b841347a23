/**
 * Responds to requests that Node's HTTP server rejects: the head or body did
 * not arrive in time, or is not valid HTTP.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { STATUS_CODES } from "node:http";
import { randomUUID } from "node:crypto";
import type { Duplex } from "node:stream";
import { createRefusal, type Refusal } from "../diagnostics.ts";
import { renderProblem } from "./problem.ts";

/** A request whose response has not ended. */
interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

function toRefusal({ code }: Error & { code?: string }): Refusal {
  if (code === TIMEOUT_CODE) {
    return createRefusal("request-timeout", "The request did not come whole.");
  }
  const detail = `The request can't be read as HTTP (${code ?? "unknown"}).`;
  return createRefusal("bad-request", detail);
}

function renderResponse(refusal: Refusal): string {
  const { status, headers, body } = renderProblem(refusal, randomUUID());
  const headerLines = Object.entries({ ...headers, connection: "close" })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n`;
  return `${statusLine}${headerLines.join("")}\r\n${body.toString()}`;
}

/**
 * Whether the client would read a response written now as the response to the
 * failed request, not to an earlier request on the same connection.
 */
function isNextResponse(openRequests: ReadonlySet<OpenRequest>): boolean {
  if (openRequests.size > 1) return false;
  return [...openRequests].every(({ request, response }) =>
    !request.complete && !response.headersSent
  );
}

/**
 * Makes `server` respond to invalid or incomplete requests with problem+json
 * and close their connections.
 */
export function handleClientErrors(server: Server): void {
  const requestsBySocket = new WeakMap<Duplex, Set<OpenRequest>>();
  server.prependListener("request", (request, response) => {
    const openRequests = requestsBySocket.get(request.socket) ?? new Set();
    const openRequest = { request, response };
    requestsBySocket.set(request.socket, openRequests.add(openRequest));
    response.once("close", () => openRequests.delete(openRequest));
  });
  server.on("clientError", (error, socket) => {
    const openRequests = requestsBySocket.get(socket) ?? new Set();
    if (socket.writable && isNextResponse(openRequests)) {
      socket.write(renderResponse(toRefusal(error)));
    }
    socket.destroy();
  });
}
