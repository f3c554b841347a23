/**
 * etcd's v3 JSON mapping: parses request fields and formats responses.
 *
 * Keys and values are base64, 64-bit integers are strings, and responses omit
 * fields with their default value. Requests may use either the camelCase or the
 * original field names.
 */
import { Buffer } from "node:buffer";
import type {
  KeyRange,
  MemoryStore,
  StoredItem,
  StoreEvent,
} from "./kv_store.ts";

/** A JSON object; the field names of requests are in camelCase. */
export type WireObject = { readonly [name: string]: unknown };

/** An error response of the gateway. */
export class WireError extends Error {
  /** HTTP status. */
  readonly status: number;
  /** gRPC status code. */
  readonly code: number;

  constructor(status: number, code: number, message: string) {
    super(message);
    this.status = status;
    this.code = code;
  }
}

/** Creates the error for a malformed request. */
export function createBadRequest(message: string): WireError {
  return new WireError(400, 3, message);
}

/** Converts every field name of a parsed request to camelCase, recursively. */
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

/** Reads an object; any other value gives an empty object. */
export function asObject(value: unknown): WireObject {
  if (typeof value !== "object" || value === null) return {};
  return value as WireObject;
}

/** Reads a list of objects; any other value gives an empty list. */
export function asList(value: unknown): WireObject[] {
  return Array.isArray(value) ? value.map(asObject) : [];
}

/**
 * Reads a 64-bit integer; an absent value gives 0.
 *
 * @throws {WireError} If it is not an integer that a double holds exactly.
 */
export function asNumber(value: unknown): number {
  const number = Number(value ?? 0);
  if (!Number.isSafeInteger(number)) throw createBadRequest("not an integer");
  return number;
}

/** Reads a 64-bit identifier as a string; an absent value gives "0". */
export function asId(value: unknown): string {
  return String(value ?? "0");
}

/** Decodes a base64 key; an absent value gives the empty key. */
export function asKey(value: unknown): string {
  return Buffer.from(String(value ?? ""), "base64").toString("latin1");
}

function toBase64(key: string): string {
  return Buffer.from(key, "latin1").toString("base64");
}

/** Reads the key range of a request. */
export function asRange(request: WireObject): KeyRange {
  const key = asKey(request.key);
  const end = asKey(request.rangeEnd);
  return end === "" ? { key } : { key, end };
}

/** Formats the header of a response. */
export function formatHeader(store: MemoryStore): Record<string, string> {
  return {
    "cluster_id": "1",
    "member_id": "1",
    "revision": String(store.revision),
    "raft_term": "1",
  };
}

/** Formats a stored key; omits fields with their default value. */
export function formatItem(item: StoredItem): Record<string, string> {
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

/** Formats an event of a watch. */
export function formatEvent(event: StoreEvent): Record<string, unknown> {
  const kv = formatItem(event.item);
  return event.kind === "delete" ? { type: "DELETE", kv } : { kv };
}
