/**
 * Finds free ports for the processes of a fleet. The ports lie below the
 * operating system's ephemeral range, so that no other socket takes the port of a
 * process while it restarts.
 */
import { createServer } from "node:net";
import process from "node:process";

const MIN_PORT = 20_000;
/** Exclusive. */
const PORT_LIMIT = 32_000;
/** Distance between the first ports of two candidate ranges. */
const SLOT_PORTS = 64;
const MAX_TRIES = 64;

/** No range of consecutive free ports was found. */
export class NoPortsError extends Error {
  constructor(count: number) {
    super(`found no range of ${count} consecutive free ports`);
    this.name = "NoPortsError";
  }
}

/**
 * Finds `count` consecutive ports that can be bound on loopback; returns the
 * first one.
 *
 * @throws {NoPortsError} After MAX_TRIES ranges with a port in use.
 */
export async function findPortBase(count: number): Promise<number> {
  const slotCount = Math.floor((PORT_LIMIT - MIN_PORT - count) / SLOT_PORTS);
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const slot = (process.pid + tries * Math.ceil(count / SLOT_PORTS)) %
      slotCount;
    const base = MIN_PORT + slot * SLOT_PORTS;
    if (await arePortsFree(base, count)) return base;
  }
  throw new NoPortsError(count);
}

async function arePortsFree(base: number, count: number): Promise<boolean> {
  const ports = Array.from({ length: count }, (_, index) => base + index);
  const free = await Promise.all(ports.map(isPortFree));
  return free.every((each) => each);
}

/** Returns whether a port can be bound on loopback. */
export function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
