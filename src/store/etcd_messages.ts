/**
 * Messages of etcd's v3 JSON gateway: their schemas, and conversions between
 * them and the types of the key-value interface.
 *
 * Keys and values are base64, 64-bit integers are strings, and a field with its
 * default value is omitted.
 */
import { Buffer } from "node:buffer";
import { type Static, Type } from "@sinclair/typebox";
import type { Item } from "./key_value.ts";

const Int64Schema = Type.Optional(Type.String({ pattern: "^-?[0-9]+$" }));
const HeaderSchema = Type.Object({ revision: Int64Schema });

const KvSchema = Type.Object({
  key: Type.String(),
  value: Type.Optional(Type.String()),
  "mod_revision": Int64Schema,
});

/** Response to a range request. */
export const RangeResponseSchema = Type.Object({
  header: HeaderSchema,
  kvs: Type.Optional(Type.Array(KvSchema)),
});

/** Response to a transaction whose failure branch reads the key. */
export const TxnResponseSchema = Type.Object({
  header: HeaderSchema,
  succeeded: Type.Optional(Type.Boolean()),
  responses: Type.Optional(Type.Array(Type.Object({
    "response_range": Type.Optional(Type.Object({
      kvs: Type.Optional(Type.Array(KvSchema)),
    })),
  }))),
});

/** Response to a lease grant. */
export const LeaseGrantResponseSchema = Type.Object({
  ID: Type.String(),
});

/** Response to a lease keep-alive; a missing TTL means that it has expired. */
export const LeaseKeepAliveResponseSchema = Type.Object({
  result: Type.Object({ TTL: Int64Schema }),
});

/** One line of a watch stream. */
export const WatchLineSchema = Type.Object({
  result: Type.Object({
    canceled: Type.Optional(Type.Boolean()),
    "compact_revision": Int64Schema,
    events: Type.Optional(Type.Array(Type.Object({
      type: Type.Optional(Type.String()),
      kv: KvSchema,
    }))),
  }),
});

/** A key-value pair of a response. */
export type Kv = Static<typeof KvSchema>;
/** One line of a watch stream. */
export type WatchLine = Static<typeof WatchLineSchema>;

/** Encodes text as base64 of its UTF-8 bytes. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes base64 of UTF-8 bytes. */
export function decodeBase64(text: string | undefined): string {
  return Buffer.from(text ?? "", "base64").toString("utf8");
}

/**
 * Encodes the start of a range. etcd rejects an empty key, so an empty start is
 * sent as a zero byte, the lowest key.
 */
export function encodeRangeStart(key: string): string {
  return encodeBase64(key === "" ? "\0" : key);
}

/**
 * Encodes the exclusive end of the range of keys with `prefix`. For an empty
 * prefix this is a zero byte, which etcd reads as the end of the key space.
 */
export function encodePrefixEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, "utf8");
  // UTF-8 has no byte 0xff, so the last byte can always be incremented.
  const lastIndex = bytes.length - 1;
  if (lastIndex < 0) return Buffer.from([0]).toString("base64");
  bytes[lastIndex]!++;
  return bytes.toString("base64");
}

/** Parses a 64-bit integer; a missing field is 0. */
export function parseInt64(text: string | undefined): number {
  return Number(text ?? 0);
}

/** Converts a key-value pair of a response. */
export function toItem(kv: Kv): Item {
  return {
    key: decodeBase64(kv.key),
    value: decodeBase64(kv.value),
    revision: parseInt64(kv.mod_revision),
  };
}
