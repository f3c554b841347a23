/**
 * Mutual authentication of both ends of a control connection by the fleet key.
 *
 * Each end sends a nonce and proves that it has the key with an HMAC-SHA-256
 * over both nonces and its own name. A recorded proof can't be replayed.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";

const NONCE_BYTES = 16;

/** Nonces of the two ends of a connection, in hexadecimal. */
export interface HandshakeNonces {
  readonly client: string;
  readonly server: string;
}

/** Creates a random nonce of 16 bytes, in hexadecimal. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

/** Computes the proof of the router `name`, in hexadecimal. */
export function computeProof(
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

/**
 * Derives from the fleet key the token that authenticates forwarded requests,
 * in hexadecimal.
 */
export function deriveForwardToken(key: string): string {
  return createHmac("sha256", key).update("forward").digest("hex");
}
