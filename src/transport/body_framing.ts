/** How the end of a response's body is told (RFC 9112, section 6.3). */
import type { IncomingHttpHeaders } from "node:http";

const METHOD_HEAD = "HEAD";
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** What tells whether a response may have a body. */
export interface ResponseKind {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
}

/** Whether a final response may have a body. */
export function mayHaveBody({ method, status }: ResponseKind): boolean {
  return method !== METHOD_HEAD && !BODILESS_STATUSES.has(status);
}

/**
 * Whether a response tells its end itself. If not, its body lasts until the
 * connection is closed, and can't be told from one that was cut off.
 */
export function isFramed(
  { headers, ...kind }: ResponseKind & { headers: IncomingHttpHeaders },
): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined || !mayHaveBody(kind);
}
