/**
 * Decodes the items of the metadata store into the types of `src/routing/`.
 */
import { Buffer } from "node:buffer";
import type {
  KeyedWorkspace,
  RoutedService,
  RouteKind,
  RouteTarget,
  RoutingConfiguration,
  ServiceRoute,
  StoreChange,
  UpstreamEntry,
  VersionRecord,
} from "../routing/types.ts";
import {
  asFields,
  FieldError,
  type Fields,
  getFlag,
  getList,
  getNumber,
  getString,
  tryNumber,
} from "./fields.ts";
import { KEYS } from "./names.ts";

const ROUTE_KINDS: ReadonlyMap<string, RouteKind> = new Map([
  ["idempotent", "idempotent"],
  ["non_idempotent", "non-idempotent"],
  ["stream", "stream"],
]);

const MS_PER_SECOND = 1_000;
const ADDRESS_PATTERN = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

function decodeTargets(fields: Fields): RouteTarget[] {
  if (fields["split"] === undefined) {
    return [{ service: getString(fields, "service"), weight: 1 }];
  }
  return getList(fields, "split").map((each) => {
    const target = asFields(each, "split");
    return {
      service: getString(target, "service"),
      weight: getNumber(target, "weight"),
    };
  });
}

function decodeRoute(value: unknown): ServiceRoute {
  const fields = asFields(value, "route");
  const kind = ROUTE_KINDS.get(getString(fields, "kind"));
  if (kind === undefined) {
    throw new FieldError("kind", "one of idempotent, non_idempotent, stream");
  }
  return {
    name: getString(fields, "name"),
    host: getString(fields, "host").toLowerCase(),
    prefix: getString(fields, "prefix"),
    kind,
    targets: decodeTargets(fields),
    timeoutMs: getNumber(fields, "timeoutMs"),
    // The platform calls the latency objective a goal.
    objectiveMs: tryNumber(fields, "goalMs") ?? getNumber(fields, "timeoutMs"),
    maxAttempts: Math.max(1, tryNumber(fields, "maxAttempts") ?? 1),
    priority: tryNumber(fields, "priority") ?? 0,
    isPublic: getFlag(fields, "public"),
    isSticky: getFlag(fields, "sticky"),
    isResumable: getFlag(fields, "resumable"),
  };
}

function decodeService(value: unknown): RoutedService {
  const fields = asFields(value, "service");
  return {
    name: getString(fields, "name"),
    coldStartMs: (tryNumber(fields, "coldStartS") ?? 0) * MS_PER_SECOND,
    coldRequestsPerSecond: tryNumber(fields, "coldPerS") ?? 0,
    isEngine: fields["engine"] !== undefined,
  };
}

function decodeWorkspace(value: unknown): KeyedWorkspace {
  const fields = asFields(value, "tenant");
  return {
    name: getString(fields, "name"),
    keys: getList(fields, "apiKeys").map(String),
    priority: tryNumber(fields, "priority"),
  };
}

/**
 * Decodes the operators' configuration; throws `FieldError` if a field is
 * missing or malformed.
 */
export function decodeConfiguration(value: unknown): RoutingConfiguration {
  const fields = asFields(value, "configuration");
  const limits = asFields(fields["limits"], "limits");
  return {
    version: getNumber(fields, "version"),
    routes: getList(fields, "routes").map(decodeRoute),
    services: getList(fields, "services").map(decodeService),
    limits: {
      maxHeaderBytes: getNumber(limits, "maxHeaderBytes"),
      maxBodyBytes: getNumber(limits, "maxBodyBytes"),
      headerTimeoutMs: getNumber(limits, "headerTimeoutMs"),
      idleTimeoutMs: getNumber(limits, "idleTimeoutMs"),
    },
    workspaces: fields["tenants"] === undefined
      ? undefined
      : getList(fields, "tenants").map(decodeWorkspace),
  };
}

