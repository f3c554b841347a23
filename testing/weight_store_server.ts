/**
 * Stand-in for the platform's weight store: returns the digest, size and
 * transfer rate of a version's weights, counts fetches and refuses those above
 * its rate limit.
 *
 * Every model and version exists. `GET /stats` returns `{fetches, refused}`.
 */
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import { closeServer, listen, sendJson } from "./stand_in_http.ts";
import { RateLimit } from "./rate_limit.ts";

/** Options of the stand-in weight store. */
export interface WeightStoreServerOptions {
  port?: number;
  fetchesPerMinute?: number;
  sizeBytes?: number;
  bytesPerSecond?: number;
  /** Monotonic clock, in milliseconds. */
  now?: () => number;
}

/** Number of accepted and refused fetches since the start. */
export interface WeightStoreStats {
  fetches: number;
  refused: number;
}

/** A running stand-in weight store. */
export interface WeightStoreServer {
  /** Address that it listens on, `ip:port`. */
  readonly address: string;
  getStats(): WeightStoreStats;
  close(): Promise<void>;
}

const DEFAULT_FETCHES_PER_MINUTE = 60;
const DEFAULT_SIZE_BYTES = 1_000_000;
const DEFAULT_BYTES_PER_SECOND = 10_000_000;
const SECONDS_PER_MINUTE = 60;
const WEIGHTS_PATH = /^\/v1\/weights\/[^/]+\/[^/]+$/;

function getDigest(path: string): string {
  return `sha256:${createHash("sha256").update(path).digest("hex")}`;
}

/** Starts a stand-in weight store on the loopback address. */
export async function createWeightStoreServer(
  {
    port = 0,
    fetchesPerMinute = DEFAULT_FETCHES_PER_MINUTE,
    sizeBytes = DEFAULT_SIZE_BYTES,
    bytesPerSecond = DEFAULT_BYTES_PER_SECOND,
    now,
  }: WeightStoreServerOptions = {},
): Promise<WeightStoreServer> {
  const stats = { fetches: 0, refused: 0 };
  const limit = new RateLimit({
    perSecond: fetchesPerMinute / SECONDS_PER_MINUTE,
    burst: fetchesPerMinute,
    now,
  });
  const server = createServer((request, response) => {
    const path = request.url ?? "";
    if (path === "/stats") return sendJson(response, 200, stats);
    if (path === "/v1/rate") {
      return sendJson(response, 200, { fetchesPerMinute });
    }
    if (!WEIGHTS_PATH.test(path)) return sendJson(response, 404, {});
    if (!limit.tryTake()) {
      stats.refused++;
      return sendJson(response, 429, { error: "too many fetches" });
    }
    stats.fetches++;
    const digest = getDigest(path);
    sendJson(response, 200, { digest, sizeBytes, bytesPerSecond });
  });
  const address = await listen(server, port);
  return {
    address,
    getStats: () => ({ ...stats }),
    close: () => closeServer(server),
  };
}
