/**
 * Proof that both ends of a control connection hold the fleet key.
 *
 * Each end sends a nonce and answers the other's with an HMAC-SHA-256 over
 * both nonces and its own name, so that a recorded proof is of no use.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";

const NONCE_BYTES = 16;

/** What both ends know before either proves itself. */
export interface HandshakeNonces {
  readonly client: string;
  readonly server: string;
}

/** Creates a nonce, hexadecimal. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/** Computes the proof of `name`, hexadecimal. */
export function proofOf(
  key: string,
  name: string,
  nonces: HandshakeNonces,
): string {
  return createHmac("sha256", key)
    .update(`${nonces.client}|${nonces.server}|${name}`)
    .digest("hex");
}

/** Compares two proofs in constant time. */
export function isSameProof(expected: string, actual: unknown): boolean {
  if (typeof actual !== "string") return false;
  if (actual.length !== expected.length) return false;
  return timingSafeEqual(Buffer.from(expected), Buffer.from(actual));
}

/** Token by which routers recognise each other's forwarded requests. */
export function forwardTokenOf(key: string): string {
  return createHmac("sha256", key).update("forward").digest("hex");
}
