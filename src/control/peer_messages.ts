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
  type JSONRPCRequest,
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
  type DemandEntry,
  MAX_DEMAND_ENTRIES,
} from "../policy/demand_meter.ts";
import {
  type LinkReport,
  MAX_LINK_REPORT_AGE_MS,
  MAX_LINK_REPORTS,
} from "../policy/link_state.ts";
import type { LoadCounts, RouterLoads } from "../policy/peer_loads.ts";
import {
  MAX_PACE,
  MAX_REPORTED_PACES,
  MIN_PACE,
  type PaceMean,
  type PaceMeans,
} from "../policy/upstream_pace.ts";
import {
  type AnswerReport,
  MAX_REPORTED_ANSWERS,
} from "../policy/recent_answers.ts";
import {
  DURATION_BUCKETS,
  MAX_ROW_ROUTES,
  type RolloutRouteRow,
  type RolloutRow,
} from "../policy/rollout_evidence.ts";
import {
  MAX_REPORTED_RATES,
  type RateReport,
} from "../policy/upstream_rates.ts";
import { checkPassedChange } from "../platform/checked_state.ts";
import {
  isNumberWithin,
  isTextWithin,
  MAX_ENTRY_BYTES,
  type NumberLimit,
  NUMBERS,
  TEXTS,
} from "../platform/field_limits.ts";
import { parseJson } from "../platform/fields.ts";
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
  /** Upstreams of services that fail that have answered lately. */
  readonly answers?: readonly AnswerReport[];
  /** Evidence about the targets of rollouts, by order and router process. */
  readonly rollouts?: readonly RolloutRow[];
  /**
   * Orders of rollouts that the sender knows to be in force: the store or most
   * relays have confirmed them lately.
   */
  readonly rolloutOrders?: readonly KnownOrder[];
}

/** An order of a rollout. */
export interface KnownOrder {
  readonly service: string;
  /** Revision of its item in the store. */
  readonly order: number;
}

