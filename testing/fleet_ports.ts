/**
 * Finds ports for the processes of a fleet. The ports lie below the range that
 * the system hands out by itself, so that a restarted process finds its port
 * free.
 */
import { createServer } from "node:net";
import process from "node:process";

const FIRST_PORT = 20_000;
const END_PORT = 32_000;
const STEP = 64;
const MAX_TRIES = 64;

/** No range of free ports was found. */
export class NoPortsError extends Error {
  constructor(count: number) {
    super(`no ${count} free ports in a row`);
    this.name = "NoPortsError";
  }
}

/** Finds `count` ports in a row that the system says are free. */
export async function findPortBase(count: number): Promise<number> {
  const slots = Math.floor((END_PORT - FIRST_PORT - count) / STEP);
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const slot = (process.pid + tries * Math.ceil(count / STEP)) % slots;
    const base = FIRST_PORT + slot * STEP;
    if (await areFree(base, count)) return base;
  }
  throw new NoPortsError(count);
}

async function areFree(base: number, count: number): Promise<boolean> {
  const ports = Array.from({ length: count }, (_, index) => base + index);
  const free = await Promise.all(ports.map(isFree));
  return free.every((each) => each);
}

/** Tells whether a port of the loopback address can be bound. */
export function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
