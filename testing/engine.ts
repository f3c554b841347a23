/**
 * HTTP interface of the stand-in for a model engine.
 *
 * The engine makes no decisions for the routers: it runs what it is sent and
 * crashes when a load limit is exceeded.
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import { type ChatBody, getExpectedAnswer } from "./answer.ts";
import { AnswerWriter } from "./engine_answer_writer.ts";
import { Attempt } from "./engine_attempt.ts";
import { Attempts } from "./engine_attempts.ts";
import { Batch } from "./engine_batch.ts";
import { CacheEvents } from "./engine_cache_events.ts";
import { type Order, Orders } from "./engine_orders.ts";
import { PrefixCache } from "./engine_prefix_cache.ts";
import { UpstreamEndpoint } from "./upstream_endpoint.ts";
import { getHeader, type Headers, readBody } from "./upstream_http.ts";
import type { UpstreamStateOptions } from "./upstream_state.ts";

/** Options of an engine. */
export interface EngineOptions extends UpstreamStateOptions {
  /** Duration of a step with one attempt, in milliseconds. */
  tokenMs?: number;
  /** Maximum number of concurrent attempts; 0 uses the hard limit. */
  batchSize?: number;
  /** Maximum number of prompt tokens computed per step. */
  prefillPerStep?: number;
  /** Size of the prefix cache, in tokens. */
  cacheTokens?: number;
  /** Seed that selects the cache events that are lost. */
  seed?: number;
  /** Whether orders with an older fencing number are rejected. */
  checksFencing?: boolean;
}

const DEFAULT_CACHE_TOKENS = 200_000;
const ATTEMPT_PATH = /^\/v1\/attempts\/([^/]+)(\/stream)?$/;

/** A stand-in engine. */
export class Engine {
  readonly #endpoint: UpstreamEndpoint;
  readonly #attempts = new Attempts();
  readonly #cacheEvents: CacheEvents;
  readonly #cache: PrefixCache;
  readonly #batch: Batch;
  readonly #orders: Orders;
  #cachedTokens = 0;
  #promptTokens = 0;

