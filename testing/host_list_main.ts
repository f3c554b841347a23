/**
 * Runs the host list stand-in as a process.
 *
 * `node dist/testing/host_list_main.js [--port N] [--hosts a,b] [--lag-ms N]`
 * prints `{"listening":"ip:port"}` when it is ready.
 */
import { createHostListServer } from "./host_list_server.ts";
import {
  printReady,
  readOptions,
  stopOnSignal,
  toNumber,
} from "./stand_in_http.ts";

async function main(): Promise<void> {
  const values = readOptions(["port", "hosts", "lag-ms"]);
  const server = await createHostListServer({
    port: toNumber(values.port, 0),
    hosts: (values.hosts ?? "").split(",").filter((name) => name !== ""),
    lagMs: toNumber(values["lag-ms"], 0),
  });
  stopOnSignal(() => server.close());
  printReady({ listening: server.address });
}

void main();
