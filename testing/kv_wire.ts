/**
 * etcd's v3 JSON mapping over the in-memory store.
 *
 * Keys and values are base64, 64-bit integers are strings, and fields that hold
 * their default are left out of answers. Requests may use either the camelCase
 * or the original field names.
 */
import { Buffer } from "node:buffer";
import type {
  KeyRange,
  MemoryStore,
  StoredItem,
  StoreEvent,
  StoreWrite,
} from "./kv_store.ts";

/** A JSON object of a request, its field names in camelCase. */
export type WireObject = { readonly [name: string]: unknown };

/** An error answer of the gateway. */
export class WireError extends Error {
  readonly status: number;
  /** gRPC status code. */
  readonly code: number;

  constructor(status: number, code: number, message: string) {
    super(message);
    this.status = status;
    this.code = code;
  }
}

/** Largest value that the service takes, in bytes. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Creates the answer to a malformed request. */
export function createBadRequest(message: string): WireError {
  return new WireError(400, 3, message);
}

/** Renames every field of a parsed request to camelCase. */
export function toCamelCase(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toCamelCase);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [
      name.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase()),
      toCamelCase(field),
    ]),
  );
}

function asObject(value: unknown): WireObject {
  if (typeof value !== "object" || value === null) return {};
  return value as WireObject;
}

function asList(value: unknown): WireObject[] {
  return Array.isArray(value) ? value.map(asObject) : [];
}

/** Reads a 64-bit integer that fits a double. */
export function asNumber(value: unknown): number {
  const number = Number(value ?? 0);
  if (!Number.isSafeInteger(number)) throw createBadRequest("not an integer");
  return number;
}

/** Reads a 64-bit identifier. */
export function asId(value: unknown): string {
  return String(value ?? "0");
}

function asKey(value: unknown): string {
  return Buffer.from(String(value ?? ""), "base64").toString("latin1");
}

function toBase64(key: string): string {
  return Buffer.from(key, "latin1").toString("base64");
}

/** Reads the range of a request. */
export function asRange(request: WireObject): KeyRange {
  const key = asKey(request.key);
  const end = asKey(request.rangeEnd);
  return end === "" ? { key } : { key, end };
}

/** Formats the header of an answer. */
export function formatHeader(store: MemoryStore): Record<string, string> {
  return {
    "cluster_id": "1",
    "member_id": "1",
    "revision": String(store.revision),
    "raft_term": "1",
  };
}

function formatItem(item: StoredItem): Record<string, string> {
  const fields = {
    "key": toBase64(item.key),
    "create_revision": String(item.createRevision),
    "mod_revision": String(item.modRevision),
    "version": String(item.version),
    "value": item.value,
    "lease": item.lease,
  };
  return Object.fromEntries(
    Object.entries(fields).filter(([, text]) => text !== "0" && text !== ""),
  );
}

/** Formats one event of a watch. */
export function formatEvent(event: StoreEvent): Record<string, unknown> {
  const kv = formatItem(event.item);
  return event.kind === "delete" ? { type: "DELETE", kv } : { kv };
}

/** Answers a range request. */
export function range(store: MemoryStore, request: WireObject): WireObject {
  const found = store.range(asRange(request));
  const limit = asNumber(request.limit);
  const kept = limit > 0 ? found.slice(0, limit) : found;
  return {
    header: formatHeader(store),
    ...(kept.length > 0 && { kvs: kept.map(formatItem) }),
    ...(kept.length < found.length && { more: true }),
    ...(found.length > 0 && { count: String(found.length) }),
  };
}

function asPut(store: MemoryStore, request: WireObject): StoreWrite {
  const value = String(request.value ?? "");
  const lease = asId(request.lease);
  const key = asKey(request.key);
  if (key === "") throw createBadRequest("key is not provided");
  if (Buffer.byteLength(value, "base64") > MAX_VALUE_BYTES) {
    throw createBadRequest("request is too large");
  }
  if (!store.hasLease(lease)) {
    throw new WireError(404, 5, "requested lease not found");
  }
  return { kind: "put", key, value, lease };
}

/** Answers a put request. */
export function put(store: MemoryStore, request: WireObject): WireObject {
  store.apply([asPut(store, request)]);
  return { header: formatHeader(store) };
}

