/**
 * Headers of requests that an ingress router forwards to the owner of a pool,
 * and of the responses.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Exchange } from "../filters/exchange.ts";
import { HOP_BY_HOP_HEADERS } from "./hop_by_hop.ts";
import { PRIVATE_HEADER_PREFIX } from "./router_hop.ts";

/** Header with the token that authenticates a router of the fleet. */
export const FORWARD_TOKEN_HEADER = "x-cf-token";

const EXCLUDED_HEADERS = new Set([...HOP_BY_HOP_HEADERS, "host"]);

/** Properties of a forwarded request that the ingress router determined. */
export interface ForwardContext {
  readonly requestId: string;
  readonly service: string;
  readonly workspace: string;
  readonly isIdempotent: boolean;
  readonly isStreaming: boolean;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  readonly hops: number;
  readonly hasRetried: boolean;
}

/**
 * Copies the request headers to send to the next hop: all except hop-by-hop,
 * `host`, `authorization` and `x-cf-` headers.
 */
export function copyEndToEndHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const copy: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || EXCLUDED_HEADERS.has(name)) continue;
    if (name.startsWith(PRIVATE_HEADER_PREFIX) || name === "authorization") {
      continue;
    }
    copy[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return copy;
}

/**
 * Renders the headers of a forwarded request. `token` is the fleet's forward
 * token, `now` the monotonic time in milliseconds.
 */
export function renderForwardHeaders(
  exchange: Exchange,
  options: { token: string; now: number },
): Record<string, string> {
  return {
    ...copyEndToEndHeaders(exchange.headers),
    [FORWARD_TOKEN_HEADER]: options.token,
    "x-cf-request-id": exchange.requestId,
    "x-cf-service": exchange.service!.name,
    "x-cf-workspace": exchange.workspace!.name,
    "x-cf-idempotent": exchange.isIdempotent ? "1" : "0",
    "x-cf-streaming": exchange.isStreaming ? "1" : "0",
    "x-cf-remaining-ms": String(Math.round(exchange.deadlineAt - options.now)),
    "x-cf-hops": String(exchange.hops + 1),
    "x-cf-retried": exchange.hasRetried ? "1" : "0",
  };
}

function getTextHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === "string" ? value : "";
}

/** Returns the idempotency key of a forwarded request, if it has one. */
export function parseIdempotencyKey(
  headers: IncomingHttpHeaders,
): string | undefined {
  const key = getTextHeader(headers, "idempotency-key");
  return key === "" ? undefined : key;
}

/** Parses the headers of a forwarded request; undefined if malformed. */
export function parseForwardHeaders(
  headers: IncomingHttpHeaders,
): ForwardContext | undefined {
  const remainingMs = Number(getTextHeader(headers, "x-cf-remaining-ms"));
  const hops = Number(getTextHeader(headers, "x-cf-hops"));
  const requestId = getTextHeader(headers, "x-cf-request-id");
  if (!Number.isFinite(remainingMs) || !Number.isInteger(hops)) {
    return undefined;
  }
  if (requestId === "" || hops < 1) return undefined;
  return {
    requestId,
    service: getTextHeader(headers, "x-cf-service"),
    workspace: getTextHeader(headers, "x-cf-workspace"),
    isIdempotent: headers["x-cf-idempotent"] === "1",
    isStreaming: headers["x-cf-streaming"] === "1",
    remainingMs,
    hops,
    hasRetried: headers["x-cf-retried"] === "1",
  };
}

/**
 * Copies the response headers to return to the caller: all except `x-load`,
 * `host` and hop-by-hop headers, but with `content-length`.
 */
export function copyResponseHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const copy: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name === "x-load") continue;
    if (EXCLUDED_HEADERS.has(name) && name !== "content-length") continue;
    copy[name] = value;
  }
  return copy;
}
