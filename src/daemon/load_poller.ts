/**
 * Asks upstreams for their load.
 */
import type { Upstream } from "../config/manifest.ts";
import type { HttpClient } from "../transport/http_client.ts";
import { parseLoadBody } from "../transport/load_header.ts";
import type { LoadReport } from "../types.ts";

/** Options of a poller. */
export interface LoadPollerOptions {
  readonly client: HttpClient;
  readonly timeoutMs?: number;
  /** Counts the payload bytes of the polls. */
  onBytes(direction: "in" | "out", bytes: number): void;
}

const TIMEOUT_MS = 1_000;
/** Request line, headers and blank line of a poll. */
const REQUEST_BYTES = 80;
/** Status line, headers and blank line of its answer. */
const ANSWER_HEAD_BYTES = 190;

/** Creates the poll of one upstream; undefined if it does not answer. */
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
      onBytes("in", ANSWER_HEAD_BYTES + text.length);
      if (sent.val.status !== 200) return undefined;
      return parseLoadBody(JSON.parse(text));
    } catch {
      return undefined;
    }
  };
}
