/**
 * Transfers the configuration in force between routers. It is too large for a
 * datagram, so it is served over HTTP at the router's peer address. It is
 * compressed because the routers' links may be slow.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, RequestListener } from "node:http";
import { promisify } from "node:util";
import { gunzip, gzipSync } from "node:zlib";
import { Err, Ok, type Result } from "ts-results/result";
import { checkConfiguration } from "../platform/checked_configuration.ts";
import { MAX_CONFIGURATION_BYTES } from "../platform/field_limits.ts";
import { parseJson } from "../platform/fields.ts";
import type { MemoryBudget } from "../policy/memory_budget.ts";
import type { RoutingConfiguration } from "../routing/types.ts";
import { createHttpJsonClient } from "../store/http_json.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { PRIVATE_HEADER_PREFIX } from "../transport/router_hop.ts";

/**
 * Reads the configuration of the router whose peer address is `address`,
 * `ip:port`; undefined if its version is not above `newerThan`. Returns a
 * `PlatformFailure` if the router does not answer or sends no valid
 * configuration.
 */
export type FetchConfiguration = (
  address: string,
  options?: {
    readonly newerThan?: number;
    /** Memory in which the header fields of the answer are counted. */
    readonly memory?: MemoryBudget;
  },
) => Promise<Result<RoutingConfiguration | undefined, PlatformFailure>>;

const CONFIGURATION_PATH = "/configuration";
/**
 * Version that the asking router has. A router without a newer one answers with
 * its version alone; older builds send the whole configuration.
 */
const NEWER_THAN_HEADER = `${PRIVATE_HEADER_PREFIX}newer-than`;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
/**
 * Short enough to read the store instead and still meet the bound on the time
 * until a change is applied.
 */
const TIMEOUT_MS = 800;

const gunzipAsync = promisify(gunzip);

/** Whether a request of another router is for the configuration. */
export function isConfigurationRequest({ url }: IncomingMessage): boolean {
  return url === CONFIGURATION_PATH;
}

/**
 * Creates a request listener that serves the result of `getConfiguration`, the
 * configuration in force. It answers 404 while that is undefined.
 */
export function createConfigurationHandler(
  getConfiguration: () => RoutingConfiguration | undefined,
): RequestListener {
  let cached: { version: number; body: string } | undefined;
  function getBody(configuration: RoutingConfiguration): string {
    const { version } = configuration;
    // Many routers request the same version at once.
    if (cached?.version !== version) {
      const gzip = gzipSync(JSON.stringify(configuration)).toString("base64");
      cached = { version, body: JSON.stringify({ gzip }) };
    }
    return cached.body;
  }
  return (request, response) => {
    const configuration = getConfiguration();
    if (!isConfigurationRequest(request) || configuration === undefined) {
      response.writeHead(STATUS_NOT_FOUND, { "content-length": "0" });
      response.end();
      return;
    }
    const { version } = configuration;
    const isKnown = Number(request.headers[NEWER_THAN_HEADER]) >= version;
    response.writeHead(STATUS_OK, { "content-type": "application/json" });
    response.end(
      isKnown ? JSON.stringify({ version }) : getBody(configuration),
    );
  };
}

/** Returns undefined if the answer is only the version of a known one. */
async function decompress(
  value: unknown,
): Promise<RoutingConfiguration | undefined> {
  const { gzip, version } = value as { gzip?: unknown; version?: unknown };
  if (gzip === undefined && typeof version === "number") return undefined;
  const bytes = await gunzipAsync(Buffer.from(String(gzip), "base64"), {
    maxOutputLength: MAX_CONFIGURATION_BYTES,
  });
  const configuration = parseJson(bytes.toString("utf8"), {
    name: "configuration",
    maxLength: MAX_CONFIGURATION_BYTES,
    dropsDeepValues: true,
  });
  return checkConfiguration(configuration);
}

/** Reads the configuration of another router over HTTP. */
export const fetchConfiguration: FetchConfiguration = async (
  address,
  { newerThan, memory } = {},
) => {
  const http = createHttpJsonClient({
    address,
    timeoutMs: TIMEOUT_MS,
    memory: memory && { budget: memory, source: address },
  });
  try {
    const answer = await http.call(CONFIGURATION_PATH, {
      headers: newerThan === undefined
        ? {}
        : { [NEWER_THAN_HEADER]: String(newerThan) },
    });
    if (answer.err) return answer;
    return Ok(await decompress(answer.val));
  } catch (cause) {
    const detail = `invalid configuration from ${address}: ${String(cause)}`;
    return Err(new PlatformFailure("unavailable", detail));
  } finally {
    await http.close();
  }
};
