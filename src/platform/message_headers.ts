/**
 * Decodes and encodes the HTTP headers that the platform defines.
 */
import type { IncomingHttpHeaders } from "node:http";
import type {
  PromptPart,
  RequestTraits,
  ResponseTraits,
  StatedRate,
  TokenCounts,
  UpstreamLoad,
} from "../routing/types.ts";
import { isEventId } from "../policy/event_order.ts";
import { HOP_BY_HOP_HEADERS } from "../transport/hop_by_hop.ts";
import { PRIVATE_HEADER_PREFIX } from "../transport/router_hop.ts";
import { isNumberWithin, NUMBERS } from "./field_limits.ts";
import { HEADERS, SYSTEM_HEADERS } from "./names.ts";

const BEARER = /^Bearer +(\S+)$/i;
/** Largest value that the priority header may have. */
const MAX_PRIORITY = 9;

function getHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function tryParseNumber(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === "") return undefined;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}

/** Parses `id:tokens` pairs that are separated by commas. */
function parsePromptParts(text: string | undefined): PromptPart[] {
  if (text === undefined || text === "") return [];
  return text.split(",").map((each) => {
    const [id = "", tokens = "0"] = each.trim().split(":");
    const count = Number(tokens);
    return { id, tokens: isNumberWithin(count, NUMBERS.counter) ? count : 0 };
  });
}

function parseEventId(text: string | undefined): string | undefined {
  const id = text?.trim();
  return id !== undefined && isEventId(id) ? id : undefined;
}

function parseTokens(text: string | undefined): number | undefined {
  if (text === undefined || !DECIMAL.test(text.trim())) return undefined;
  const tokens = Number(text);
  return isNumberWithin(tokens, NUMBERS.tokens) ? tokens : undefined;
}

/** Parses `prompt,maximum`; undefined if one of both is malformed. */
function parseTokenCounts(text: string | undefined): TokenCounts | undefined {
  const [prompt, maxOutput, ...rest] = (text ?? "").split(",").map(parseTokens);
  if (prompt === undefined || maxOutput === undefined) return undefined;
  return rest.length === 0 ? { prompt, maxOutput } : undefined;
}

/**
 * Decodes the headers of a request; a malformed deadline, event id, length or
 * hint counts as absent.
 */
export function decodeRequest(headers: IncomingHttpHeaders): RequestTraits {
  const authorization = getHeader(headers, HEADERS.authorization) ?? "";
  const tokenCounts = parseTokenCounts(getHeader(headers, HEADERS.tokenCounts));
  const lengthHint = parseTokens(getHeader(headers, HEADERS.lengthHint));
  return {
    requestId: getHeader(headers, HEADERS.requestId) ?? "",
    deadlineMs: tryParseNumber(getHeader(headers, HEADERS.deadlineMs)),
    apiKey: BEARER.exec(authorization)?.[1],
    promptParts: parsePromptParts(getHeader(headers, HEADERS.promptParts)),
    ...(tokenCounts !== undefined && { tokenCounts }),
    ...(lengthHint !== undefined && { lengthHint }),
    lastEventId: parseEventId(getHeader(headers, HEADERS.lastEventId)),
    resumedId: getHeader(headers, HEADERS.resumedId)?.trim(),
  };
}

/** The pace of an upstream that is as fast as usual. */
const USUAL_PACE_FIGURE = 100;

/** Parses a pace; undefined if it is absent or malformed. */
function parsePace(text: string | undefined): number | undefined {
  if (text === undefined || !DECIMAL.test(text.trim())) return undefined;
  const figure = Number(text);
  const isPace = figure > 0 && isNumberWithin(figure, NUMBERS.paceFigure);
  return isPace ? figure / USUAL_PACE_FIGURE : undefined;
}

/**
 * Parses `running,waiting,slots[,pace]`; undefined if one of the first three is
 * malformed.
 */
function parseLoad(text: string | undefined): UpstreamLoad | undefined {
  const figures = (text ?? "").split(",");
  const [running = NaN, waiting = NaN, slots = NaN] = figures.map(Number);
  const isLoad = [running, waiting, slots].every((each) =>
    isNumberWithin(each, NUMBERS.requests)
  );
  if (!isLoad || slots === 0) return undefined;
  const pace = parsePace(figures[3]);
  return { running, waiting, slots, ...(pace !== undefined && { pace }) };
}

const STATUS_UNAVAILABLE = 503;
const LEAVING = "1";
const DECIMAL = /^\d+(\.\d+)?$/;
const MS_PER_SECOND = 1_000;

/** Parses seconds, with or without a fraction, into milliseconds. */
function parseSeconds(text: string | undefined): number | undefined {
  if (text === undefined || !DECIMAL.test(text)) return undefined;
  return Number(text) * MS_PER_SECOND;
}

/** Parses a number for each second; undefined if it is malformed. */
function parseRate(text: string | undefined): StatedRate | undefined {
  if (text === undefined) return "none";
  const rate = DECIMAL.test(text) ? Number(text) : undefined;
  return isNumberWithin(rate, NUMBERS.rate) ? rate : undefined;
}

