/**
 * Addresses for servers of a test that must know them before they listen.
 *
 * They lie below the range from which the system takes the ports of outgoing
 * connections, which would otherwise take a port between its choice and its
 * use, and each process of the test runner has a part of its own.
 */
import process from "node:process";
import { isFree } from "./fleet_ports.ts";

const FIRST_PORT = 10_000;
const PARTS = 100;
const PART_SIZE = 90;
/** Coprime to `PARTS`, so that process ids in a row get different parts. */
const SPREAD = 37;

let used = 0;

/** Finds a free address, `ip:port`; each call gives another one. */
export async function findFreeAddress(): Promise<string> {
  const part = (process.pid * SPREAD) % PARTS;
  while (true) {
    const port = FIRST_PORT + part * PART_SIZE + used % PART_SIZE;
    used++;
    if (await isFree(port)) return `127.0.0.1:${port}`;
  }
}

/** Finds a free port of loopback; each call gives another one. */
export async function findFreePort(): Promise<number> {
  const address = await findFreeAddress();
  return Number(address.split(":")[1]);
}
