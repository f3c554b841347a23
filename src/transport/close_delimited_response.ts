/**
 * Close-delimited responses (RFC 9112, section 6.3).
 *
 * Whether an upstream's response without a length is truncated can't be
 * determined from its bytes. It is sent to the caller without a length as well,
 * so that a truncated response does not appear complete.
 */
import type { ServerResponse } from "node:http";

/**
 * Makes `response` close-delimited. Must be called before its headers are
 * written.
 */
export function makeCloseDelimited(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.removeHeader("content-length");
}
