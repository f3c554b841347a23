/**
 * Runs a relay as a process, with a control server on a second port.
 *
 * `node dist/testing/relay_main.js --target ip:port [--port N]
 * [--control-port N]` prints `{"listening":"ip:port","control":"ip:port"}` when
 * it is ready. The control port serves `POST /faults` and `GET /stats`.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import {
  closeServer,
  listen,
  printReady,
  readJson,
  readOptions,
  sendJson,
  stopOnSignal,
  toNumber,
} from "./stand_in_http.ts";
import { createRelay, type Relay, type RelayFaults } from "./relay.ts";

async function handle(
  relay: Relay,
  request: IncomingMessage,
  { response }: { response: ServerResponse },
): Promise<void> {
  const body = await readJson(request);
  if (request.url === "/stats") {
    return sendJson(response, 200, relay.getStats());
  }
  if (request.url !== "/faults") return sendJson(response, 404, {});
  const faults = await relay.setFaults(body as Partial<RelayFaults>);
  sendJson(response, 200, faults);
}

async function main(): Promise<void> {
  const values = readOptions(["target", "port", "control-port"]);
  if (values.target === undefined) throw new TypeError("--target is missing");
  const relay = await createRelay({
    target: values.target,
    port: toNumber(values.port, 0),
  });
  const control = createServer((request, response) => {
    handle(relay, request, { response }).catch(() => response.destroy());
  });
  const controlPort = toNumber(values["control-port"], 0);
  const controlAddress = await listen(control, controlPort);
  stopOnSignal(async () => {
    await relay.close();
    await closeServer(control);
  });
  printReady({ listening: relay.address, control: controlAddress });
}

void main();
