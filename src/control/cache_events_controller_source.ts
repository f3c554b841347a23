/**
 * Reads cache events of engines over HTTP and counts the transferred bytes.
 */
import { Buffer } from "node:buffer";
import { Value } from "@sinclair/typebox/value";
import type { Upstream } from "../config/manifest.ts";
import type { HttpClient } from "../transport/http_client.ts";
import {
  type CacheEventPage,
  CacheEventPageSchema,
} from "./cache_events_controller_cursor.ts";

/** Result and cost of a read. */
export interface EventReadResult {
  /** Undefined if the response is missing, invalid or over the size limit. */
  readonly page: CacheEventPage | undefined;
  /** Estimated bytes of headers and bodies in both directions. */
  readonly bytes: number;
}

/** Reads pages of cache events; failures yield an undefined page. */
export interface CacheEventSource {
  read(
    upstream: Upstream,
    after: number,
    options: { maxBytes: number },
  ): Promise<EventReadResult>;
}

/** Options of `createCacheEventSource`. */
export interface CacheEventSourceOptions {
  readonly client: HttpClient;
  /** Timeout of a read, in milliseconds. */
  readonly timeoutMs?: number;
  /** Counts the estimated bytes of headers and bodies. */
  onBytes(direction: "in" | "out", bytes: number): void;
}

const TIMEOUT_MS = 2_000;
/** Estimated size of the request line, headers and blank line. */
const REQUEST_BYTES = 110;
/** Estimated size of the status line, headers and blank line. */
const RESPONSE_HEAD_BYTES = 190;

/** Estimated bytes of a read without its events, in both directions. */
export const READ_OVERHEAD_BYTES = 370;

/** Creates a source that sends `GET /v1/cache-events` to engines. */
export function createCacheEventSource(
  { client, timeoutMs = TIMEOUT_MS, onBytes }: CacheEventSourceOptions,
): CacheEventSource {
  return {
    async read({ address }, after, { maxBytes }) {
      onBytes("out", REQUEST_BYTES);
      const sent = await client.send({
        address,
        method: "GET",
        path: `/v1/cache-events?after=${after}`,
        headers: {},
        body: undefined,
        firstByteTimeoutMs: timeoutMs,
        betweenBytesTimeoutMs: timeoutMs,
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (sent.err) return { page: undefined, bytes: REQUEST_BYTES };
      const { text, size } = await readText(sent.val.body, maxBytes);
      onBytes("in", RESPONSE_HEAD_BYTES + size);
      const page = sent.val.status === 200 ? parsePage(text) : undefined;
      return { page, bytes: REQUEST_BYTES + RESPONSE_HEAD_BYTES + size };
    },
  };
}

/**
 * Reads a body of at most `maxBytes`; returns an empty text for a longer one.
 * Returning from within the loop closes the connection.
 */
async function readText(
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<{ text: string; size: number }> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
      size += chunk.length;
      if (size > maxBytes) return { text: "", size };
    }
  } catch {
    return { text: "", size };
  }
  return { text: Buffer.concat(chunks).toString("utf8"), size };
}

function parsePage(text: string): CacheEventPage | undefined {
  try {
    const page: unknown = JSON.parse(text);
    return Value.Check(CacheEventPageSchema, page) ? page : undefined;
  } catch {
    return undefined;
  }
}
