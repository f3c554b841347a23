/**
 * Finds the service of a request: by the model of a chat completion, otherwise
 * by the longest matching route.
 */
import type { Manifest, Route, Service } from "../config/manifest.ts";
import { createRefusal, type Refusal } from "../diagnostics.ts";
import { Err, Ok, type Result } from "ts-results";
import {
  createRefusedOutcome,
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
} from "./exchange.ts";

const CHAT_PATH = "/v1/chat/completions";
const CHAT_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x20-\x7e]{1,255}$/;
const ESTIMATED_BYTES_PER_TOKEN = 4;

interface RouteMatch {
  readonly service: Service;
  readonly route: Route;
}

/** Fields of a chat completion request that routing uses. */
interface ChatBody {
  readonly model: string;
  readonly stream: boolean;
}

function isUnderPrefix(path: string, prefix: string): boolean {
  if (path === prefix) return true;
  const base = prefix.endsWith("/") ? prefix : prefix + "/";
  return path.startsWith(base);
}

function isMatch(route: Route, method: string, path: string): boolean {
  const hasMethod = route.method === "*" || route.method === method;
  return hasMethod && isUnderPrefix(path, route.path);
}

/**
 * Finds the matching route with the longest path. Of two with the same path
 * length, an exact method takes precedence over `*`.
 */
export function findRoute(
  manifest: Manifest,
  request: { method: string; path: string },
): RouteMatch | undefined {
  let best: RouteMatch | undefined;
  for (const service of manifest.services) {
    for (const route of service.routes) {
      if (!isMatch(route, request.method, request.path)) continue;
      if (best === undefined || isMoreSpecific(route, best.route)) {
        best = { service, route };
      }
    }
  }
  return best;
}

function isMoreSpecific(route: Route, other: Route): boolean {
  if (route.path.length !== other.path.length) {
    return route.path.length > other.path.length;
  }
  return other.method === "*" && route.method !== "*";
}

function parseChatBody(exchange: Exchange): Result<ChatBody, Refusal> {
  let document: unknown;
  try {
    document = JSON.parse(exchange.body.toString("utf8"));
  } catch {
    return Err(
      createRefusal("bad-json", "A chat completion is JSON."),
    );
  }
  if (typeof document !== "object" || document === null) {
    return Err(createRefusal("bad-request", "The body is not an object."));
  }
  const { model, messages, stream = false } = document as Record<
    string,
    unknown
  >;
  if (typeof model !== "string") {
    return Err(createRefusal("bad-request", "`model` is not a string."));
  }
  if (!Array.isArray(messages) || messages.length === 0) {
    return Err(
      createRefusal("bad-request", "`messages` is not a list."),
    );
  }
  if (typeof stream !== "boolean") {
    return Err(createRefusal("bad-request", "`stream` is not a boolean."));
  }
  return Ok({ model, stream });
}

function parseChatId(exchange: Exchange): Result<string | undefined, Refusal> {
  const chat = exchange.headers["x-chat-id"];
  if (chat === undefined) return Ok(undefined);
  if (typeof chat === "string" && CHAT_ID_PATTERN.test(chat)) return Ok(chat);
  const detail = "x-chat-id takes 1 to 128 printable characters.";
  return Err(createRefusal("bad-chat-id", detail));
}

function parseIdempotencyKey(exchange: Exchange): Result<string, Refusal> {
  const key = exchange.headers["idempotency-key"];
  if (key === undefined) {
    const detail = "Send an Idempotency-Key with a call that may not repeat.";
    return Err(createRefusal("missing-idempotency-key", detail));
  }
  if (typeof key === "string" && IDEMPOTENCY_KEY_PATTERN.test(key)) {
    return Ok(key);
  }
  const detail = "Idempotency-Key takes 1 to 255 printable characters.";
  return Err(createRefusal("bad-idempotency-key", detail));
}

/**
 * Fills in the service and the fields that routing uses. Refuses a request that
 * is malformed or matches no service.
 */
export class ServiceFilter implements Filter {
  readonly name = "service";
  readonly #getManifest: () => Manifest | undefined;

  constructor(options: { getManifest(): Manifest | undefined }) {
    this.#getManifest = options.getManifest;
  }

  handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const manifest = this.#getManifest();
    if (manifest === undefined) {
      const refusal = createRefusal(
        "not-ready",
        "There is no manifest yet.",
      );
      return Promise.resolve(createRefusedOutcome(refusal));
    }
    const refusal = exchange.path === CHAT_PATH
      ? findModelService(exchange, manifest)
      : findRouteService(exchange, manifest);
    if (refusal !== undefined) {
      return Promise.resolve(createRefusedOutcome(refusal));
    }
    return next();
  }
}

function findModelService(
  exchange: Exchange,
  manifest: Manifest,
): Refusal | undefined {
  if (exchange.method !== "POST") {
    return createRefusal(
      "unknown-route",
      "Chat completions take POST.",
    );
  }
  const body = parseChatBody(exchange);
  if (body.err) return body.val;
  const chat = parseChatId(exchange);
  if (chat.err) return chat.val;
  const { model } = body.val;
  const service = manifest.services.find((each) => each.model === model);
  if (service === undefined) {
    return createRefusal(
      "unknown-model",
      `No service serves ${model}.`,
    );
  }
  exchange.service = service;
  exchange.chat = chat.val;
  exchange.isStreaming = body.val.stream;
  exchange.isIdempotent = true;
  exchange.promptTokens = Math.ceil(
    exchange.body.length / ESTIMATED_BYTES_PER_TOKEN,
  );
  return undefined;
}

function findRouteService(
  exchange: Exchange,
  manifest: Manifest,
): Refusal | undefined {
  const match = findRoute(manifest, exchange);
  if (match === undefined) {
    const detail = `No route takes ${exchange.method} ${exchange.path}.`;
    return createRefusal("unknown-route", detail);
  }
  exchange.service = match.service;
  exchange.isIdempotent = match.route.idempotent;
  if (match.route.idempotent) return undefined;
  const key = parseIdempotencyKey(exchange);
  if (key.err) return key.val;
  exchange.idempotencyKey = key.val;
  return undefined;
}
