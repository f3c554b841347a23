/**
 * Entry point of the process of the stand-in weight store.
 *
 * `node dist/testing/weight_store_main.js [--port N] [--fetches-per-minute N]
 * [--size-bytes N] [--bytes-per-second N]` prints `{"listening":"ip:port"}`
 * when it is ready.
 */
import {
  printReady,
  readOptions,
  stopOnSignal,
  toNumber,
} from "./stand_in_http.ts";
import { createWeightStoreServer } from "./weight_store_server.ts";

function toOptional(text: string | undefined): number | undefined {
  return text === undefined ? undefined : toNumber(text, 0);
}

async function main(): Promise<void> {
  const values = readOptions([
    "port",
    "fetches-per-minute",
    "size-bytes",
    "bytes-per-second",
  ]);
  const server = await createWeightStoreServer({
    port: toNumber(values.port, 0),
    fetchesPerMinute: toOptional(values["fetches-per-minute"]),
    sizeBytes: toOptional(values["size-bytes"]),
    bytesPerSecond: toOptional(values["bytes-per-second"]),
  });
  stopOnSignal(() => server.close());
  printReady({ listening: server.address });
}

void main();
