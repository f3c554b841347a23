/**
 * Passes the configuration in force to routers that the metadata store turns
 * away. It is too large for a datagram, so that it goes over HTTP at the
 * router's peer address.
 */
import { createServer, type Server } from "node:http";
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
/** Leaves time to ask another router before keys can't be trusted. */
const TIMEOUT_MS = 800;

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
  return createServer((request, response) => {
    const configuration = getConfiguration();
    if (request.url !== PATH || configuration === undefined) {
      response.writeHead(STATUS_NOT_FOUND, { "content-length": "0" });
      response.end();
      return;
    }
    const body = JSON.stringify(configuration);
    response.writeHead(STATUS_OK, { "content-type": "application/json" });
    response.end(body);
  });
}

/** Reads the configuration of another router; see the module. */
export const fetchConfiguration: FetchConfiguration = async (address) => {
  const http = createHttpJson({ address, timeoutMs: TIMEOUT_MS });
  try {
    const answer = await http.call(PATH);
    if (answer.err) return answer;
    if (isConfiguration(answer.val)) return Ok(answer.val);
    const detail = `${address} sent no configuration`;
    return Err(new PlatformFailure("unavailable", detail));
  } finally {
    await http.close();
  }
};
