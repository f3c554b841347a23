/**
 * Record of who may give orders to an upstream, in the key-value service.
 *
 * The record is never deleted, so that the fencing number only grows.
 */
import { type Static, Type } from "@sinclair/typebox";
import { Ajv } from "ajv";

const HolderSchema = Type.Object({
  /** Fencing number; one more with each new holder. */
  fence: Type.Integer({ minimum: 1 }),
  /** Unique id of the acquisition, never used again. */
  id: Type.String({ minLength: 1, maxLength: 256 }),
  /** Longest lease that this holder or any before it counts on. */
  leaseMs: Type.Number({ exclusiveMinimum: 0 }),
}, { additionalProperties: false });

/** Who may give orders to an upstream. */
export type Holder = Static<typeof HolderSchema>;

/** An order as an upstream takes it, without its fencing number. */
export interface Order {
  /** The same for every router that wants the same change. */
  readonly id: string;
  readonly kind: "load-model" | "load-adapter" | "set-role";
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: string;
}

const validate = new Ajv().compile<Holder>(HolderSchema);

/** Key of an upstream's record. */
export function getHolderKey(service: string, upstream: string): string {
  return `orders/${service}/${upstream}`;
}

/** Writes a record as the value of its key. */
export function encodeHolder(holder: Holder): string {
  return JSON.stringify(holder);
}

/** Reads a record back from the value of its key; undefined if malformed. */
export function tryDecodeHolder(value: string): Holder | undefined {
  try {
    const holder: unknown = JSON.parse(value);
    return validate(holder) ? holder : undefined;
  } catch {
    return undefined;
  }
}
