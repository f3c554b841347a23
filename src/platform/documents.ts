/**
 * Decodes what lies in the metadata store into the project's types.
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
} from "../routing/types.ts";
import {
  asFields,
  FieldFault,
  type Fields,
  getFlag,
  getList,
  getNumber,
  getText,
  tryNumber,
} from "./fields.ts";
import { KEYS } from "./names.ts";

const ROUTE_KINDS: ReadonlyMap<string, RouteKind> = new Map([
  ["idempotent", "idempotent"],
  ["non_idempotent", "non-idempotent"],
  ["stream", "stream"],
]);

const MS_PER_SECOND = 1_000;
const ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

function decodeTargets(fields: Fields): RouteTarget[] {
  if (fields["split"] === undefined) {
    return [{ service: getText(fields, "service"), weight: 1 }];
  }
  return getList(fields, "split").map((each) => {
    const target = asFields(each, "split");
    return {
      service: getText(target, "service"),
      weight: getNumber(target, "weight"),
    };
  });
}

function decodeRoute(value: unknown): ServiceRoute {
  const fields = asFields(value, "route");
  const kind = ROUTE_KINDS.get(getText(fields, "kind"));
  if (kind === undefined) throw new FieldFault("kind", "a known kind");
  return {
    name: getText(fields, "name"),
    host: getText(fields, "host").toLowerCase(),
    prefix: getText(fields, "prefix"),
    kind,
    targets: decodeTargets(fields),
    timeoutMs: getNumber(fields, "timeoutMs"),
    // The latency objective, which the platform's pages call a goal.
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
    name: getText(fields, "name"),
    coldStartMs: (tryNumber(fields, "coldStartS") ?? 0) * MS_PER_SECOND,
    coldRequestsPerSecond: tryNumber(fields, "coldPerS") ?? 0,
    isEngine: fields["engine"] !== undefined,
  };
}

function decodeWorkspace(value: unknown): KeyedWorkspace {
  const fields = asFields(value, "tenant");
  return {
    name: getText(fields, "name"),
    keys: getList(fields, "apiKeys").map(String),
    priority: tryNumber(fields, "priority"),
  };
}

/** Decodes the operators' configuration; throws `FieldFault`. */
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
  const state = getText(fields, "state");
  if (state === "ready") return "ready";
  if (state === "draining") return "leaving";
  throw new FieldFault("state", "a known state");
}

function getAddress(fields: Fields): string {
  const address = getText(fields, "address");
  if (ADDRESS.test(address)) return address;
  throw new FieldFault("address", "an address");
}

/** Decodes an upstream's entry; throws `FieldFault`. */
export function decodeUpstream(id: string, value: unknown): UpstreamEntry {
  const fields = asFields(value, "upstream");
  // Fields that are unused here still tell an upstream from another writer.
  getText(fields, "version");
  getNumber(fields, "seq");
  const bornAt = tryNumber(fields, "born");
  if (bornAt !== undefined && !Number.isInteger(bornAt)) {
    throw new FieldFault("born", "a whole number");
  }
  return {
    id,
    service: getText(fields, "service"),
    address: getAddress(fields),
    failureDomain: getText(fields, "zone"),
    slots: Math.max(1, getNumber(fields, "slots")),
    state: decodeState(fields),
    coldLeftMs: getNumber(fields, "coldLeftMs"),
    bornAt,
  };
}

/** An item of the store; `value` is undefined where it was deleted. */
export interface RawItem {
  readonly key: string;
  /** Standard base64. */
  readonly value: string | undefined;
}

function parseValue(value: string): unknown {
  return JSON.parse(Buffer.from(value, "base64").toString("utf8"));
}

function tail(key: string, prefix: string): string | undefined {
  return key.startsWith(prefix) ? key.slice(prefix.length) : undefined;
}

function decodeKnown({ key, value }: RawItem): StoreChange | undefined {
  if (key === KEYS.configuration && value !== undefined) {
    const configuration = decodeConfiguration(parseValue(value));
    return { kind: "configuration", configuration };
  }
  const failureDomain = tail(key, KEYS.domainsOut);
  if (failureDomain !== undefined) {
    const kind = value === undefined ? "domain-back" : "domain-out";
    return { kind, failureDomain };
  }
  const name = tail(key, KEYS.routers);
  if (name !== undefined) {
    if (value === undefined) return { kind: "router-gone", name };
    const fields = asFields(parseValue(value), "router");
    const linkMbps = tryNumber(fields, "linkMbps") ?? 0;
    return { kind: "router", name, address: getAddress(fields), linkMbps };
  }
  const id = tail(key, KEYS.upstreams);
  if (id === undefined) return undefined;
  if (value === undefined) return { kind: "upstream-gone", id };
  return { kind: "upstream", entry: decodeUpstream(id, parseValue(value)) };
}

/**
 * Decodes an item into the changes that it stands for. An entry that can't be
 * read names no upstream, whatever stood there before.
 */
export function decodeItem(item: RawItem): StoreChange[] {
  try {
    const change = decodeKnown(item);
    return change === undefined ? [] : [change];
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    const unreadable = { kind: "unreadable" as const, key: item.key, reason };
    const id = tail(item.key, KEYS.upstreams);
    if (id === undefined) return [unreadable];
    return [unreadable, { kind: "upstream-gone", id }];
  }
}
