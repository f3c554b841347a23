/**
 * Answers requests that never became whole: a head or a body that did not come
 * in time, or that is no HTTP.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { STATUS_CODES } from "node:http";
import { randomUUID } from "node:crypto";
import type { Duplex } from "node:stream";
import { createRefusal, type Refusal } from "../diagnostics.ts";
import { renderProblem } from "./problem.ts";

/** A request whose answer has not ended. */
interface OpenExchange {
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

function renderMessage(refusal: Refusal): string {
  const { status, headers, body } = renderProblem(refusal, randomUUID());
  const fields = Object.entries({ ...headers, connection: "close" })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  const line = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n`;
  return `${line}${fields.join("")}\r\n${body.toString()}`;
}

/**
 * Whether a message written now is taken for the answer to the request that
 * failed, and not for one to an earlier request on the same connection.
 */
function isNextAnswer(open: ReadonlySet<OpenExchange>): boolean {
  if (open.size > 1) return false;
  return [...open].every(({ request, response }) =>
    !request.complete && !response.headersSent
  );
}

/** Makes `server` answer such requests with a problem. */
export function answerClientErrors(server: Server): void {
  const exchanges = new WeakMap<Duplex, Set<OpenExchange>>();
  server.prependListener("request", (request, response) => {
    const open = exchanges.get(request.socket) ?? new Set();
    const exchange = { request, response };
    exchanges.set(request.socket, open.add(exchange));
    response.once("close", () => open.delete(exchange));
  });
  server.on("clientError", (error, socket) => {
    const open = exchanges.get(socket) ?? new Set();
    if (socket.writable && isNextAnswer(open)) {
      socket.write(renderMessage(toRefusal(error)));
    }
    socket.destroy();
  });
}
