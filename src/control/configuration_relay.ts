/**
 * Passes the configuration in force from router to router. It is too large for
 * a datagram, so that it goes over HTTP at the router's peer address, and
 * compressed, since links of routers may be slow.
 */
import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import { promisify } from "node:util";
import { gunzip, gzipSync } from "node:zlib";
import { Err, Ok, type Result } from "ts-results/result";
import type { RoutingConfiguration } from "../routing/types.ts";
import { createHttpJson } from "../store/http_json.ts";
import { PlatformFailure } from "../store/key_value.ts";

/** Reads the configuration of another router at `address`, `ip:port`. */
export type FetchConfiguration = (
  address: string,
) => Promise<Result<RoutingConfiguration, PlatformFailure>>;

const PATH = "/configuration";
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
/** Leaves time to read the store instead, within the bound of a change. */
const TIMEOUT_MS = 800;
/** A configuration of the two-year size; what is larger is not unpacked. */
const MAX_BYTES = 67_108_864;

const unzip = promisify(gunzip);

function isConfiguration(value: unknown): value is RoutingConfiguration {
  const fields = value as Partial<RoutingConfiguration> | null;
  return typeof fields === "object" && fields !== null &&
    typeof fields.version === "number" && Array.isArray(fields.routes) &&
    Array.isArray(fields.services) && typeof fields.limits === "object";
}

/** Creates the server; `getConfiguration` gives what is in force. */
export function createConfigurationServer(
  getConfiguration: () => RoutingConfiguration | undefined,
): Server {
  let packed: { version: number; body: string } | undefined;
  function getBody(configuration: RoutingConfiguration): string {
    const { version } = configuration;
    // Many routers ask for the same version at once.
    if (packed?.version !== version) {
      const gzip = gzipSync(JSON.stringify(configuration)).toString("base64");
      packed = { version, body: JSON.stringify({ gzip }) };
    }
    return packed.body;
  }
  return createServer((request, response) => {
    const configuration = getConfiguration();
    if (request.url !== PATH || configuration === undefined) {
      response.writeHead(STATUS_NOT_FOUND, { "content-length": "0" });
      response.end();
      return;
    }
    response.writeHead(STATUS_OK, { "content-type": "application/json" });
    response.end(getBody(configuration));
  });
}

async function unpack(value: unknown): Promise<RoutingConfiguration> {
  const { gzip } = value as { gzip?: unknown };
  const bytes = await unzip(Buffer.from(String(gzip), "base64"), {
    maxOutputLength: MAX_BYTES,
  });
  const configuration: unknown = JSON.parse(bytes.toString("utf8"));
  if (isConfiguration(configuration)) return configuration;
  throw new TypeError("it is no configuration");
}

/** Reads the configuration of another router; see the module. */
export const fetchConfiguration: FetchConfiguration = async (address) => {
  const http = createHttpJson({ address, timeoutMs: TIMEOUT_MS });
  try {
    const answer = await http.call(PATH);
    if (answer.err) return answer;
    return Ok(await unpack(answer.val));
  } catch (cause) {
    const detail = `what ${address} sent can't be read: ${String(cause)}`;
    return Err(new PlatformFailure("unavailable", detail));
  } finally {
    await http.close();
  }
};
