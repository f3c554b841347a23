/**
 * Schema, encoding and key of the record, in the key-value service, of the
 * router that may send orders to an upstream.
 *
 * The record is never deleted, so that the fencing number never decreases.
 */
import { type Static, Type } from "@sinclair/typebox";
import { Ajv } from "ajv";

const HolderSchema = Type.Object({
  /** Fencing number, incremented by each new holder. */
  fence: Type.Integer({ minimum: 1 }),
  /** Unique id of the acquisition; never reused. */
  id: Type.String({ minLength: 1, maxLength: 256 }),
  /** Longest lease of this holder and all previous ones, in milliseconds. */
  leaseMs: Type.Number({ exclusiveMinimum: 0 }),
}, { additionalProperties: false });

/** Decoded record of the router that may send orders to an upstream. */
export type Holder = Static<typeof HolderSchema>;

/** An order as sent to an upstream, without its fencing number. */
export interface Order {
  /** Id of the order; the same for all routers that request the same change. */
  readonly id: string;
  readonly kind: "load-model" | "load-adapter" | "set-role";
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: string;
}

const validate = new Ajv().compile<Holder>(HolderSchema);

/** Returns the key of an upstream's record. */
export function getHolderKey(service: string, upstream: string): string {
  return `orders/${service}/${upstream}`;
}

/** Encodes a record as the value of its key. */
export function encodeHolder(holder: Holder): string {
  return JSON.stringify(holder);
}

/** Decodes a record from the value of its key; undefined if malformed. */
export function tryDecodeHolder(value: string): Holder | undefined {
  try {
    const holder: unknown = JSON.parse(value);
    return validate(holder) ? holder : undefined;
  } catch {
    return undefined;
  }
}
