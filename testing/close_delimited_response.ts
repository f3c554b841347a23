/** Close-delimited responses (RFC 9112, section 6.3), as some upstreams send. */
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
