/**
 * Addresses in the form `ip:port`, and servers that listen on them.
 */
import type { Server } from "node:net";

/** Splits `ip:port` at its last colon; does not validate the parts. */
export function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/**
 * Makes `server` listen on `address` (`ip:port`). Resolves when it is bound and
 * rejects if it can't be.
 */
export function bindServer<S extends Server>(
  server: S,
  address: string,
): Promise<S> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(parseAddress(address), () => resolve(server));
  });
}
