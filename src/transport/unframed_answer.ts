/**
 * Answers that end with their connection.
 *
 * An upstream's answer without a length may have been cut short, which nobody
 * can tell from its bytes. It goes on to the caller without a length too, so
 * that it does not look more complete than it is.
 */
import type { ServerResponse } from "node:http";

/** Makes `response`, whose head is not written yet, end with its connection. */
export function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.removeHeader("content-length");
}
