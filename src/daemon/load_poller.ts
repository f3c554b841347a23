/**
 * Polls upstreams for their load.
 */
import type { Upstream } from "../config/manifest.ts";
import type { HttpClient } from "../transport/http_client.ts";
import { parseLoadBody } from "../transport/load_header.ts";
import type { LoadReport } from "../types.ts";

/** Options of `createLoadPoller`. */
export interface LoadPollerOptions {
  readonly client: HttpClient;
  /** Limit of a whole poll; 1000 ms by default. */
  readonly timeoutMs?: number;
  /** Counts the payload bytes of the polls. */
  onBytes(direction: "in" | "out", bytes: number): void;
}

const TIMEOUT_MS = 1_000;
/** Counted size of a poll: request line, headers and blank line. */
const REQUEST_BYTES = 80;
/** Counted size of the response head: status line, headers and blank line. */
const RESPONSE_HEAD_BYTES = 190;

/**
 * Creates a function that requests the load of one upstream. It resolves with
 * undefined if the upstream does not respond or the response is not valid.
 */
export function createLoadPoller(
  { client, timeoutMs = TIMEOUT_MS, onBytes }: LoadPollerOptions,
): (upstream: Upstream) => Promise<LoadReport | undefined> {
  return async function poll({ address }) {
    onBytes("out", REQUEST_BYTES);
    const sent = await client.send({
      address,
      method: "GET",
      path: "/v1/load",
      headers: {},
      body: undefined,
      firstByteTimeoutMs: timeoutMs,
      betweenBytesTimeoutMs: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    if (sent.err) return undefined;
    try {
      const text = await sent.val.body.text();
      onBytes("in", RESPONSE_HEAD_BYTES + text.length);
      if (sent.val.status !== 200) return undefined;
      return parseLoadBody(JSON.parse(text));
    } catch {
      return undefined;
    }
  };
}
