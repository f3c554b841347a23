/**
 * Finds free addresses for test servers whose address must be known before they
 * listen.
 *
 * The ports are below the ephemeral range, because an outgoing connection could
 * otherwise take a port between its selection and its use. Each process that
 * runs tests claims its own parts of the ports in files, since another one could
 * take a port in that time as well.
 */
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { isPortFree } from "./fleet_ports.ts";

const FIRST_PORT = 10_000;
const PART_COUNT = 100;
const PORTS_PER_PART = 90;
/** Coprime to `PART_COUNT`: successive process ids map to distinct parts. */
const PART_STEP = 37;
/** Holds a file for each claimed part, with the id of its process. */
const CLAIM_DIRECTORY = join(tmpdir(), "corianderflow-ports");

/** Parts of one process; enough for a fleet of 80 routers. */
const MAX_PARTS = 5;

const claimedParts: number[] = [];
let nextOffset = 0;

/** Finds a free address, `ip:port`; consecutive calls return different ones. */
export async function findFreeAddress(): Promise<string> {
  while (true) {
    const index = Math.floor(nextOffset / PORTS_PER_PART) % MAX_PARTS;
    if (index === claimedParts.length) claimedParts.push(claimPart());
    const port = FIRST_PORT + claimedParts[index]! * PORTS_PER_PART +
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

/**
 * Claims another part of the ports until this process ends.
 *
 * @throws {RangeError} If running processes have claimed all parts.
 */
function claimPart(): number {
  mkdirSync(CLAIM_DIRECTORY, { recursive: true });
  const first = (process.pid * PART_STEP) % PART_COUNT;
  for (let tries = 0; tries < PART_COUNT; tries++) {
    const part = (first + tries) % PART_COUNT;
    if (!claimedParts.includes(part) && tryClaimPart(part)) return part;
  }
  throw new RangeError(
    `all ${PART_COUNT} parts of the ports are claimed in ${CLAIM_DIRECTORY}`,
  );
}

function tryClaimPart(part: number): boolean {
  const file = join(CLAIM_DIRECTORY, String(part));
  const owner = readOwner(file);
  // A test file runs its own copy of this module in the process of others.
  if (owner === process.pid) return true;
  if (owner !== undefined && isRunning(owner)) return false;
  if (owner !== undefined) rmSync(file, { force: true });
  try {
    writeFileSync(file, String(process.pid), { flag: "wx" });
    return true;
  } catch (cause) {
    if ((cause as NodeJS.ErrnoException).code === "EEXIST") return false;
    throw cause;
  }
}

/** Returns the process that claimed a part; undefined if none did. */
function readOwner(file: string): number | undefined {
  try {
    return Number(readFileSync(file, "utf8"));
  } catch (cause) {
    if ((cause as NodeJS.ErrnoException).code === "ENOENT") return undefined;
    throw cause;
  }
}

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch (cause) {
    // Another user's process is running as well.
    return (cause as NodeJS.ErrnoException).code === "EPERM";
  }
}