/** Answers a request to delete a range. */
export function deleteRange(
  store: MemoryStore,
  request: WireObject,
): WireObject {
  const [count] = store.apply([{ kind: "delete", range: asRange(request) }]);
  return {
    header: formatHeader(store),
    ...(count! > 0 && { deleted: String(count) }),
  };
}

function isTrue(store: MemoryStore, compare: WireObject): boolean {
  const [item] = store.range(asRange(compare));
  const [actual, wanted] = getOperands(item, compare);
  switch (compare.result ?? "EQUAL") {
    case "EQUAL":
      return actual === wanted;
    case "NOT_EQUAL":
      return actual !== wanted;
    case "GREATER":
      return actual > wanted;
    case "LESS":
      return actual < wanted;
    default:
      throw createBadRequest("unknown compare result");
  }
}

function getOperands(
  item: StoredItem | undefined,
  compare: WireObject,
): [number, number] {
  switch (compare.target ?? "VERSION") {
    case "VERSION":
      return [item?.version ?? 0, asNumber(compare.version)];
    case "CREATE":
      return [item?.createRevision ?? 0, asNumber(compare.createRevision)];
    case "MOD":
      return [item?.modRevision ?? 0, asNumber(compare.modRevision)];
    default:
      throw createBadRequest("unknown compare target");
  }
}

function asWrite(store: MemoryStore, operation: WireObject): StoreWrite[] {
  if (operation.requestPut !== undefined) {
    return [asPut(store, asObject(operation.requestPut))];
  }
  if (operation.requestDeleteRange !== undefined) {
    const request = asObject(operation.requestDeleteRange);
    return [{ kind: "delete", range: asRange(request) }];
  }
  if (operation.requestRange !== undefined) return [];
  throw createBadRequest("unknown operation");
}

/** True if a transaction may write in either of its branches. */
export function isWritingTxn(request: WireObject): boolean {
  return [...asList(request.success), ...asList(request.failure)].some(
    (operation) => operation.requestRange === undefined,
  );
}

/**
 * Answers a transaction. Reads of the taken branch see its writes, as they do
 * in etcd when they come last.
 */
export function txn(store: MemoryStore, request: WireObject): WireObject {
  const succeeded = asList(request.compare).every((compare) =>
    isTrue(store, compare)
  );
  const operations = asList(succeeded ? request.success : request.failure);
  const counts = store.apply(
    operations.flatMap((operation) => asWrite(store, operation)),
  );
  const responses = operations.map((operation) => {
    if (operation.requestRange !== undefined) {
      return {
        "response_range": range(store, asObject(operation.requestRange)),
      };
    }
    const header = { revision: String(store.revision) };
    const count = counts.shift()!;
    if (operation.requestPut !== undefined) {
      return { "response_put": { header } };
    }
    return { "response_delete_range": { header, deleted: String(count) } };
  });
  return {
    header: formatHeader(store),
    ...(succeeded && { succeeded }),
    ...(responses.length > 0 && { responses }),
  };
}

/** Answers a request to grant a lease. */
export function grantLease(
  store: MemoryStore,
  request: WireObject,
): WireObject {
  const ttlSeconds = asNumber(request.TTL);
  if (ttlSeconds < 1) throw createBadRequest("too small TTL");
  const id = store.grantLease(ttlSeconds);
  return { header: formatHeader(store), ID: id, TTL: String(ttlSeconds) };
}

/** Answers a request to renew a lease; no `TTL` says that it had lapsed. */
export function renewLease(
  store: MemoryStore,
  request: WireObject,
): WireObject {
  const id = asId(request.ID);
  const ttlSeconds = store.renewLease(id);
  const result = {
    header: formatHeader(store),
    ID: id,
    ...(ttlSeconds > 0 && { TTL: String(ttlSeconds) }),
  };
  return { result };
}

/** Answers a request to revoke a lease. */
export function revokeLease(
  store: MemoryStore,
  request: WireObject,
): WireObject {
  if (!store.revokeLease(asId(request.ID))) {
    throw new WireError(404, 5, "requested lease not found");
  }
  return { header: formatHeader(store) };
}
