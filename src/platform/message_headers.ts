/**
 * Reads and writes the headers of the users' platform.
 */
import type { IncomingHttpHeaders } from "node:http";
import type {
  AnswerTraits,
  PromptPart,
  RequestTraits,
  UpstreamLoad,
} from "../routing/types.ts";
import { HOP_BY_HOP_HEADERS } from "../transport/hop_by_hop.ts";
import { HEADERS, SYSTEM_HEADERS } from "./names.ts";

const BEARER = /^Bearer +(\S+)$/i;
const MAX_PRIORITY = 9;

function getText(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function tryCount(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === "") return undefined;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}

function parsePromptParts(text: string | undefined): PromptPart[] {
  if (text === undefined || text === "") return [];
  return text.split(",").map((each) => {
    const [id = "", tokens = "0"] = each.trim().split(":");
    return { id, tokens: Number(tokens) || 0 };
  });
}

/** Decodes what a request says of itself. */
export function decodeRequest(headers: IncomingHttpHeaders): RequestTraits {
  const authorization = getText(headers, HEADERS.authorization) ?? "";
  return {
    requestId: getText(headers, HEADERS.requestId) ?? "",
    deadlineMs: tryCount(getText(headers, HEADERS.deadlineMs)),
    apiKey: BEARER.exec(authorization)?.[1],
    promptParts: parsePromptParts(getText(headers, HEADERS.promptParts)),
    lastEventId: tryCount(getText(headers, HEADERS.lastEventId)),
  };
}

function parseLoad(text: string | undefined): UpstreamLoad | undefined {
  const [running, waiting, slots] = (text ?? "").split(",").map(Number);
  if (!Number.isInteger(running) || !Number.isInteger(waiting)) {
    return undefined;
  }
  if (!Number.isInteger(slots) || slots! < 1) return undefined;
  return { running: running!, waiting: waiting!, slots: slots! };
}

/** Decodes what an upstream says on an answer. */
export function decodeAnswer(headers: IncomingHttpHeaders): AnswerTraits {
  return {
    requestId: getText(headers, HEADERS.requestId),
    isSigned: getText(headers, HEADERS.signature) !== undefined,
    isNotRun: getText(headers, HEADERS.notRun) !== undefined,
    load: parseLoad(getText(headers, HEADERS.load)),
  };
}

/** What the router itself says to an upstream. */
export interface UpstreamHeaders {
  readonly upstream: string;
  /** Time that the caller still waits, in milliseconds. */
  readonly remainingMs: number;
  readonly workspace: string | undefined;
  /** Rank of the request; 0 goes first. */
  readonly priority: number;
  readonly lastEventId: number | undefined;
  /** `ip:port` of an upstream that has the prompt cached. */
  readonly copyFrom: string | undefined;
}

function getConnectionHeaders(headers: IncomingHttpHeaders): Set<string> {
  const names = (headers.connection ?? "").toLowerCase().split(",");
  return new Set(names.map((name) => name.trim()));
}

/** Renders the headers of a request to an upstream, as name and value pairs. */
export function encodeUpstreamHeaders(
  request: { rawHeaders: readonly string[]; headers: IncomingHttpHeaders },
  own: UpstreamHeaders,
): string[] {
  const named = getConnectionHeaders(request.headers);
  const pairs: string[] = [];
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index]!.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || named.has(name)) continue;
    if (SYSTEM_HEADERS.has(name)) continue;
    if (name === HEADERS.lastEventId && own.lastEventId !== undefined) continue;
    pairs.push(request.rawHeaders[index]!, request.rawHeaders[index + 1]!);
  }
  const remaining = Math.max(1, Math.floor(own.remainingMs));
  pairs.push(HEADERS.deadlineMs, String(remaining));
  pairs.push(HEADERS.expectedUpstream, own.upstream);
  pairs.push(HEADERS.priority, String(Math.min(MAX_PRIORITY, own.priority)));
  if (own.workspace !== undefined) pairs.push(HEADERS.workspace, own.workspace);
  if (own.copyFrom !== undefined) pairs.push(HEADERS.copyFrom, own.copyFrom);
  if (own.lastEventId !== undefined) {
    pairs.push(HEADERS.lastEventId, String(own.lastEventId));
  }
  return pairs;
}

/** Copies the headers of an upstream's answer that go on to the caller. */
export function copyAnswerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const named = getConnectionHeaders(headers);
  const copy: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (
      value === undefined || HOP_BY_HOP_HEADERS.has(name) || named.has(name)
    ) {
      continue;
    }
    copy[name] = value;
  }
  return copy;
}
