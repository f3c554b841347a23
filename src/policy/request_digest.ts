/**
 * Identifies requests that are the same, in whatever router they arrive.
 */
import { createHash } from "node:crypto";

/** What makes two requests of callers the same one. */
export interface RequestIdentity {
  /** Name of the caller's workspace; undefined on routes without keys. */
  readonly workspace: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array | undefined;
}

/** Length of a digest, in characters of six bits each. */
const DIGEST_LENGTH = 22;

/**
 * Returns a digest of a request. It is cryptographic, since a caller who could
 * produce the digest of another workspace's request could get that refused.
 */
export function createRequestDigest(
  { workspace, method, host, target, body }: RequestIdentity,
): string {
  const hash = createHash("sha256");
  // JSON keeps the fields apart, whatever they contain.
  hash.update(JSON.stringify([workspace ?? null, method, host, target]));
  if (body !== undefined) hash.update(body);
  return hash.digest("base64url").slice(0, DIGEST_LENGTH);
}

/**
 * Returns what identifies a stream in all routers: the workspace of its caller,
 * and the id of the request that brought its first event.
 */
export function createStreamKey(
  workspace: string | undefined,
  requestId: string,
): string {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([workspace ?? null, requestId]));
  return hash.digest("base64url").slice(0, DIGEST_LENGTH);
}
