/**
 * Stand-in for a service with plain requests, such as bookings. It accepts any
 * method, path and body, and counts the runs of each idempotency key.
 */
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { UpstreamEndpoint } from "./upstream_endpoint.ts";
import { getHeader, readBody } from "./upstream_http.ts";
import type { UpstreamStateOptions } from "./upstream_state.ts";

/** Options of a plain service. */
export interface PlainServiceOptions extends UpstreamStateOptions {
  /** Duration of a request, in milliseconds. */
  serviceMs?: number;
}

/** JSON answer of a plain service. */
export interface PlainAnswer {
  /** Idempotency key of the request; empty if it has none. */
  readonly key: string;
  /** Number of runs of the key in this process, including this one. */
  readonly runs: number;
  readonly path: string;
  /** SHA-256 of the request body, in hexadecimal. */
  readonly bodyDigest: string;
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
}

/** Computes the digest of a request body as given in the answer. */
export function getBodyDigest(body: string | Buffer): string {
  return createHash("sha256").update(body).digest("hex");
}

/** A stand-in plain service. */
export class PlainService {
  readonly #endpoint: UpstreamEndpoint;
  readonly #runsByKey = new Map<string, number>();
  readonly #attemptIds = new Set<string>();
  readonly #openResponses = new Set<ServerResponse>();
  readonly #serviceMs: number;
  #slowFactor = 1;
  #duplicateAttempts = 0;

  constructor(options: PlainServiceOptions) {
    this.#serviceMs = options.serviceMs ?? 5;
    this.#endpoint = new UpstreamEndpoint({
      handler: (request, response) => this.#route(request, response),
      onCrash: () => this.#destroyOpenResponses(),
      state: options,
      setSlowFactor: (factor) => this.#slowFactor = factor,
    });
  }

  /** Listens on the loopback address and returns `ip:port`. */
  listen(port: number): Promise<string> {
    return this.#endpoint.server.listen(port);
  }

  /** Closes the server and every connection. */
  close(): void {
    this.#endpoint.server.close();
  }

  async #route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const exchange = { request, response, body };
    const path = request.url ?? "/";
    if (path.startsWith("/control")) return this.#handleControl(exchange);
    if (this.#endpoint.state.isDown) {
      return this.#endpoint.refuse(response, "down");
    }
    if (path === "/v1/load") {
      return this.#endpoint.send(response, 200, {
        ...this.#endpoint.state.getReport(),
      });
    }
    this.#handleRequest(exchange);
  }

  #handleRequest(exchange: Exchange): void {
    const { request, response, body } = exchange;
    if (this.#endpoint.faults.tryTake("before")) return void response.destroy();
    if (this.#isDuplicate(request)) {
      return this.#endpoint.send(response, 409, { error: "duplicate-attempt" });
    }
    const admission = this.#endpoint.state.tryStart();
    if (admission !== "started") {
      return this.#endpoint.refuse(response, admission);
    }
    const { incarnation } = this.#endpoint.state;
    const answer: PlainAnswer = {
      ...this.#recordRun(request),
      path: request.url ?? "/",
      bodyDigest: getBodyDigest(body),
    };
    this.#openResponses.add(response);
    setTimeout(() => {
      this.#openResponses.delete(response);
      this.#endpoint.state.finish(incarnation);
      this.#sendAnswer(exchange, answer);
    }, this.#serviceMs * this.#slowFactor);
  }

  #isDuplicate(request: IncomingMessage): boolean {
    const id = getHeader(request, "x-attempt-id");
    if (id === undefined) return false;
    const isDuplicate = this.#attemptIds.has(id);
    if (isDuplicate) this.#duplicateAttempts++;
    this.#attemptIds.add(id);
    return isDuplicate;
  }

  #recordRun(request: IncomingMessage): { key: string; runs: number } {
    const key = getHeader(request, "idempotency-key") ?? "";
    const runs = (this.#runsByKey.get(key) ?? 0) + 1;
    this.#runsByKey.set(key, runs);
    return { key, runs };
  }

  #sendAnswer({ request, response }: Exchange, body: PlainAnswer): void {
    const fails = this.#endpoint.faults.tryTake("after") ||
      this.#endpoint.faults.tryTake("amid");
    if (fails) return void response.destroy();
    const headers = this.#endpoint.getHeaders();
    const id = getHeader(request, "x-attempt-id");
    if (id !== undefined) headers["x-attempt-id"] = id;
    this.#endpoint.server.sendJson(response, 200, { headers, body });
  }

  #destroyOpenResponses(): void {
    for (const response of this.#openResponses) response.destroy();
    this.#openResponses.clear();
  }

  #handleControl({ request, response, body }: Exchange): void {
    if (request.url === "/control/runs") {
      return this.#endpoint.send(
        response,
        200,
        Object.fromEntries(this.#runsByKey),
      );
    }
    if (request.method !== "POST") {
      return this.#endpoint.send(response, 200, this.#getRecord());
    }
    this.#endpoint.control(response, body.toString());
  }

  #getRecord() {
    return {
      ...this.#endpoint.state.getRecord(),
      attempts: this.#attemptIds.size,
      duplicateAttempts: this.#duplicateAttempts,
    };
  }
}
