/**
 * Decodes the items of the metadata store into the types of `src/routing/`.
 */
import { Buffer } from "node:buffer";
import type {
  RolloutOrder,
  RolloutPhase,
  RolloutRecord,
  RouteKind,
  RoutingConfiguration,
  StoreChange,
  UpstreamEntry,
  VersionRecord,
} from "../routing/types.ts";
import { checkConfiguration } from "./checked_configuration.ts";
import {
  checkRolloutOrder,
  checkRolloutRecord,
  checkRouter,
  checkUpstream,
  checkVersionRecord,
} from "./checked_state.ts";
import {
  MAX_CONFIGURATION_BYTES,
  MAX_ENTRY_BYTES,
  NUMBERS,
  TEXTS,
} from "./field_limits.ts";
import {
  asFields,
  FieldError,
  type Fields,
  getNumber,
  getText,
  parseJson,
  tryNumber,
} from "./fields.ts";
import { KEYS } from "./names.ts";

/** Names that the platform and this project have for the same values. */
const ROUTE_KINDS: ReadonlyMap<unknown, RouteKind> = new Map([
  ["idempotent", "idempotent"],
  ["non_idempotent", "non-idempotent"],
  ["stream", "stream"],
]);
const STATES: ReadonlyMap<unknown, UpstreamEntry["state"]> = new Map([
  ["ready", "ready"],
  ["draining", "leaving"],
]);
/** States of a rollout; the platform has one word for the first two phases. */
const ROLLOUT_STATES: Readonly<Record<RolloutPhase, string>> = {
  "trial": "running",
  "promoting": "running",
  "complete": "complete",
  "rolled-back": "rolled_back",
};

const MS_PER_SECOND = 1_000;
/** Longest report of an engine that is decoded, in characters. */
const MAX_REPORT_LENGTH = 1_048_576;

function mapRoute(fields: Fields): object {
  return {
    name: fields["name"],
    host: fields["host"],
    prefix: fields["prefix"],
    kind: ROUTE_KINDS.get(fields["kind"]) ?? fields["kind"],
    targets: fields["split"] ?? [{ service: fields["service"], weight: 1 }],
    timeoutMs: fields["timeoutMs"],
    // The platform calls the latency objective a goal.
    objectiveMs: fields["goalMs"],
    maxAttempts: fields["maxAttempts"],
    priority: fields["priority"],
    isPublic: fields["public"],
    isSticky: fields["sticky"],
    isResumable: fields["resumable"],
  };
}

function mapService(fields: Fields): object {
  const { coldStartS } = fields;
  return {
    name: fields["name"],
    coldStartMs: typeof coldStartS === "number"
      ? coldStartS * MS_PER_SECOND
      : coldStartS,
    coldRequestsPerSecond: fields["coldPerS"],
    isEngine: fields["engine"] !== undefined,
  };
}

function mapWorkspace(fields: Fields): object {
  return {
    name: fields["name"],
    keys: fields["apiKeys"],
    priority: fields["priority"],
  };
}

/** Maps the objects of a list; all else stays as it is, and is checked later. */
function mapObjects(value: unknown, map: (fields: Fields) => object): unknown {
  if (!Array.isArray(value)) return value;
  return value.map((each) =>
    typeof each === "object" && each !== null && !Array.isArray(each)
      ? map(each as Fields)
      : each
  );
}

/**
 * Decodes the operators' configuration; throws `FieldError` if it can't be used
 * at all.
 */
export function decodeConfiguration(value: unknown): RoutingConfiguration {
  const fields = asFields(value, "configuration");
  return checkConfiguration({
    version: fields["version"],
    routes: mapObjects(fields["routes"], mapRoute),
    services: mapObjects(fields["services"], mapService),
    limits: fields["limits"],
    workspaces: mapObjects(fields["tenants"], mapWorkspace),
  });
}

/**
 * Decodes the entry of an upstream; throws `FieldError` if a field is missing
 * or malformed.
 */
export function decodeUpstream(id: string, value: unknown): UpstreamEntry {
  const fields = asFields(value, "upstream");
  // Not used, but a document without it was not written by an upstream.
  getNumber(fields, "seq", NUMBERS.counter);
  return checkUpstream({
    id,
    service: fields["service"],
    address: fields["address"],
    failureDomain: fields["zone"],
    slots: fields["slots"],
    state: STATES.get(fields["state"]),
    coldLeftMs: fields["coldLeftMs"],
    softwareVersion: getText(fields, "version", TEXTS.headerName),
    bornAt: fields["born"],
  });
}

/**
 * Decodes the start time that an engine states in a report of itself, in
 * milliseconds of the wall clock; undefined if the report has none.
 */
export function decodeReportedStart(report: string): number | undefined {
  try {
    const value = parseJson(report, {
      name: "report",
      maxLength: MAX_REPORT_LENGTH,
    });
    return tryNumber(asFields(value, "report"), "born", NUMBERS.startMs);
  } catch {
    // An upstream that doesn't know the path answers with anything.
    return undefined;
  }
}

/** Encodes the versions that a service has had, as a value of the store. */
export function encodeVersionRecord({ versions }: VersionRecord): string {
  return Buffer.from(JSON.stringify({ versions })).toString("base64");
}

/** Decodes such a value; throws `FieldError` if it is malformed. */
export function decodeVersionRecord(
  service: string,
  value: unknown,
): VersionRecord {
  const { versions } = asFields(value, "versions");
  return checkVersionRecord({ service, versions });
}