/** Loads of `router` alone, or of the routers whose loads it has added up. */
export interface LoadsMessage extends RouterLoads {
  readonly router: string;
  /**
   * Demand of the routers that it covers, in some of the messages; absent in
   * those of older releases.
   */
  readonly demand?: readonly DemandEntry[];
  /** Number of routers whose demand is added up; 1 if absent. */
  readonly demandRouters?: number;
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
/** Exceeds the rows that fit a datagram. */
const MAX_ROLLOUT_ROWS = 1_024;
/** Exceeds the services that are moved to a version at a time. */
export const MAX_ROLLOUT_ORDERS = 256;
/** A row has one item for each side of a route. */
const MAX_ROW_ITEMS = 2 * MAX_ROW_ROUTES;
/** Exceeds the length of the keys of prompt parts, requests and upstreams. */
const MAX_KEY_LENGTH = 32;

function isCount(value: unknown): value is number {
  return isNumberWithin(value, NUMBERS.counter);
}

function isOptionalCount(value: unknown): boolean {
  return value === undefined || isCount(value);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isLoadCounts(value: unknown): value is LoadCounts {
  return isUpstreamNumbers(value, NUMBERS.requests);
}

function isUpstreamNumbers(
  value: unknown,
  limit: NumberLimit,
): value is LoadCounts {
  if (!isObject(value)) return false;
  const numbers = Object.entries(value);
  return numbers.length <= MAX_UPSTREAMS &&
    numbers.every(([upstream, number]) =>
      isName(upstream) && isNumberWithin(number, limit)
    );
}

/** Reads remaining work; undefined if it is absent or malformed. */
function readWork(value: unknown): LoadCounts | undefined {
  return isUpstreamNumbers(value, NUMBERS.workMs) ? value : undefined;
}

function isAge(value: unknown): value is number {
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
  return isTextWithin(value, TEXTS.anyName);
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
  if (!isObject(value)) return false;
  const { upstream, rate, ageMs } = value;
  const isRate = rate === "none" || isNumberWithin(rate, NUMBERS.rate);
  return isName(upstream) && isRate && isAge(ageMs);
}

function isLinkReport(value: unknown): value is LinkReport {
  if (!isObject(value)) return false;
  const { router, service, ageMs } = value;
  return isName(router) && isName(service) && isCount(ageMs) &&
    ageMs <= MAX_LINK_REPORT_AGE_MS;
}

function isAnswerReport(value: unknown): value is AnswerReport {
  return isObject(value) && isName(value["upstream"]) && isAge(value["ageMs"]);
}

function isDurationCount(value: unknown): boolean {
  if (!Array.isArray(value) || value.length !== 2) return false;
  const [bucket, count] = value;
  return isCount(bucket) && bucket < DURATION_BUCKETS && isCount(count);
}

function isRouteRow(value: unknown): value is RolloutRouteRow {
  if (!isObject(value)) return false;
  const { route, side, answered, failed, durations } = value;
  return isName(route) && (side === "target" || side === "other") &&
    isCount(answered) && isCount(failed) &&
    isBoundedList(durations, {
      max: DURATION_BUCKETS,
      isItem: isDurationCount,
    });
}

function isKnownOrder(value: unknown): value is KnownOrder {
  return isObject(value) && isName(value["service"]) && isCount(value["order"]);
}

function isRolloutRow(value: unknown): value is RolloutRow {
  if (!isKnownOrder(value)) return false;
  const { router, startedAt, routes, othersInFlight, promotingMs, isBad } =
    value as Partial<Record<keyof RolloutRow, unknown>>;
  return isName(router) && isNumberWithin(startedAt, NUMBERS.startMs) &&
    isBoundedList(routes, { max: MAX_ROW_ITEMS, isItem: isRouteRow }) &&
    isNumberWithin(othersInFlight, NUMBERS.requests) &&
    (promotingMs === undefined ||
      isNumberWithin(promotingMs, NUMBERS.durationMs)) &&
    typeof isBad === "boolean";
}

/**
 * Reads the valid items of a list; an odd one, which one upstream may have caused,
 * is left out. Undefined if the list itself is not valid.
 */
function readList<T>(
  value: unknown,
  { max, isItem }: { max: number; isItem: (item: unknown) => item is T },
): readonly T[] | undefined {
  if (!Array.isArray(value) || value.length > max) return undefined;
  return value.filter(isItem);
}

function readFindings(value: unknown): FindingsReport | undefined {
  if (!isObject(value)) return undefined;
  const { promptParts = [], rates = [], rejections = [], links = [] } = value;
  const { rollouts = [], rolloutOrders = [] } = value;
  const readRates = (list: unknown) =>
    readList(list, { max: MAX_REPORTED_RATES, isItem: isRateReport });
  const parts = readList(promptParts, {
    max: MAX_REPORTED_SUBJECTS,
    isItem: isSubjectReport,
  });
  const limits = readRates(rates);
  const refusals = readRates(rejections);
  const down = readList(links, { max: MAX_LINK_REPORTS, isItem: isLinkReport });
  if (!parts || !limits || !refusals || !down) return undefined;
  // A list that is not valid costs only itself.
  const answers = readList(value["answers"], {
    max: MAX_REPORTED_ANSWERS,
    isItem: isAnswerReport,
  });
  const rows = readList(rollouts, {
    max: MAX_ROLLOUT_ROWS,
    isItem: isRolloutRow,
  });
  const orders = readList(rolloutOrders, {
    max: MAX_ROLLOUT_ORDERS,
    isItem: isKnownOrder,
  });
  return {
    promptParts: parts,
    rates: limits,
    rejections: refusals,
    links: down,
    ...(answers !== undefined && { answers }),
    ...(rows?.length && { rollouts: rows }),
    ...(orders?.length && { rolloutOrders: orders }),
  };
}

/** Whether a report holds nothing, so that it need not be sent. */
export function isEmptyReport(
  findings: FindingsReport,
): boolean {
  return Object.values(findings).every((each) => each.length === 0);
}

function isPaceMean(value: unknown): value is PaceMean {
  if (!Array.isArray(value) || value.length !== 2) return false;
  const [pace, weight] = value;
  return isNumberWithin(pace, NUMBERS.paceFigure) && pace >= MIN_PACE &&
    pace <= MAX_PACE && isNumberWithin(weight, NUMBERS.weight) && weight > 0;
}

/** Reads the valid paces; undefined if there are none or too many. */
function readPaces(value: unknown): PaceMeans | undefined {
  if (!isObject(value)) return undefined;
  const paces = Object.entries(value);
  if (paces.length > MAX_REPORTED_PACES) return undefined;
  const valid = paces.flatMap(([upstream, mean]) =>
    isName(upstream) && isPaceMean(mean) ? [[upstream, mean] as const] : []
  );
  return valid.length === 0 ? undefined : Object.fromEntries(valid);
}

function isDemandEntry(value: unknown): value is DemandEntry {
  if (!isObject(value)) return false;
  const { service, priority, workspace, rate, work } = value;
  return isName(service) && isNumberWithin(priority, NUMBERS.priority) &&
    (workspace === undefined || isName(workspace)) &&
    isNumberWithin(rate, NUMBERS.rate) && isNumberWithin(work, NUMBERS.rate);
}

/** Reads the demand of a message; empty if it has none that can be used. */
function readDemand(
  { demand, demandRouters = 1 }: Record<string, unknown>,
): Pick<LoadsMessage, "demand" | "demandRouters"> {
  if (!isNumberWithin(demandRouters, NUMBERS.routers)) return {};
  const entries = readList(demand, {
    max: MAX_DEMAND_ENTRIES,
    isItem: isDemandEntry,
  });
  return entries === undefined ? {} : { demand: entries, demandRouters };
}

/** Reads the known fields of a message with loads; undefined if one is odd. */
function readLoads(value: unknown): LoadsMessage | undefined {
  if (!isObject(value)) return undefined;
  const { router, sequence, counts, routers, unreachable, ageMs } = value;
  if (!isName(router) || !isCount(sequence) || !isLoadCounts(counts)) {
    return undefined;
  }
  const hasRouters = routers !== undefined;
  if (hasRouters && !isNumberWithin(routers, NUMBERS.routers)) return undefined;
  const hasUnreachable = unreachable !== undefined;
  if (hasUnreachable && !isLoadCounts(unreachable)) return undefined;
  const findings = value["findings"] === undefined
    ? undefined
    : readFindings(value["findings"]);
  if (value["findings"] !== undefined && findings === undefined) {
    return undefined;
  }
  const paces = readPaces(value["paces"]);
  const work = readWork(value["work"]);
  return {
    router,
    sequence,
    counts,
    ...(hasRouters && { routers }),
    ...(hasUnreachable && { unreachable }),
    // The counts are of use without a valid age.
    ...(isAge(ageMs) && { ageMs }),
    ...(paces !== undefined && { paces }),
    // So are they without valid work.
    ...(work !== undefined && { work }),
    ...(findings !== undefined && { findings }),
    ...readDemand(value),
  };
}

function readAsk(value: unknown): AskMessage | undefined {
  const loads = readLoads(value);
  if (loads === undefined) return undefined;
  const { after, era } = value as { after?: unknown; era?: unknown };
  if (after !== undefined && !isCount(after)) return undefined;
  if (era === undefined) return { ...loads, after };
  return isCount(era) ? { ...loads, after, era } : undefined;
}

/**
 * Reads a change that a relay passes on. An odd one costs only what it is about:
 * an upstream or a router whose new entry can't be used is gone.
 */
function readChange(value: unknown): StoreChange[] {
  try {
    const change = checkPassedChange(value);
    return change === undefined ? [] : [change];
  } catch (cause) {
    const fields = isObject(value) ? value : {};
    const { kind, entry, name } = fields;
    const id = isObject(entry) ? entry["id"] : undefined;
    const key = isName(id) ? id : isName(name) ? name : "";
    const unreadable: StoreChange = {
      kind: "unreadable",
      key,
      reason: cause instanceof Error ? cause.message : String(cause),
    };
    if (kind === "upstream" && isName(id)) {
      return [unreadable, { kind: "upstream-gone", id }];
    }
    if (kind === "router" && isName(name)) {
      return [unreadable, { kind: "router-gone", name }];
    }
    const { order, record } = fields;
    const ordered = isObject(order) ? order["service"] : undefined;
    if (kind === "rollout-order" && isName(ordered)) {
      return [unreadable, { kind: "rollout-order-gone", service: ordered }];
    }
    const service = isObject(record) ? record["service"] : undefined;
    if (kind === "rollout-record" && isName(service)) {
      return [unreadable, { kind: "rollout-record-gone", service }];
    }
    return [unreadable];
  }
}

function readStoreUpdate(value: unknown): StoreUpdate | undefined {
  if (!isObject(value)) return undefined;
  const { era, revision, version, ageMs, isStoreLost, storeBackMs, changes } =
    value;
  if (!isCount(revision) || !isCount(version) || !isCount(ageMs)) {
    return undefined;
  }
  if (!isOptionalCount(era) || !isOptionalCount(storeBackMs)) return undefined;
  if (typeof isStoreLost !== "boolean" || !Array.isArray(changes)) {
    return undefined;
  }
  return {
    ...(era !== undefined && { era: era as number }),
    revision,
    changes: changes.flatMap(readChange),
    version,
    ageMs,
    isStoreLost,
    ...(value["lacksOthers"] === true && { lacksOthers: true }),
    storeBackMs: storeBackMs as number | undefined,
  };
}

function readAskResponse(value: unknown): AskResponse | undefined {
  if (!isObject(value)) return undefined;
  const loads = readLoads(value["loads"]);
  if (loads === undefined) return undefined;
  if (value["word"] === undefined) return { loads, word: undefined };
  const word = readStoreUpdate(value["word"]);
  return word === undefined ? undefined : { loads, word };
}

/** Whether the id of a message, if any, can be echoed in a response. */
function hasValidId({ id }: Record<string, unknown>): boolean {
  const isIdOrAbsent = id === undefined || isJSONRPCID(id);
  // JSON represents other numbers as null.
  return isIdOrAbsent && (typeof id !== "number" || Number.isFinite(id));
}

function parseDatagram(bytes: Buffer): unknown {
  try {
    return parseJson(bytes.toString("utf8"), {
      name: "message",
      maxLength: MAX_ENTRY_BYTES,
    });
  } catch {
    // Not JSON; the caller counts the datagram as invalid.
    return undefined;
  }
}

function readRequest(
  { method, params, id }: JSONRPCRequest,
): PeerMessage | undefined {
  const hasId = id !== undefined;
  if (method === "loads") {
    const loads = readLoads(params);
    return loads && { kind: "loads", loads };
  }
  if (method === "ask" && hasId) {
    const ask = readAsk(params);
    return ask && { kind: "ask", id, ask };
  }
  if (method === "streams" && isStreamsMessage(params)) {
    return { kind: "streams", message: params };
  }
  if (method === "find-stream" && hasId && isStreamQuestion(params)) {
    return { kind: "find-stream", id, question: params };
  }
  return undefined;
}

/** Parses a datagram. Returns undefined if it is not a valid message. */
export function parsePeerMessage(bytes: Buffer): PeerMessage | undefined {
  const message = parseDatagram(bytes);
  // The checks of the library read fields of any value.
  if (!isObject(message) || !hasValidId(message)) return undefined;
  if (isJSONRPCRequest(message)) return readRequest(message);
  if (!isJSONRPCResponse(message)) return undefined;
  const { id, result } = message;
  const answer = readAskResponse(result);
  if (answer !== undefined) return { kind: "answer", id, answer };
  if (isStreamFinding(result)) {
    return { kind: "stream-finding", id, finding: result };
  }
  return undefined;
}
