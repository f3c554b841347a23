/**
 * Runs the key-value stand-in as a process.
 *
 * `node dist/testing/kv_main.js [--port N] [--seed N] [--reads-per-second N]
 * [--writes-per-second N] [--progress-ms N]` prints `{"listening":"ip:port"}`
 * when it is ready. Without a rate option, calls of that kind are not limited.
 */
import {
  printReady,
  readOptions,
  stopOnSignal,
  toNumber,
} from "./stand_in_http.ts";
import { createKeyValueServer } from "./kv_server.ts";

const DEFAULT_PROGRESS_MS = 1_000;

async function main(): Promise<void> {
  const values = readOptions([
    "port",
    "seed",
    "reads-per-second",
    "writes-per-second",
    "progress-ms",
  ]);
  const server = await createKeyValueServer({
    port: toNumber(values.port, 0),
    seed: toNumber(values.seed, 1),
    readsPerSecond: toRate(values["reads-per-second"]),
    writesPerSecond: toRate(values["writes-per-second"]),
    progressMs: toNumber(values["progress-ms"], DEFAULT_PROGRESS_MS),
  });
  stopOnSignal(() => server.close());
  printReady({ listening: server.address });
}

function toRate(text: string | undefined): number {
  return text === undefined ? Infinity : toNumber(text, 0);
}

void main();
