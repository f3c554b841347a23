/**
 * Stand-in for a plain service, such as bookings: takes any method, path and
 * body, and counts how often each idempotency key ran.
 */
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { UpstreamEndpoint } from "./upstream_endpoint.ts";
import { getHeader, readBody } from "./upstream_http.ts";
import type { UpstreamStateOptions } from "./upstream_state.ts";

/** Options of a plain service. */
export interface PlainServiceOptions extends UpstreamStateOptions {
  /** Time that a request takes, in milliseconds. */
  serviceMs?: number;
}

/** Answer of a plain service. */
export interface PlainAnswer {
  /** Idempotency key of the request, empty without one. */
  readonly key: string;
  /** How often the key has run here, this time included. */
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

/** Digest of a request body, as the answer carries it. */
export function getBodyDigest(body: string | Buffer): string {
  return createHash("sha256").update(body).digest("hex");
}

/** One stand-in plain service. */
export class PlainService {
  readonly #endpoint: UpstreamEndpoint;
  readonly #runs = new Map<string, number>();
  readonly #attempts = new Set<string>();
  readonly #open = new Set<ServerResponse>();
  readonly #serviceMs: number;
  #slowFactor = 1;
  #duplicateAttempts = 0;

  constructor(options: PlainServiceOptions) {
    this.#serviceMs = options.serviceMs ?? 5;
    this.#endpoint = new UpstreamEndpoint({
      handler: (request, response) => this.#route(request, response),
      onFall: () => this.#dropAll(),
      state: options,
      setSlowFactor: (factor) => this.#slowFactor = factor,
    });
  }

  /** Listens on loopback; returns `ip:port`. */
  listen(port: number): Promise<string> {
    return this.#endpoint.server.listen(port);
  }

  /** Drops everything and closes. */
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
    if (path.startsWith("/control")) return this.#control(exchange);
    if (this.#endpoint.state.isDown) {
      return this.#endpoint.refuse(response, "down");
    }
    if (path === "/v1/load") {
      return this.#endpoint.send(response, 200, {
        ...this.#endpoint.state.getReport(),
      });
    }
    this.#run(exchange);
  }

  #run(exchange: Exchange): void {
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
      ...this.#countRun(request),
      path: request.url ?? "/",
      bodyDigest: getBodyDigest(body),
    };
    this.#open.add(response);
    setTimeout(() => {
      this.#open.delete(response);
      this.#endpoint.state.finish(incarnation);
      this.#answer(exchange, answer);
    }, this.#serviceMs * this.#slowFactor);
  }

  #isDuplicate(request: IncomingMessage): boolean {
    const id = getHeader(request, "x-attempt-id");
    if (id === undefined) return false;
    const isDuplicate = this.#attempts.has(id);
    if (isDuplicate) this.#duplicateAttempts++;
    this.#attempts.add(id);
    return isDuplicate;
  }

  #countRun(request: IncomingMessage): { key: string; runs: number } {
    const key = getHeader(request, "idempotency-key") ?? "";
    const runs = (this.#runs.get(key) ?? 0) + 1;
    this.#runs.set(key, runs);
    return { key, runs };
  }

  #answer({ request, response }: Exchange, body: PlainAnswer): void {
    const fails = this.#endpoint.faults.tryTake("after") ||
      this.#endpoint.faults.tryTake("amid");
    if (fails) return void response.destroy();
    const headers = this.#endpoint.getHeaders();
    const id = getHeader(request, "x-attempt-id");
    if (id !== undefined) headers["x-attempt-id"] = id;
    this.#endpoint.server.sendJson(response, 200, { headers, body });
  }

  #dropAll(): void {
    for (const response of this.#open) response.destroy();
    this.#open.clear();
  }

  #control({ request, response, body }: Exchange): void {
    if (request.url === "/control/runs") {
      return this.#endpoint.send(response, 200, Object.fromEntries(this.#runs));
    }
    if (request.method !== "POST") {
      return this.#endpoint.send(response, 200, this.#getRecord());
    }
    this.#endpoint.control(response, body.toString());
  }

  #getRecord() {
    return {
      ...this.#endpoint.state.getRecord(),
      attempts: this.#attempts.size,
      duplicateAttempts: this.#duplicateAttempts,
    };
  }
}
