/**
 * A small router for comparison: implements the fleet's protocol for callers
 * with one baseline policy. It has no limits, queues or checks of its own.
 */
import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { pipeline } from "node:stream/promises";
import { Agent, type Dispatcher, request as fetchOnce } from "undici";
import type { Manifest, Service } from "../src/config/manifest.ts";
import { createRefusal, type Refusal } from "../src/diagnostics.ts";
import {
  copyEndToEndHeaders,
  copyResponseHeaders,
} from "../src/transport/forward_headers.ts";
import { parseLoadBody } from "../src/transport/load_header.ts";
import { renderProblem } from "../src/transport/problem.ts";
import type { BaselinePolicy } from "./baselines_policy.ts";
import { BaselineUpstream } from "./baselines_upstream.ts";

/** Options of a baseline router. */
export interface BaselineRouterOptions {
  readonly manifest: Manifest;
  readonly policy: BaselinePolicy;
  /** Interval for polling every engine's load, in ms; 0 disables polling. */
  readonly pollMs?: number;
}

/** Body of `POST /control`. */
export interface BaselineControl {
  readonly failureDomainsOut: readonly string[];
}

interface Call {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Uint8Array;
  readonly since: number;
  readonly tried: string[];
}

const NOT_RUN_STATUS = 503;
const MAX_WAIT_MS = 20_000;
const RETRY_INTERVAL_MS = 5;
const REQUEST_TIMEOUT_MS = 60_000;

/** HTTP router that places requests by one baseline policy. */
export class BaselineRouter {
  readonly #options: BaselineRouterOptions;
  readonly #engines: BaselineUpstream[];
  readonly #plainUpstreams: BaselineUpstream[];
  readonly #agent = new Agent({ pipelining: 1 });
  readonly #server: Server;
  #nextPlainIndex = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: BaselineRouterOptions) {
    this.#options = options;
    const { services } = options.manifest;
    this.#engines = this.#createUpstreams(services, "engine");
    this.#plainUpstreams = this.#createUpstreams(services, "plain");
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  /** Listens on the loopback interface; returns `ip:port`. */
  listen(port: number): Promise<string> {
    const { pollMs = 0 } = this.#options;
    if (pollMs > 0) {
      this.#timer = setInterval(() => void this.#pollAll(), pollMs);
    }
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        const address = this.#server.address() as AddressInfo;
        resolve(`${address.address}:${address.port}`);
      });
    });
  }

  /** Stops polling and listening, and closes every connection. */
  close(): void {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
    void this.#agent.destroy();
  }

  #createUpstreams(
    services: readonly Service[],
    wantedKind: Service["kind"],
  ): BaselineUpstream[] {
    const clock = () => performance.now();
    return services.filter(({ kind }) => kind === wantedKind)
      .flatMap(({ upstreams }) =>
        upstreams.map((upstream) =>
          new BaselineUpstream(upstream, {
            clock,
            onRestart: () => this.#options.policy.recordRestart(upstream.name),
          })
        )
      );
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === "/readyz") {
      response.end("ready\n");
      return;
    }
    const body = await readAll(request);
    if (request.url === "/control") {
      this.#applyControl(JSON.parse(body.toString()) as BaselineControl);
      response.end("{}");
      return;
    }
    const call = {
      requestId: randomUUID(),
      request,
      response,
      body,
      since: performance.now(),
      tried: [],
    };
    if (request.url === "/v1/chat/completions") await this.#serveChat(call);
    else await this.#servePlain(call);
  }

  #applyControl({ failureDomainsOut }: BaselineControl): void {
    for (const each of [...this.#engines, ...this.#plainUpstreams]) {
      each.isOut = failureDomainsOut.includes(each.upstream.failureDomain);
    }
  }

  async #serveChat(call: Call): Promise<void> {
    const chat = String(call.request.headers["x-chat-id"] ?? call.requestId);
    while (!call.response.destroyed) {
      const waitedMs = performance.now() - call.since;
      const choice = waitedMs > MAX_WAIT_MS
        ? undefined
        : this.#options.policy.choose(
          { chat, tried: call.tried, waitedMs },
          this.#engines,
        );
      if (choice === undefined) return refuse(call, createNoCapacityRefusal());
      if (choice === "wait") {
        await sleep(RETRY_INTERVAL_MS);
        continue;
      }
      const upstream = this.#engines.find(({ name }) => name === choice.name)!;
      if (await this.#attempt(call, upstream)) {
        this.#options.policy.recordServed(chat, upstream.name);
        return;
      }
      call.tried.push(upstream.name);
    }
  }

  async #servePlain(call: Call): Promise<void> {
    const usable = this.#plainUpstreams.filter(({ isUsable }) => isUsable);
    const upstream = usable[this.#nextPlainIndex++ % usable.length];
    if (upstream === undefined) return refuse(call, createNoCapacityRefusal());
    if (await this.#attempt(call, upstream)) return;
    const detail = "The upstream may have run the request.";
    refuse(call, createRefusal("outcome-unknown", detail, { ran: "unknown" }));
  }

  /** Sends the call; returns false if the upstream did not accept it. */
  async #attempt(call: Call, upstream: BaselineUpstream): Promise<boolean> {
    upstream.inFlight++;
    try {
      const answer = await this.#send(call, upstream);
      if (answer === undefined) return false;
      upstream.recordIncarnation(
        getHeaderText(answer.headers["x-incarnation"]),
      );
      if (answer.statusCode === NOT_RUN_STATUS) {
        await answer.body.dump();
        upstream.recordFailure();
        return false;
      }
      const headers = copyResponseHeaders(answer.headers);
      headers["x-upstream"] = upstream.name;
      headers["x-request-id"] = call.requestId;
      call.response.writeHead(answer.statusCode, headers);
      await pipeline(answer.body, call.response);
      return true;
    } finally {
      upstream.inFlight--;
    }
  }

  async #send(
    { request, requestId, body }: Call,
    upstream: BaselineUpstream,
  ): Promise<Dispatcher.ResponseData | undefined> {
    try {
      return await this.#agent.request({
        origin: `http://${upstream.upstream.address}`,
        method: request.method as Dispatcher.HttpMethod,
        path: request.url!,
        headers: {
          ...copyEndToEndHeaders(request.headers),
          "x-request-id": requestId,
          "x-attempt-id": randomUUID(),
        },
        body,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
    } catch {
      upstream.recordFailure();
      return undefined;
    }
  }

  async #pollAll(): Promise<void> {
    await Promise.all(this.#engines.map(pollUpstream));
  }
}

async function pollUpstream(upstream: BaselineUpstream): Promise<void> {
  try {
    const { address } = upstream.upstream;
    const answer = await fetchOnce(`http://${address}/v1/load`, {
      signal: AbortSignal.timeout(1_000),
    });
    const report = parseLoadBody(await answer.body.json());
    if (report !== undefined) upstream.recordLoad(report);
  } catch {
    upstream.recordFailure();
  }
}

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

function createNoCapacityRefusal(): Refusal {
  const detail = "No upstream took the request.";
  return createRefusal("no-capacity", detail, { retryAfterMs: 1_000 });
}

function refuse({ requestId, response }: Call, refusal: Refusal): void {
  if (response.headersSent) return void response.destroy();
  const { status, headers, body } = renderProblem(refusal, requestId);
  response.writeHead(status, headers);
  response.end(body);
}

function getHeaderText(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
