/**
 * Stand-in for a plain service, such as bookings: takes any method, path and
 * body, and counts how often each idempotency key ran.
 */
import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { applyControl, type Control, Faults } from "./upstream_control.ts";
import {
  formatLoad,
  getHeader,
  type Headers,
  readBody,
  UpstreamServer,
} from "./upstream_http.ts";
import {
  type Admission,
  UpstreamState,
  type UpstreamStateOptions,
} from "./upstream_state.ts";

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
  readonly #server: UpstreamServer;
  readonly #state: UpstreamState;
  readonly #faults = new Faults();
  readonly #runs = new Map<string, number>();
  readonly #attempts = new Set<string>();
  readonly #open = new Set<ServerResponse>();
  readonly #serviceMs: number;
  #slowFactor = 1;
  #duplicateAttempts = 0;

  constructor(options: PlainServiceOptions) {
    this.#serviceMs = options.serviceMs ?? 5;
    this.#server = new UpstreamServer((request, response) =>
      this.#route(request, response)
    );
    this.#state = new UpstreamState({
      ...options,
      onFall: () => this.#dropAll(),
    });
  }

  /** Listens on loopback; returns `ip:port`. */
  listen(port: number): Promise<string> {
    return this.#server.listen(port);
  }

  /** Drops everything and closes. */
  close(): void {
    this.#server.close();
  }

  async #route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const exchange = { request, response, body };
    const path = request.url ?? "/";
    if (path.startsWith("/control")) return this.#control(exchange);
    if (this.#state.isDown) return this.#refuse(exchange, "down");
    if (path === "/v1/load") {
      return this.#send(response, 200, { ...this.#state.getReport() });
    }
    this.#run(exchange);
  }

  #run(exchange: Exchange): void {
    const { request, response, body } = exchange;
    if (this.#faults.tryTake("before")) return void response.destroy();
    if (this.#isDuplicate(request)) {
      return this.#send(response, 409, { error: "duplicate-attempt" });
    }
    const admission = this.#state.tryStart();
    if (admission !== "started") return this.#refuse(exchange, admission);
    const { incarnation } = this.#state;
    const answer: PlainAnswer = {
      ...this.#countRun(request),
      path: request.url ?? "/",
      bodyDigest: getBodyDigest(body),
    };
    this.#open.add(response);
    setTimeout(() => {
      this.#open.delete(response);
      this.#state.finish(incarnation);
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
    const fails = this.#faults.tryTake("after") ||
      this.#faults.tryTake("amid");
    if (fails) return void response.destroy();
    const headers = this.#getHeaders();
    const id = getHeader(request, "x-attempt-id");
    if (id !== undefined) headers["x-attempt-id"] = id;
    this.#server.sendJson(response, 200, { headers, body });
  }

  #dropAll(): void {
    for (const response of this.#open) response.destroy();
    this.#open.clear();
  }

  #control({ request, response, body }: Exchange): void {
    if (request.url === "/control/runs") {
      return this.#send(response, 200, Object.fromEntries(this.#runs));
    }
    if (request.method !== "POST") {
      return this.#send(response, 200, this.#getRecord());
    }
    // The answer goes first, since the order may silence its connection.
    this.#send(response, 200, {});
    applyControl(JSON.parse(body.toString()) as Control, {
      state: this.#state,
      server: this.#server,
      faults: this.#faults,
      setSlowFactor: (factor) => this.#slowFactor = factor,
    });
  }

  #getRecord() {
    return {
      ...this.#state.getRecord(),
      attempts: this.#attempts.size,
      duplicateAttempts: this.#duplicateAttempts,
    };
  }

  #refuse({ response }: Exchange, admission: Admission): void {
    if (admission === "fell") return void response.destroy();
    const headers = this.#getHeaders();
    if (admission === "leaving") headers["x-not-run"] = "1";
    const body = { error: admission };
    this.#server.sendJson(response, 503, { headers, body });
  }

  #send(response: ServerResponse, status: number, body: unknown): void {
    const headers = this.#getHeaders();
    this.#server.sendJson(response, status, { headers, body });
  }

  #getHeaders(): Headers {
    return {
      "x-incarnation": this.#state.incarnation,
      "x-load": formatLoad(this.#state.getReport()),
    };
  }
}