/** Decodes the status and the headers of an upstream's response. */
export function decodeResponse(
  status: number,
  headers: IncomingHttpHeaders,
): ResponseTraits {
  return {
    requestId: getHeader(headers, HEADERS.requestId),
    isSigned: getHeader(headers, HEADERS.signature) !== undefined,
    isNotRun: getHeader(headers, HEADERS.notRun) !== undefined,
    load: parseLoad(getHeader(headers, HEADERS.load)),
    isLeaving: getHeader(headers, HEADERS.leaving)?.trim() === LEAVING,
    pauseMs: status === STATUS_UNAVAILABLE
      ? parseSeconds(getHeader(headers, HEADERS.retryAfter)?.trim())
      : undefined,
    rate: parseRate(getHeader(headers, HEADERS.rateLimit)?.trim()),
    rejectionLimit: parseRate(getHeader(headers, HEADERS.brittle)?.trim()),
  };
}

/**
 * Decodes the era of the metadata store from the headers of an answer; 0 if it
 * states none.
 */
export function decodeStoreEra(headers: IncomingHttpHeaders): number {
  const era = tryParseNumber(getHeader(headers, HEADERS.storeEra));
  return era !== undefined && Number.isSafeInteger(era) ? era : 0;
}

/** Headers that the router sets on a request to an upstream. */
export interface UpstreamHeaders {
  /** Id of the upstream that the request is meant for. */
  readonly upstream: string;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Name of the workspace; undefined without an API key. */
  readonly workspace: string | undefined;
  /** Priority of the request; 0 is the highest, 9 the lowest. */
  readonly priority: number;
  /** Replaces the caller's last event id, if it is set. */
  readonly lastEventId: string | undefined;
  /** `ip:port` of an upstream to copy the prompt's cache from. */
  readonly copyFrom: string | undefined;
}

/** Returns the hop-by-hop headers that the `connection` header names. */
function getConnectionHeaders(headers: IncomingHttpHeaders): Set<string> {
  const names = (headers.connection ?? "").toLowerCase().split(",");
  return new Set(names.map((name) => name.trim()));
}

/** A caller's request, as far as its headers are sent on. */
interface HeaderSource {
  readonly rawHeaders: readonly string[];
  readonly headers: IncomingHttpHeaders;
}

/**
 * Copies the headers of a request, names and values in turn, without hop-by-hop
 * headers, those that only routers read, and those that `isReplaced`.
 */
function copyRequestHeaders(
  { rawHeaders, headers }: HeaderSource,
  isReplaced: (name: string) => boolean,
): string[] {
  const connectionHeaders = getConnectionHeaders(headers);
  const pairs: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name)) continue;
    if (name.startsWith(PRIVATE_HEADER_PREFIX) || isReplaced(name)) continue;
    pairs.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return pairs;
}

function encodeRemainingMs(remainingMs: number): string[] {
  return [HEADERS.deadlineMs, String(Math.max(1, Math.floor(remainingMs)))];
}

/**
 * Encodes the headers of a request to an upstream, names and values in turn.
 * Hop-by-hop headers are dropped; the router's own replace the caller's.
 */
export function encodeUpstreamHeaders(
  request: HeaderSource,
  routerHeaders: UpstreamHeaders,
): string[] {
  const { lastEventId, workspace, copyFrom } = routerHeaders;
  const pairs = copyRequestHeaders(
    request,
    (name) =>
      SYSTEM_HEADERS.has(name) ||
      name === HEADERS.lastEventId && lastEventId !== undefined,
  );
  pairs.push(...encodeRemainingMs(routerHeaders.remainingMs));
  pairs.push(HEADERS.expectedUpstream, routerHeaders.upstream);
  pairs.push(
    HEADERS.priority,
    String(Math.min(MAX_PRIORITY, routerHeaders.priority)),
  );
  if (workspace !== undefined) pairs.push(HEADERS.workspace, workspace);
  if (copyFrom !== undefined) pairs.push(HEADERS.copyFrom, copyFrom);
  if (lastEventId !== undefined) {
    pairs.push(HEADERS.lastEventId, lastEventId);
  }
  return pairs;
}

/**
 * Encodes the headers of a request that another router is to serve. It checks
 * the caller's key again, and sets the headers for the upstream itself.
 */
export function encodeRouterHeaders(
  request: HeaderSource,
  { remainingMs, lastEventId }: Pick<
    UpstreamHeaders,
    "remainingMs" | "lastEventId"
  >,
): string[] {
  const pairs = copyRequestHeaders(
    request,
    (name) =>
      name === HEADERS.deadlineMs ||
      name === HEADERS.lastEventId && lastEventId !== undefined,
  );
  pairs.push(...encodeRemainingMs(remainingMs));
  if (lastEventId !== undefined) {
    pairs.push(HEADERS.lastEventId, lastEventId);
  }
  return pairs;
}

/**
 * Copies the headers of an upstream's response, without hop-by-hop headers and
 * those that only routers read.
 */
export function copyResponseHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const connectionHeaders = getConnectionHeaders(headers);
  const copy: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (
      value === undefined || HOP_BY_HOP_HEADERS.has(name) ||
      connectionHeaders.has(name) || name.startsWith(PRIVATE_HEADER_PREFIX)
    ) {
      continue;
    }
    copy[name] = value;
  }
  return copy;
}
