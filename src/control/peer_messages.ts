/**
 * Messages between routers, one per datagram, and their validation: an open
 * port may receive any bytes.
 *
 * `loads` is a JSON-RPC notification, `ask` a JSON-RPC request whose result is
 * an `AskResponse`. `stream_messages.ts` has those about streams.
 */
import type { Buffer } from "node:buffer";
import {
  isJSONRPCID,
  isJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCID,
} from "json-rpc-2.0";
import {
  MAX_CRASH_WORKSPACES,
  MAX_REPORTED_AGE_MS,
  MAX_REPORTED_SUBJECTS,
  MAX_SUBJECT_CRASHES,
  type SubjectCrash,
  type SubjectReport,
} from "../policy/crash_quarantine.ts";
import {
  type LinkReport,
  MAX_LINK_REPORT_AGE_MS,
  MAX_LINK_REPORTS,
} from "../policy/link_state.ts";
import type { LoadCounts, RouterLoads } from "../policy/peer_loads.ts";
import {
  MAX_REPORTED_RATES,
  type RateReport,
} from "../policy/upstream_rates.ts";
import type { StoreChange, StoreUpdate } from "../routing/types.ts";
import {
  isStreamFinding,
  isStreamQuestion,
  isStreamsMessage,
  type StreamMessage,
} from "./stream_messages.ts";

/** What a router has learned about upstreams from requests. */
export interface FindingsReport {
  /**
   * Prompt parts and whole requests under which upstreams ended, or that one
   * has answered.
   */
  readonly promptParts?: readonly SubjectReport[];
  /** Limits that upstreams have stated. */
  readonly rates?: readonly RateReport[];
  /** Rejections a second that brittle upstreams have stated they bear. */
  readonly rejections?: readonly RateReport[];
  /** Routers that have lost their links to the upstreams of a service. */
  readonly links?: readonly LinkReport[];
}

/** Loads of `router` alone, or of the routers whose loads it has added up. */
export interface LoadsMessage extends RouterLoads {
  readonly router: string;
  /** Absent if there is nothing to tell. */
  readonly findings?: FindingsReport;
}

/** Request to a relay for loads and changes; it carries the sender's loads. */
export interface AskMessage extends LoadsMessage {
  /**
   * Store revision up to which the sender knows all changes; undefined before
   * the first.
   */
  readonly after: number | undefined;
  /** Era of that revision; absent for 0. */
  readonly era?: number;
}

/** Response of a relay to an `ask` request. */
export interface AskResponse {
  /** Loads of the relay and of the other routers it has received loads from. */
  readonly loads: LoadsMessage;
  /** Changes in the store; undefined if the relay does not know them. */
  readonly word: StoreUpdate | undefined;
}

/** A message that was parsed and validated. */
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
    readonly answer: AskResponse;
  }
  | StreamMessage;

/**
 * Exceeds the number of upstreams of any service that a fleet sends to at a
 * time, at the size planned for in two years.
 */
const MAX_UPSTREAMS = 12_000;
/** Exceeds the length of the keys of prompt parts, requests and upstreams. */
const MAX_KEY_LENGTH = 32;
/** Exceeds the length of names of services and routers. */
const MAX_NAME_LENGTH = 200;
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

function isAge(value: unknown): boolean {
  return isCount(value) && value <= MAX_REPORTED_AGE_MS;
}

function isBoundedList(
  value: unknown,
  { max, isItem }: { max: number; isItem: (item: unknown) => boolean },
): boolean {
  return Array.isArray(value) && value.length <= max && value.every(isItem);
}

function isKey(value: unknown): boolean {
  return typeof value === "string" && value.length <= MAX_KEY_LENGTH;
}

function isName(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_NAME_LENGTH;
}

function isSubjectCrash(value: unknown): value is SubjectCrash {
  return isObject(value) && isKey(value["upstream"]) &&
    (value["workspaces"] === undefined ||
      isBoundedList(value["workspaces"], {
        max: MAX_CRASH_WORKSPACES,
        isItem: isKey,
      })) &&
    isAge(value["sentAgeMs"]) && isAge(value["ageMs"]);
}

function isSubjectReport(value: unknown): value is SubjectReport {
  return isObject(value) && isKey(value["part"]) &&
    (value["clearedAgeMs"] === undefined || isAge(value["clearedAgeMs"])) &&
    isBoundedList(value["crashes"], {
      max: MAX_SUBJECT_CRASHES,
      isItem: isSubjectCrash,
    });
}