/** Decodes an order; throws `FieldError` if it is malformed. */
export function decodeRolloutOrder(
  service: string,
  { value, revision }: { value: unknown; revision: number | undefined },
): RolloutOrder {
  const fields = asFields(value, "order");
  const { durationS } = fields;
  if (fields["service"] !== undefined && fields["service"] !== service) {
    throw new FieldError("service", "that of the key");
  }
  return checkRolloutOrder({
    service,
    target: fields["target"],
    durationMs: typeof durationS === "number"
      ? durationS * MS_PER_SECOND
      : durationS,
    revision,
  });
}

/** Encodes the state of an order, as a value of the store. */
export function encodeRolloutRecord(
  { target, phase, order, startedAt, reason }: RolloutRecord,
): string {
  const fields = {
    state: ROLLOUT_STATES[phase],
    target,
    order,
    phase,
    startedAtMs: startedAt,
    reason: reason.slice(0, TEXTS.reason.maxLength),
  };
  return Buffer.from(JSON.stringify(fields)).toString("base64");
}

/** Decodes such a value; throws `FieldError` if it is malformed. */
export function decodeRolloutRecord(
  service: string,
  { value, revision }: { value: unknown; revision: number | undefined },
): RolloutRecord {
  const { target, phase, order, startedAtMs, reason } = asFields(
    value,
    "record",
  );
  return checkRolloutRecord({
    service,
    target,
    phase,
    order,
    startedAt: startedAtMs,
    reason,
    revision,
  });
}

/** An item of the store as it was read. */
export interface RawItem {
  readonly key: string;
  /** Store revision of its last write; undefined if it is not known. */
  readonly revision?: number | undefined;
  /** Standard base64; undefined if the item was deleted. */
  readonly value: string | undefined;
  /** Whether the value is longer than one of this key may be, and was dropped. */
  readonly isOversized?: boolean;
}

function parseValue(
  { value = "", isOversized }: RawItem,
  { maxBytes = MAX_ENTRY_BYTES, dropsDeepValues = false } = {},
): unknown {
  const bytes = Buffer.from(value, "base64");
  if (isOversized || bytes.length > maxBytes) {
    throw new FieldError("value", `at most ${maxBytes} bytes long`);
  }
  return parseJson(bytes.toString("utf8"), {
    name: "value",
    maxLength: maxBytes,
    dropsDeepValues,
  });
}

/** Returns the rest of `key` after `prefix`; undefined without that prefix. */
function trySuffix(key: string, prefix: string): string | undefined {
  return key.startsWith(prefix) ? key.slice(prefix.length) : undefined;
}

/** Decodes an order or its state; undefined if the key is of neither. */
function decodeRolloutChange(raw: RawItem): StoreChange | undefined {
  const { key, value, revision } = raw;
  const ordered = trySuffix(key, KEYS.rolloutOrders);
  if (ordered !== undefined) {
    if (value === undefined) {
      return { kind: "rollout-order-gone", service: ordered };
    }
    const item = { value: parseValue(raw), revision };
    return { kind: "rollout-order", order: decodeRolloutOrder(ordered, item) };
  }
  const service = trySuffix(key, KEYS.rolloutRecords);
  if (service === undefined) return undefined;
  if (value === undefined) return { kind: "rollout-record-gone", service };
  const item = { value: parseValue(raw), revision };
  return { kind: "rollout-record", record: decodeRolloutRecord(service, item) };
}

/** Decodes an item; undefined if its key is of no use to a router. */
function decodeChange(item: RawItem): StoreChange | undefined {
  const { key, value } = item;
  if (key === KEYS.configuration && value !== undefined) {
    const document = parseValue(item, {
      maxBytes: MAX_CONFIGURATION_BYTES,
      dropsDeepValues: true,
    });
    const configuration = decodeConfiguration(document);
    return { kind: "configuration", configuration };
  }
  const failureDomain = trySuffix(key, KEYS.domainsOut);
  if (failureDomain !== undefined) {
    const kind = value === undefined ? "domain-back" : "domain-out";
    return { kind, failureDomain };
  }
  const name = trySuffix(key, KEYS.routers);
  if (name !== undefined) {
    if (value === undefined) return { kind: "router-gone", name };
    const { address, linkMbps } = asFields(parseValue(item), "router");
    return checkRouter({ name, address, linkMbps });
  }
  const service = trySuffix(key, KEYS.versions);
  if (service !== undefined && value !== undefined) {
    const record = decodeVersionRecord(service, parseValue(item));
    return { kind: "versions", record };
  }
  const id = trySuffix(key, KEYS.upstreams);
  if (id === undefined) return decodeRolloutChange(item);
  if (value === undefined) return { kind: "upstream-gone", id };
  return { kind: "upstream", entry: decodeUpstream(id, parseValue(item)) };
}

/** Says what an unreadable item means for the state that is in use. */
function describeEffect(key: string): string {
  if (key === KEYS.configuration) {
    return "the configuration before it stays in force, but is not confirmed";
  }
  return "it is not used";
}

/**
 * Decodes an item into the changes that it causes. A malformed item yields an
 * `unreadable` change; a malformed entry of an upstream or a router, or a
 * malformed order of a rollout or its state, also removes that one, because its
 * earlier value is no longer valid.
 */
export function decodeItem(item: RawItem): StoreChange[] {
  try {
    const change = decodeChange(item);
    return change === undefined ? [] : [change];
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    const unreadable = {
      kind: "unreadable" as const,
      key: item.key,
      reason: `${reason}; ${describeEffect(item.key)}`,
      ...(item.key === KEYS.configuration && { isConfiguration: true }),
    };
    const id = trySuffix(item.key, KEYS.upstreams);
    if (id !== undefined) return [unreadable, { kind: "upstream-gone", id }];
    const name = trySuffix(item.key, KEYS.routers);
    if (name !== undefined) return [unreadable, { kind: "router-gone", name }];
    const gone = decodeRolloutChange({ ...item, value: undefined });
    return gone === undefined ? [unreadable] : [unreadable, gone];
  }
}
