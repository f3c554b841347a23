/**
 * Finds free addresses for test servers whose address must be known before they
 * listen.
 *
 * The ports are below the ephemeral range, because an outgoing connection could
 * otherwise take a port between its selection and its use. Each process of the
 * test runner uses its own part of the ports.
 */
import process from "node:process";
import { isPortFree } from "./fleet_ports.ts";

const FIRST_PORT = 10_000;
const PART_COUNT = 100;
const PORTS_PER_PART = 90;
/** Coprime to `PART_COUNT`: successive process ids map to distinct parts. */
const PART_STEP = 37;

let nextOffset = 0;

/** Finds a free address, `ip:port`; consecutive calls return different ones. */
export async function findFreeAddress(): Promise<string> {
  const part = (process.pid * PART_STEP) % PART_COUNT;
  while (true) {
    const port = FIRST_PORT + part * PORTS_PER_PART +
      nextOffset % PORTS_PER_PART;
    nextOffset++;
    if (await isPortFree(port)) return `127.0.0.1:${port}`;
  }
}

/** Finds a free loopback port; consecutive calls return different ones. */
export async function findFreePort(): Promise<number> {
  const address = await findFreeAddress();
  return Number(address.split(":")[1]);
}
