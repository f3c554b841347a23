/**
 * What a request between routers has in common wherever routers forward
 * requests: private headers, signs of life until the response begins, and
 * refusals that the forwarding router acts on.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import {
  type DiagnosticCode,
  getDiagnosticCodes,
  type Refusal,
} from "../diagnostics.ts";
import { type Problem, REQUEST_ID_HEADER } from "./problem.ts";

/** Prefix of the headers that only routers read; callers can't set them. */
export const PRIVATE_HEADER_PREFIX = "x-cf-";
/** Header that marks a response as a refusal by a router; holds its code. */
export const REFUSAL_HEADER = "x-cf-refusal";
/** Number of routers that have forwarded the request. */
const HOPS_HEADER = "x-cf-hops";
/** "1" if the request counts in the retry budget of the forwarding router. */
const COUNTED_HEADER = "x-cf-counted";
/** Upstreams to which the request may be sent. */
const TRIES_LEFT_HEADER = "x-cf-tries-left";
/** On a response: upstreams to which the request was sent so far. */
const TRIES_HEADER = "x-cf-tries";
/** On a response: id of the upstream that it is from. */
const UPSTREAM_HEADER = "x-cf-upstream";
/** On a stream: service and software version of the upstream that began it. */
const SERVICE_HEADER = "x-cf-service";
const SOFTWARE_VERSION_HEADER = "x-cf-software-version";

/** What the forwarding router says of a request. */
export interface ForwardedTraits {
  /** Upstreams to which the request may be sent; at least 1. */
  readonly triesLeft: number;
  /** Whether the forwarding router counts it in its retry budget. */
  readonly isCounted: boolean;
}

/** What the router that serves a forwarded request says of its response. */
export interface ServedTraits {
  /** Upstreams to which the request was sent; undefined if it is not stated. */
  readonly tries: number | undefined;
  /** Id of the upstream that sent the response; undefined for a refusal. */
  readonly upstream: string | undefined;
  /** Undefined if the response is no stream that is bound to a version. */
  readonly origin: { service: string; softwareVersion: string } | undefined;
}

/** Encodes the private headers of a forwarded request, names and values. */
export function encodeForwarded(
  { triesLeft, isCounted }: ForwardedTraits,
): string[] {
  return [
    HOPS_HEADER,
    "1",
    TRIES_LEFT_HEADER,
    String(triesLeft),
    COUNTED_HEADER,
    isCounted ? "1" : "0",
  ];
}

/** Decodes the private headers; undefined if no router has forwarded it. */
export function decodeForwarded(
  headers: IncomingHttpHeaders,
): ForwardedTraits | undefined {
  const triesLeft = Number(headers[TRIES_LEFT_HEADER]);
  if (headers[HOPS_HEADER] === undefined || !(triesLeft >= 1)) return undefined;
  return { triesLeft, isCounted: headers[COUNTED_HEADER] === "1" };
}

/** Sets the private headers of a response that has not begun yet. */
export function setServedHeaders(
  response: ServerResponse,
  { tries, upstream, origin }: Partial<ServedTraits>,
): void {
  if (response.headersSent) return;
  if (tries !== undefined) response.setHeader(TRIES_HEADER, String(tries));
  if (upstream !== undefined) response.setHeader(UPSTREAM_HEADER, upstream);
  if (origin === undefined) return;
  response.setHeader(SERVICE_HEADER, origin.service);
  response.setHeader(SOFTWARE_VERSION_HEADER, origin.softwareVersion);
}

/** Decodes the private headers of a response. */
export function decodeServed(headers: IncomingHttpHeaders): ServedTraits {
  const tries = Number(headers[TRIES_HEADER] ?? NaN);
  const upstream = headers[UPSTREAM_HEADER];
  const service = headers[SERVICE_HEADER];
  const softwareVersion = headers[SOFTWARE_VERSION_HEADER];
  const hasOrigin = typeof service === "string" &&
    typeof softwareVersion === "string";
  return {
    tries: Number.isInteger(tries) && tries >= 0 ? tries : undefined,
    upstream: typeof upstream === "string" ? upstream : undefined,
    origin: hasOrigin ? { service, softwareVersion } : undefined,
  };
}

/**
 * Returns the id of the request that another router refuses in a response;
 * undefined if it states none or is no refusal of a router.
 */
export function decodeRefusedId(
  headers: IncomingHttpHeaders,
): string | undefined {
  if (headers[REFUSAL_HEADER] === undefined) return undefined;
  const id = headers[REQUEST_ID_HEADER];
  return typeof id === "string" ? id : undefined;
}

function isDiagnosticCode(code: unknown): code is DiagnosticCode {
  return getDiagnosticCodes().includes(code as DiagnosticCode);
}

/**
 * Reads the refusal of another router from the headers and the text of its
 * response; undefined if it is none, or is malformed.
 */
export function tryReadRefusal(
  headers: IncomingHttpHeaders,
  text: string,
): Refusal | undefined {
  const code = headers[REFUSAL_HEADER];
  if (!isDiagnosticCode(code)) return undefined;
  try {
    const { detail, retryAfterMs, ran: stated } = JSON.parse(text) as Problem;
    const ran = stated === "no" ? "no" : "unknown";
    if (retryAfterMs === undefined) return { code, ran, detail };
    return { code, ran, detail, retryAfterMs };
  } catch {
    // The caller reports the response as broken.
    return undefined;
  }
}

/**
 * Sends 102 (Processing) periodically until the response headers are sent, so
 * that the forwarding router does not treat the connection as lost.
 */
export function sendProcessingUntilHeaders(
  response: ServerResponse,
  intervalMs: number,
): void {
  const timer = setInterval(() => {
    if (response.headersSent) clearInterval(timer);
    else response.writeProcessing();
  }, intervalMs);
  response.once("close", () => clearInterval(timer));
}