  constructor(options: EngineOptions) {
    const { cacheTokens = DEFAULT_CACHE_TOKENS, hardLimit = 16 } = options;
    const { checksFencing = false, seed } = options;
    const clock = options.clock ?? (() => performance.now());
    this.#endpoint = new UpstreamEndpoint({
      handler: (request, response) => this.#route(request, response),
      onCrash: () => this.#dropAll(),
      state: options,
      setSlowFactor: (factor) => this.#batch.slowFactor = factor,
    });
    this.#cacheEvents = new CacheEvents({ seed, clock });
    this.#cache = new PrefixCache(cacheTokens, this.#cacheEvents);
    this.#batch = new Batch({
      cache: this.#cache,
      onDone: (attempt) => this.#finish(attempt),
      tokenMs: options.tokenMs,
      batchSize: options.batchSize || hardLimit,
      prefillPerStep: options.prefillPerStep,
    });
    this.#orders = new Orders(checksFencing);
  }

  /** Listens on the loopback address and returns `ip:port`. */
  listen(port: number): Promise<string> {
    return this.#endpoint.server.listen(port);
  }

  /** Aborts all attempts and closes the server. */
  close(): void {
    this.#batch.abortAll();
    this.#endpoint.server.close();
  }

  #route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> | void {
    const url = new URL(request.url ?? "/", "http://engine");
    if (url.pathname.startsWith("/control")) {
      return this.#handleControl(request, response);
    }
    if (this.#endpoint.state.isDown) {
      return this.#endpoint.refuse(response, "down");
    }
    const route = `${request.method} ${url.pathname}`;
    if (route === "POST /v1/chat/completions") {
      return this.#handleCompletion(request, response);
    }
    if (route === "GET /v1/load") {
      return this.#endpoint.send(response, 200, {
        ...this.#endpoint.state.getReport(),
      });
    }
    if (route === "GET /v1/cache-events") {
      const page = this.#cacheEvents.getPage(
        Number(url.searchParams.get("after")),
      );
      const { incarnation } = this.#endpoint.state;
      return this.#endpoint.send(response, 200, { incarnation, ...page });
    }
    if (route === "GET /v1/orders") {
      return this.#endpoint.send(response, 200, { orders: this.#orders.done });
    }
    if (route === "POST /v1/orders") {
      return this.#handleOrder(request, response);
    }
    this.#routeAttempt(request, { response, url });
  }

  #routeAttempt(
    request: IncomingMessage,
    { response, url }: { response: ServerResponse; url: URL },
  ): void {
    const [, id = "", stream] = ATTEMPT_PATH.exec(url.pathname) ?? [];
    const attempt = this.#attempts.get(decodeURIComponent(id));
    if (attempt === undefined) {
      return this.#endpoint.send(response, 404, { error: "not-found" });
    }
    if (request.method === "GET" && stream) {
      const offset = Number(url.searchParams.get("offset"));
      return this.#writeAnswer(attempt, { response, stream: true, offset });
    }
    if (request.method === "DELETE" && !stream) {
      return this.#cancel(attempt, response);
    }
    this.#endpoint.send(response, 405, { error: "method-not-allowed" });
  }

  async #handleCompletion(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = (await readBody(request)).toString();
    if (this.#endpoint.faults.tryTake("before")) return void response.destroy();
    const id = getHeader(request, "x-attempt-id") ?? randomUUID();
    const body = parseChatBody(text);
    if (body === undefined) {
      return this.#endpoint.send(response, 400, { error: "bad-request" });
    }
    if (this.#attempts.checkDuplicate(id)) {
      return this.#endpoint.send(response, 409, { error: "duplicate-attempt" });
    }
    const admission = this.#endpoint.state.tryStart();
    if (admission !== "started") {
      return this.#endpoint.refuse(response, admission);
    }
    const attempt = new Attempt({
      id,
      incarnation: this.#endpoint.state.incarnation,
      answer: getExpectedAnswer(body),
      chat: getHeader(request, "x-chat-id"),
      priority: Number(getHeader(request, "x-priority") ?? 0),
    });
    this.#attempts.add(attempt);
    this.#batch.add(attempt);
    this.#writeAnswer(attempt, { response, stream: body.stream === true });
  }

  #writeAnswer(
    attempt: Attempt,
    { response, stream, offset }: {
      response: ServerResponse;
      stream: boolean;
      offset?: number;
    },
  ): void {
    new AnswerWriter({
      server: this.#endpoint.server,
      response,
      attempt,
      stream,
      offset,
      failsAmid: offset === undefined && this.#endpoint.faults.tryTake("amid"),
      getHeaders: () => this.#getAnswerHeaders(attempt),
    }).start();
  }

  #cancel(attempt: Attempt, response: ServerResponse): void {
    if (!attempt.isEnded) {
      this.#batch.cancel(attempt);
      this.#endpoint.state.finish(attempt.incarnation);
      this.#attempts.scheduleRemoval(attempt);
    }
    this.#endpoint.send(response, 200, { state: attempt.state });
  }

  #finish(attempt: Attempt): void {
    this.#cachedTokens += attempt.cachedTokens;
    this.#promptTokens += attempt.answer.usage.prompt_tokens;
    this.#endpoint.state.finish(attempt.incarnation);
    this.#attempts.scheduleRemoval(attempt);
  }

  #dropAll(): void {
    this.#batch.abortAll();
    this.#attempts.clear();
    this.#cache.clear();
    this.#cacheEvents.clear();
  }

  async #handleOrder(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = JSON.parse((await readBody(request)).toString()) as Order;
    const done = this.#orders.tryExecute(order);
    if (done) this.#endpoint.send(response, 200, { id: order.id });
    else this.#endpoint.send(response, 409, { error: "old-fence" });
  }

  async #handleControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = (await readBody(request)).toString();
    if (request.method !== "POST") {
      return this.#endpoint.send(response, 200, this.#getRecord());
    }
    this.#endpoint.control(response, text);
  }

  #getAnswerHeaders(attempt: Attempt): Headers {
    return {
      ...this.#endpoint.getHeaders(),
      "x-attempt-id": attempt.id,
      "x-cached-tokens": String(attempt.cachedTokens),
      "x-prompt-tokens": String(attempt.answer.usage.prompt_tokens),
    };
  }

  #getRecord() {
    return {
      ...this.#endpoint.state.getRecord(),
      attempts: this.#attempts.count,
      duplicateAttempts: this.#attempts.duplicates,
      cachedTokens: this.#cachedTokens,
      promptTokens: this.#promptTokens,
    };
  }
}

function parseChatBody(text: string): ChatBody | undefined {
  try {
    const body = JSON.parse(text) as Partial<ChatBody>;
    const isChat = typeof body.model === "string" &&
      Array.isArray(body.messages);
    return isChat ? body as ChatBody : undefined;
  } catch {
    return undefined;
  }
}
