/**
 * Addresses in the form `ip:port`, and servers that listen on them.
 */
import { isIPv4, type Server } from "node:net";

const MAX_PORT = 65_535;
/** Of an address; other spellings of a port would be other keys. */
const PORT = /^[1-9]\d{0,4}$/;

/** Whether `address` is an IPv4 address and a port that can be connected to. */
export function isAddress(address: string): boolean {
  const [host = "", port = "", ...rest] = address.split(":");
  return rest.length === 0 && isIPv4(host) && PORT.test(port) &&
    Number(port) <= MAX_PORT;
}

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
