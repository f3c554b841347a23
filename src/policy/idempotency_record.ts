/**
 * Record of a non-idempotent call in the key-value service, and its key.
 *
 * The record outlives the call by the retention that the lease on its key
 * gives it. A repeat after the retention runs again, so the lease has to be
 * much longer than any caller repeats; it is not tied to a router's life.
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { type Static, Type } from "@sinclair/typebox";
import { Ajv } from "ajv";

/** Largest body that is kept for a replay, in bytes before base64. */
export const MAX_KEPT_BODY_BYTES = 262_144;

const strict = { additionalProperties: false };
const TextSchema = Type.String({ minLength: 1, maxLength: 256 });

const AnswerSchema = Type.Object({
  status: Type.Integer({ minimum: 100, maximum: 599 }),
  headers: Type.Record(Type.String(), Type.String()),
  /** Base64; absent if the body was too large to keep. */
  body: Type.Optional(
    Type.String({ maxLength: Math.ceil(MAX_KEPT_BODY_BYTES / 3) * 4 }),
  ),
}, strict);

const common = {
  /** Unique id of the attempt that wrote the record. */
  id: TextSchema,
  /** Digest of the request that the key stands for. */
  digest: TextSchema,
  /** Router that made the attempt, with its start. */
  router: TextSchema,
  /** Wall-clock time of the attempt, milliseconds since the epoch. */
  at: Type.Number(),
};

const CallSchema = Type.Union([
  /** The attempt may have been sent, from the record's creation on. */
  Type.Object({ ...common, state: Type.Literal("sent") }, strict),
  /** The attempt may have run; nobody will learn whether it did. */
  Type.Object({ ...common, state: Type.Literal("unknown") }, strict),
  Type.Object({
    ...common,
    state: Type.Literal("done"),
    answer: AnswerSchema,
  }, strict),
]);

/** A non-idempotent call, as its record says. */
export type Call = Static<typeof CallSchema>;
/** The answer that a repeat of the call gets. */
export type Answer = Static<typeof AnswerSchema>;

const validate = new Ajv().compile<Call>(CallSchema);

function hash(parts: readonly (string | Uint8Array)[]): string {
  const sum = createHash("sha256");
  for (const part of parts) {
    // Lengths keep ("a", "bc") apart from ("ab", "c").
    const bytes = typeof part === "string"
      ? new TextEncoder().encode(part)
      : part;
    sum.update(`${bytes.byteLength}:`).update(bytes);
  }
  return sum.digest("hex");
}

/** Key of a call's record. */
export function getCallKey(
  idempotencyKey: string,
  { workspace, service }: { workspace: string; service: string },
): string {
  return `idempotency/${workspace}/${service}/${hash([idempotencyKey])}`;
}

/** Digest by which a repeat is told from another request. */
export function getRequestDigest(
  { method, path, body }: { method: string; path: string; body: Uint8Array },
): string {
  return hash([method, path, body]);
}

/** Creates the answer to keep; a body above the bound is left out. */
export function createAnswer(
  status: number,
  { headers, body }: {
    headers: Readonly<Record<string, string>>;
    body: Uint8Array;
  },
): Answer {
  const kept = { status, headers: { ...headers } };
  if (body.byteLength > MAX_KEPT_BODY_BYTES) return kept;
  return { ...kept, body: Buffer.from(body).toString("base64") };
}

/** Writes a record as the value of its key. */
export function encodeCall(call: Call): string {
  return JSON.stringify(call);
}

/** Reads a record back from the value of its key; undefined if malformed. */
export function tryDecodeCall(value: string): Call | undefined {
  try {
    const call: unknown = JSON.parse(value);
    return validate(call) ? call : undefined;
  } catch {
    return undefined;
  }
}
