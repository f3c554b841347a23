/**
 * Small HTTP and command-line helpers that the platform's stand-ins share.
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Server as NetServer } from "node:net";
import { parseArgs } from "node:util";

const MAX_BODY_BYTES = 8_388_608;
const LOOPBACK = "127.0.0.1";

/** Reads a whole body as JSON; an empty body is an empty object. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > MAX_BODY_BYTES) throw new RangeError("the body is too large");
    chunks.push(chunk as Buffer);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

/** Sends a JSON answer and ends it. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Listens on loopback and returns the address as `ip:port`. */
export function listen(server: NetServer, port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, LOOPBACK, () => {
      server.off("error", reject);
      const address = server.address() as AddressInfo;
      resolve(`${address.address}:${address.port}`);
    });
  });
}

/** Closes a server and every connection of it. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Returns the command line's `--name value` pairs; every value is a string. */
export function readOptions(
  names: readonly string[],
): Record<string, string | undefined> {
  const options = Object.fromEntries(
    names.map((name) => [name, { type: "string" as const }]),
  );
  return parseArgs({ options }).values as Record<string, string | undefined>;
}

/** Reads a number from the command line. */
export function toNumber(text: string | undefined, fallback: number): number {
  const number = Number(text ?? fallback);
  if (!Number.isFinite(number)) throw new RangeError(`not a number: ${text}`);
  return number;
}

/** Prints the line that says that a stand-in is ready. */
export function printReady(fields: Record<string, string>): void {
  process.stdout.write(JSON.stringify(fields) + "\n");
}

/** Calls `stop` once on SIGTERM or SIGINT and then exits with 0. */
export function stopOnSignal(stop: () => Promise<void>): void {
  const handle = () => {
    void stop().then(() => process.exit(0));
  };
  process.once("SIGTERM", handle);
  process.once("SIGINT", handle);
}
