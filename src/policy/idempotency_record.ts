/**
 * Schema, encoding and key of the record of a non-idempotent call in the
 * key-value service.
 *
 * The lease on the record's key determines how long the record is retained. A
 * repeat of the request after that time runs the call again. The lease must
 * therefore be much longer than the time over which callers repeat requests,
 * and it must not end when a router stops.
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { type Static, Type } from "@sinclair/typebox";
import { Ajv } from "ajv";

/** Maximum size of a body that is stored for replay, in bytes before base64. */
export const MAX_STORED_BODY_BYTES = 262_144;

const strict = { additionalProperties: false };
const TextSchema = Type.String({ minLength: 1, maxLength: 256 });

const StoredResponseSchema = Type.Object({
  status: Type.Integer({ minimum: 100, maximum: 599 }),
  headers: Type.Record(Type.String(), Type.String()),
  /** Base64; absent if the body exceeds `MAX_STORED_BODY_BYTES`. */
  body: Type.Optional(
    Type.String({ maxLength: Math.ceil(MAX_STORED_BODY_BYTES / 3) * 4 }),
  ),
}, strict);

const commonFields = {
  /** Unique id of the attempt that wrote the record. */
  id: TextSchema,
  /** Digest of the request, from `getRequestDigest`. */
  digest: TextSchema,
  /** Name of the router that made the attempt, with its incarnation. */
  router: TextSchema,
  /** Wall-clock time of the attempt, in milliseconds since the epoch. */
  at: Type.Number(),
};

const CallSchema = Type.Union([
  /** The request may have been sent; the state in which a record is created. */
  Type.Object({ ...commonFields, state: Type.Literal("sent") }, strict),
  /** The request may have run, and its outcome will stay unknown. */
  Type.Object({ ...commonFields, state: Type.Literal("unknown") }, strict),
  Type.Object({
    ...commonFields,
    state: Type.Literal("done"),
    answer: StoredResponseSchema,
  }, strict),
]);

/** Decoded record of a non-idempotent call. */
export type CallRecord = Static<typeof CallSchema>;
/** The stored response that a repeat of the call receives. */
export type StoredResponse = Static<typeof StoredResponseSchema>;

const validate = new Ajv().compile<CallRecord>(CallSchema);

function hashParts(parts: readonly (string | Uint8Array)[]): string {
  const hasher = createHash("sha256");
  for (const part of parts) {
    // Length prefixes give ("a", "bc") and ("ab", "c") different hashes.
    const bytes = typeof part === "string"
      ? new TextEncoder().encode(part)
      : part;
    hasher.update(`${bytes.byteLength}:`).update(bytes);
  }
  return hasher.digest("hex");
}

/** Returns the key of a call's record; the idempotency key is hashed. */
export function getCallKey(
  idempotencyKey: string,
  { workspace, service }: { workspace: string; service: string },
): string {
  return `idempotency/${workspace}/${service}/${hashParts([idempotencyKey])}`;
}

/** Returns the digest that distinguishes a repeat from a different request. */
export function getRequestDigest(
  { method, path, body }: { method: string; path: string; body: Uint8Array },
): string {
  return hashParts([method, path, body]);
}

/** Creates the response to store, without a body over `MAX_STORED_BODY_BYTES`. */
export function createStoredResponse(
  status: number,
  { headers, body }: {
    headers: Readonly<Record<string, string>>;
    body: Uint8Array;
  },
): StoredResponse {
  const kept = { status, headers: { ...headers } };
  if (body.byteLength > MAX_STORED_BODY_BYTES) return kept;
  return { ...kept, body: Buffer.from(body).toString("base64") };
}

/** Encodes a record as the value of its key. */
export function encodeCallRecord(call: CallRecord): string {
  return JSON.stringify(call);
}

/** Decodes a record from the value of its key; undefined if malformed. */
export function tryDecodeCallRecord(value: string): CallRecord | undefined {
  try {
    const call: unknown = JSON.parse(value);
    return validate(call) ? call : undefined;
  } catch {
    return undefined;
  }
}
