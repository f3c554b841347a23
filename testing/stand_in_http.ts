/**
 * HTTP and command-line helpers shared by the stand-ins of the platform's
 * services.
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Server as NetServer } from "node:net";
import { parseArgs } from "node:util";

const MAX_BODY_BYTES = 8_388_608;
const LOOPBACK = "127.0.0.1";

/**
 * Reads a request body as JSON; an empty body gives an empty object.
 *
 * @throws {RangeError} If the body exceeds MAX_BODY_BYTES.
 * @throws {SyntaxError} If the body is not JSON.
 */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > MAX_BODY_BYTES) {
      throw new RangeError("the request body is too large");
    }
    chunks.push(chunk as Buffer);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

/** Sends a complete JSON response. */
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

/**
 * Listens on loopback, on a free port if `port` is 0; returns the address as
 * `ip:port`.
 */
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

/** Closes a server and all its connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/**
 * Parses `--name value` options of the command line.
 *
 * @throws {TypeError} On an option that is not in `names`.
 */
export function readOptions(
  names: readonly string[],
): Record<string, string | undefined> {
  const options = Object.fromEntries(
    names.map((name) => [name, { type: "string" as const }]),
  );
  return parseArgs({ options }).values as Record<string, string | undefined>;
}

/**
 * Converts a command-line value to a number.
 *
 * @throws {RangeError} If the value is not a finite number.
 */
export function toNumber(text: string | undefined, fallback: number): number {
  const number = Number(text ?? fallback);
  if (!Number.isFinite(number)) {
    throw new RangeError(`not a finite number: ${text}`);
  }
  return number;
}

/** Prints the JSON line that announces that a stand-in is ready. */
export function printReady(fields: Record<string, string>): void {
  process.stdout.write(JSON.stringify(fields) + "\n");
}

/** On SIGTERM or SIGINT, calls `stop` and then exits with 0. */
export function stopOnSignal(stop: () => Promise<void>): void {
  const stopAndExit = () => {
    void stop().then(() => process.exit(0));
  };
  process.once("SIGTERM", stopAndExit);
  process.once("SIGINT", stopAndExit);
}
