/**
 * Messages between routers, one a datagram, and their checks: anything may come
 * to an open port.
 *
 * `loads` is a JSON-RPC notification, `ask` a request whose result is an
 * `Answer`.
 */
import type { Buffer } from "node:buffer";
import {
  isJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCID,
} from "json-rpc-2.0";
import type { LoadCounts, ToldLoads } from "../policy/peer_loads.ts";
import type { StoreChange, StoreWord } from "../routing/types.ts";

/** Loads of a router, or of all that it speaks for. */
export interface LoadsMessage extends ToldLoads {
  readonly router: string;
}

/** A question to a relay. */
export interface AskMessage extends LoadsMessage {
  /** Revision of the store that the asker knows. */
  readonly after: number | undefined;
}

/** What a relay answers. */
export interface Answer {
  /** Loads of the rest of the fleet, as far as the relay hears it. */
  readonly loads: LoadsMessage;
  /** Absent where the relay can't tell what has changed. */
  readonly word: StoreWord | undefined;
}

/** A message that was read. */
export type PeerMessage =
  | { readonly kind: "loads"; readonly loads: LoadsMessage }
  | {
    readonly kind: "ask";
    readonly id: JSONRPCID;
    readonly ask: AskMessage;
  }
  | {
    readonly kind: "answer";
    readonly id: JSONRPCID;
    readonly answer: Answer;
  };

/** Above any service of the two-year size that a fleet sends to at a time. */
const MAX_UPSTREAMS = 12_000;
const CHANGE_KINDS: ReadonlySet<unknown> = new Set<StoreChange["kind"]>([
  "upstream",
  "upstream-gone",
  "domain-out",
  "domain-back",
  "router",
  "router-gone",
]);

function isCount(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0;
}

function isOptionalCount(value: unknown): boolean {
  return value === undefined || isCount(value);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isLoadCounts(value: unknown): value is LoadCounts {
  if (!isObject(value)) return false;
  const counts = Object.values(value);
  return counts.length <= MAX_UPSTREAMS && counts.every(isCount);
}

function isLoads(value: unknown): value is LoadsMessage {
  return isObject(value) && typeof value["router"] === "string" &&
    isCount(value["sequence"]) && isOptionalCount(value["routers"]) &&
    isLoadCounts(value["counts"]);
}

function isAsk(value: unknown): value is AskMessage {
  return isLoads(value) &&
    isOptionalCount((value as { after?: unknown }).after);
}

function isChange(value: unknown): value is StoreChange {
  return isObject(value) && CHANGE_KINDS.has(value["kind"]);
}

function isWord(value: unknown): value is StoreWord {
  return isObject(value) && isCount(value["revision"]) &&
    isCount(value["version"]) && isCount(value["ageMs"]) &&
    typeof value["isStoreLost"] === "boolean" &&
    isOptionalCount(value["storeBackMs"]) &&
    Array.isArray(value["changes"]) && value["changes"].every(isChange);
}

function isAnswer(value: unknown): value is Answer {
  return isObject(value) && isLoads(value["loads"]) &&
    (value["word"] === undefined || isWord(value["word"]));
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8"));
  } catch {
    // Not a message; the caller counts it.
    return undefined;
  }
}

/** Reads a datagram; undefined where it is no message. */
export function parsePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const message = parseJson(bytes);
  if (isJSONRPCRequest(message)) {
    const { method, params, id } = message;
    if (method === "loads" && isLoads(params)) {
      return { kind: "loads", loads: params };
    }
    if (method === "ask" && isAsk(params) && id !== undefined) {
      return { kind: "ask", id, ask: params };
    }
    return undefined;
  }
  if (isJSONRPCResponse(message) && isAnswer(message.result)) {
    return { kind: "answer", id: message.id, answer: message.result };
  }
  return undefined;
}
