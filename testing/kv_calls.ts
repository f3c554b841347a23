/**
 * The calls of the key-value stand-in. Each function takes a request of etcd's v3
 * JSON gateway, applies it to the store and returns the response.
 */
import { Buffer } from "node:buffer";
import type { MemoryStore, StoredItem, StoreWrite } from "./kv_store.ts";
import {
  asId,
  asKey,
  asList,
  asNumber,
  asObject,
  asRange,
  createBadRequest,
  formatHeader,
  formatItem,
  WireError,
  type WireObject,
} from "./kv_wire.ts";

/** Maximum size of a value that the service accepts. */
const MAX_VALUE_BYTES = 1_048_576;

/** Handles a range request. */
export function range(store: MemoryStore, request: WireObject): WireObject {
  const found = store.range(asRange(request));
  const limit = asNumber(request.limit);
  const returned = limit > 0 ? found.slice(0, limit) : found;
  return {
    header: formatHeader(store),
    ...(returned.length > 0 && { kvs: returned.map(formatItem) }),
    ...(returned.length < found.length && { more: true }),
    ...(found.length > 0 && { count: String(found.length) }),
  };
}

function toPutWrite(store: MemoryStore, request: WireObject): StoreWrite {
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

/** Handles a put request. */
export function put(store: MemoryStore, request: WireObject): WireObject {
  store.apply([toPutWrite(store, request)]);
  return { header: formatHeader(store) };
}

/** Handles a request to delete a range. */
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

function isConditionMet(store: MemoryStore, compare: WireObject): boolean {
  const [item] = store.range(asRange(compare));
  const [actual, expected] = getOperands(item, compare);
  switch (compare.result ?? "EQUAL") {
    case "EQUAL":
      return actual === expected;
    case "NOT_EQUAL":
      return actual !== expected;
    case "GREATER":
      return actual > expected;
    case "LESS":
      return actual < expected;
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

function toWrites(store: MemoryStore, operation: WireObject): StoreWrite[] {
  if (operation.requestPut !== undefined) {
    return [toPutWrite(store, asObject(operation.requestPut))];
  }
  if (operation.requestDeleteRange !== undefined) {
    const request = asObject(operation.requestDeleteRange);
    return [{ kind: "delete", range: asRange(request) }];
  }
  if (operation.requestRange !== undefined) return [];
  throw createBadRequest("unknown operation");
}

/** Returns whether either branch of a transaction contains a write. */
export function isWritingTxn(request: WireObject): boolean {
  return [...asList(request.success), ...asList(request.failure)].some(
    (operation) => operation.requestRange === undefined,
  );
}

/**
 * Handles a transaction. Reads run after all writes of the chosen branch; etcd
 * gives the same result only if the reads are the last operations.
 */
export function txn(store: MemoryStore, request: WireObject): WireObject {
  const succeeded = asList(request.compare).every((compare) =>
    isConditionMet(store, compare)
  );
  const operations = asList(succeeded ? request.success : request.failure);
  const counts = store.apply(
    operations.flatMap((operation) => toWrites(store, operation)),
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

/** Handles a request to grant a lease. */
export function grantLease(
  store: MemoryStore,
  request: WireObject,
): WireObject {
  const ttlSeconds = asNumber(request.TTL);
  if (ttlSeconds < 1) throw createBadRequest("too small TTL");
  const id = store.grantLease(ttlSeconds);
  return { header: formatHeader(store), ID: id, TTL: String(ttlSeconds) };
}

/** Handles a request to renew a lease; omits `TTL` if it has expired. */
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

/** Handles a request to revoke a lease. */
export function revokeLease(
  store: MemoryStore,
  request: WireObject,
): WireObject {
  if (!store.revokeLease(asId(request.ID))) {
    throw new WireError(404, 5, "requested lease not found");
  }
  return { header: formatHeader(store) };
}
