/**
 * Headers that carry an exchange from the ingress to the pool's owner.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Exchange } from "../filters/exchange.ts";
import { HOP_BY_HOP_HEADERS } from "./hop_by_hop.ts";

/** Header that proves a forwarded request comes from a router of the fleet. */
export const FORWARD_TOKEN_HEADER = "x-cf-token";

const NOT_COPIED = new Set([...HOP_BY_HOP_HEADERS, "host"]);
const PRIVATE_PREFIX = "x-cf-";

/** What the owner needs to know beside the request itself. */
export interface ForwardContext {
  readonly requestId: string;
  readonly service: string;
  readonly workspace: string;
  readonly isIdempotent: boolean;
  readonly isStreaming: boolean;
  /** Milliseconds that are left until the deadline. */
  readonly remainingMs: number;
  readonly hops: number;
  readonly hasRetried: boolean;
}

/** Copies the headers that go on to the next hop. */
export function copyEndToEndHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const copy: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_COPIED.has(name)) continue;
    if (name.startsWith(PRIVATE_PREFIX) || name === "authorization") continue;
    copy[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return copy;
}

/** Renders the headers of a forwarded request. */
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

function text(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === "string" ? value : "";
}

/** Reads the idempotency key of a forwarded request. */
export function parseIdempotencyKey(
  headers: IncomingHttpHeaders,
): string | undefined {
  const key = text(headers, "idempotency-key");
  return key === "" ? undefined : key;
}

/** Reads the headers of a forwarded request; undefined where malformed. */
export function parseForwardHeaders(
  headers: IncomingHttpHeaders,
): ForwardContext | undefined {
  const remainingMs = Number(text(headers, "x-cf-remaining-ms"));
  const hops = Number(text(headers, "x-cf-hops"));
  const requestId = text(headers, "x-cf-request-id");
  if (!Number.isFinite(remainingMs) || !Number.isInteger(hops)) {
    return undefined;
  }
  if (requestId === "" || hops < 1) return undefined;
  return {
    requestId,
    service: text(headers, "x-cf-service"),
    workspace: text(headers, "x-cf-workspace"),
    isIdempotent: headers["x-cf-idempotent"] === "1",
    isStreaming: headers["x-cf-streaming"] === "1",
    remainingMs,
    hops,
    hasRetried: headers["x-cf-retried"] === "1",
  };
}

/** Copies the headers of an answer that go back to the caller. */
export function copyAnswerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const copy: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || name === "x-load") continue;
    if (NOT_COPIED.has(name) && name !== "content-length") continue;
    copy[name] = value;
  }
  return copy;
}