function isRateReport(value: unknown): value is RateReport {
  if (!isObject(value) || typeof value["upstream"] !== "string") return false;
  const { rate, ageMs } = value;
  const isRate = rate === "none" || typeof rate === "number" && rate >= 0;
  return isRate && isAge(ageMs);
}

function isLinkReport(value: unknown): value is LinkReport {
  if (!isObject(value)) return false;
  const { router, service, ageMs } = value;
  return isName(router) && isName(service) && isCount(ageMs) &&
    ageMs <= MAX_LINK_REPORT_AGE_MS;
}

function isFindingsReport(value: unknown): value is FindingsReport {
  if (!isObject(value)) return false;
  const { promptParts = [], rates = [], rejections = [], links = [] } = value;
  return isBoundedList(promptParts, {
    max: MAX_REPORTED_SUBJECTS,
    isItem: isSubjectReport,
  }) &&
    [rates, rejections].every((each) =>
      isBoundedList(each, { max: MAX_REPORTED_RATES, isItem: isRateReport })
    ) &&
    isBoundedList(links, { max: MAX_LINK_REPORTS, isItem: isLinkReport });
}

/** Whether a report holds nothing, so that it need not be sent. */
export function isEmptyReport(
  { promptParts = [], rates = [], rejections = [], links = [] }: FindingsReport,
): boolean {
  return [promptParts, rates, rejections, links]
    .every((each) => each.length === 0);
}

function isLoadsMessage(value: unknown): value is LoadsMessage {
  return isObject(value) && typeof value["router"] === "string" &&
    isCount(value["sequence"]) && isOptionalCount(value["routers"]) &&
    (value["unreachable"] === undefined ||
      isLoadCounts(value["unreachable"])) &&
    (value["findings"] === undefined || isFindingsReport(value["findings"])) &&
    isLoadCounts(value["counts"]);
}

function isAskMessage(value: unknown): value is AskMessage {
  if (!isLoadsMessage(value)) return false;
  const { after, era } = value as { after?: unknown; era?: unknown };
  return isOptionalCount(after) && isOptionalCount(era);
}

function isStoreChange(value: unknown): value is StoreChange {
  return isObject(value) && CHANGE_KINDS.has(value["kind"]);
}

function isStoreUpdate(value: unknown): value is StoreUpdate {
  return isObject(value) && isCount(value["revision"]) &&
    isOptionalCount(value["era"]) &&
    isCount(value["version"]) && isCount(value["ageMs"]) &&
    typeof value["isStoreLost"] === "boolean" &&
    isOptionalCount(value["storeBackMs"]) &&
    Array.isArray(value["changes"]) && value["changes"].every(isStoreChange);
}

function isAskResponse(value: unknown): value is AskResponse {
  return isObject(value) && isLoadsMessage(value["loads"]) &&
    (value["word"] === undefined || isStoreUpdate(value["word"]));
}

/** Whether the id of a message, if any, can be echoed in a response. */
function hasValidId({ id }: Record<string, unknown>): boolean {
  return id === undefined || isJSONRPCID(id);
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8"));
  } catch {
    // Not JSON; the caller counts the datagram as invalid.
    return undefined;
  }
}

/** Parses a datagram. Returns undefined if it is not a valid message. */
export function parsePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const message = parseJson(bytes);
  // The checks of the library read fields of any value.
  if (!isObject(message) || !hasValidId(message)) return undefined;
  if (isJSONRPCRequest(message)) {
    const { method, params, id } = message;
    if (method === "loads" && isLoadsMessage(params)) {
      return { kind: "loads", loads: params };
    }
    if (method === "ask" && isAskMessage(params) && id !== undefined) {
      return { kind: "ask", id, ask: params };
    }
    if (method === "streams" && isStreamsMessage(params)) {
      return { kind: "streams", message: params };
    }
    const isQuestion = method === "find-stream" && isStreamQuestion(params);
    if (isQuestion && id !== undefined) {
      return { kind: "find-stream", id, question: params };
    }
    return undefined;
  }
  if (!isJSONRPCResponse(message)) return undefined;
  const { id, result } = message;
  if (isAskResponse(result)) return { kind: "answer", id, answer: result };
  if (isStreamFinding(result)) {
    return { kind: "stream-finding", id, finding: result };
  }
  return undefined;
}
