/** HTTP server and helpers that the stand-in upstreams share. */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import process from "node:process";
import type { LoadReport } from "../src/types.ts";

/** Answer headers by name. */
export type Headers = Record<string, string>;

/** Handles one request. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

const KEEP_ALIVE_MS = 60_000;

/** Reads the body of a request to its end. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** Returns the first value of a request header, or undefined. */
export function getHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Formats a load report as the value of the header `x-load`. */
export function formatLoad(report: LoadReport): string {
  const cold = Number(report.cold);
  const leaving = Number(report.leaving);
  const { inFlight, ageMs } = report;
  return `in-flight=${inFlight};cold=${cold};leaving=${leaving};age-ms=${ageMs}`;
}

/**
 * An HTTP server whose open connections can be silenced: a silent connection
 * stays open, but its requests are ignored and no answer is written to it.
 */
export class UpstreamServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silentSockets = new WeakSet<Socket>();
  /** Connections that carried a control request; these are never silenced. */
  readonly #controlSockets = new WeakSet<Socket>();

  constructor(handler: Handler) {
    this.#server = createServer((request, response) => {
      if (this.#silentSockets.has(request.socket)) return;
      if (request.url?.startsWith("/control")) {
        this.#controlSockets.add(request.socket);
      }
      this.#runHandler(handler, { request, response });
    });
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => socket.destroy());
    });
  }

  /** Listens on the loopback address and returns `ip:port`. */
  listen(port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        const address = this.#server.address() as AddressInfo;
        resolve(`${address.address}:${address.port}`);
      });
    });
  }

  /** Closes the server and every connection. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Silences every open connection until it closes. */
  silenceOpenConnections(): void {
    for (const socket of this.#sockets) {
      if (!this.#controlSockets.has(socket)) this.#silentSockets.add(socket);
    }
  }

  /** Writes the head of an answer, unless its connection is silent. */
  writeHead(
    response: ServerResponse,
    status: number,
    { headers }: { headers: Headers },
  ): void {
    if (this.#isSilent(response)) return;
    response.writeHead(status, headers);
  }

  /** Writes part of an answer, unless its connection is silent. */
  write(response: ServerResponse, text: string): void {
    if (this.#isSilent(response)) return;
    response.write(text);
  }

  /** Ends an answer, unless its connection is silent. */
  end(response: ServerResponse, text?: string): void {
    if (this.#isSilent(response)) return;
    response.end(text);
  }

  /** Sends a JSON answer, unless its connection is silent. */
  sendJson(
    response: ServerResponse,
    status: number,
    { headers = {}, body }: { headers?: Headers; body: unknown },
  ): void {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    const length = String(Buffer.byteLength(text));
    const allHeaders = {
      "content-type": "application/json",
      "content-length": length,
      ...headers,
    };
    this.writeHead(response, status, { headers: allHeaders });
    this.end(response, text);
  }

  #isSilent(response: ServerResponse): boolean {
    return response.socket === null || response.destroyed ||
      this.#silentSockets.has(response.socket);
  }

  async #runHandler(
    handler: Handler,
    exchange: { request: IncomingMessage; response: ServerResponse },
  ): Promise<void> {
    const { request, response } = exchange;
    try {
      await handler(request, response);
    } catch (error) {
      const isAborted = request.destroyed && !request.complete;
      if (!isAborted) process.stderr.write(`${String(error)}\n`);
      response.destroy();
    }
  }
}