function decodeState(fields: Fields): UpstreamEntry["state"] {
  const state = getString(fields, "state");
  if (state === "ready") return "ready";
  if (state === "draining") return "leaving";
  throw new FieldError("state", "one of ready, draining");
}

function getAddress(fields: Fields): string {
  const address = getString(fields, "address");
  if (ADDRESS_PATTERN.test(address)) return address;
  throw new FieldError("address", "an ip:port address");
}

/**
 * Decodes the entry of an upstream; throws `FieldError` if a field is missing
 * or malformed.
 */
export function decodeUpstream(id: string, value: unknown): UpstreamEntry {
  const fields = asFields(value, "upstream");
  // Not used, but a document without it was not written by an upstream.
  getNumber(fields, "seq");
  const bornAt = tryNumber(fields, "born");
  if (bornAt !== undefined && !Number.isInteger(bornAt)) {
    throw new FieldError("born", "an integer");
  }
  return {
    id,
    service: getString(fields, "service"),
    address: getAddress(fields),
    failureDomain: getString(fields, "zone"),
    slots: Math.max(1, getNumber(fields, "slots")),
    state: decodeState(fields),
    coldLeftMs: getNumber(fields, "coldLeftMs"),
    softwareVersion: getString(fields, "version"),
    bornAt,
  };
}

/**
 * Decodes the start time that an engine states in a report of itself, in
 * milliseconds of the wall clock; undefined if the report has none.
 */
export function decodeReportedStart(report: string): number | undefined {
  try {
    return tryNumber(asFields(JSON.parse(report), "report"), "born");
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
  const versions = getList(asFields(value, "versions"), "versions");
  return {
    service,
    versions: versions.map((each) => {
      const fields = asFields(each, "version");
      return {
        version: getString(fields, "version"),
        goneAt: tryNumber(fields, "goneAt"),
      };
    }),
  };
}

/** An item of the store as it was read. */
export interface RawItem {
  readonly key: string;
  /** Standard base64; undefined if the item was deleted. */
  readonly value: string | undefined;
}

function parseValue(value: string): unknown {
  return JSON.parse(Buffer.from(value, "base64").toString("utf8"));
}

/** Returns the rest of `key` after `prefix`; undefined without that prefix. */
function trySuffix(key: string, prefix: string): string | undefined {
  return key.startsWith(prefix) ? key.slice(prefix.length) : undefined;
}

/** Decodes an item; undefined if its key is of no use to a router. */
function decodeChange({ key, value }: RawItem): StoreChange | undefined {
  if (key === KEYS.configuration && value !== undefined) {
    const configuration = decodeConfiguration(parseValue(value));
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
    const fields = asFields(parseValue(value), "router");
    const linkMbps = tryNumber(fields, "linkMbps") ?? 0;
    return { kind: "router", name, address: getAddress(fields), linkMbps };
  }
  const service = trySuffix(key, KEYS.versions);
  if (service !== undefined && value !== undefined) {
    const record = decodeVersionRecord(service, parseValue(value));
    return { kind: "versions", record };
  }
  const id = trySuffix(key, KEYS.upstreams);
  if (id === undefined) return undefined;
  if (value === undefined) return { kind: "upstream-gone", id };
  return { kind: "upstream", entry: decodeUpstream(id, parseValue(value)) };
}

/**
 * Decodes an item into the changes that it causes. A malformed item yields an
 * `unreadable` change; a malformed upstream entry also removes the upstream,
 * because its earlier entry is no longer valid.
 */
export function decodeItem(item: RawItem): StoreChange[] {
  try {
    const change = decodeChange(item);
    return change === undefined ? [] : [change];
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    const unreadable = { kind: "unreadable" as const, key: item.key, reason };
    const id = trySuffix(item.key, KEYS.upstreams);
    if (id === undefined) return [unreadable];
    return [unreadable, { kind: "upstream-gone", id }];
  }
}
