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
 * rejects if it can't be; it can then be tried again. `onError` receives what
 * fails later, a connection that can't be accepted for example, which would end
 * the process otherwise.
 */
export function bindServer<S extends Server>(
  server: S,
  address: string,
  { onError }: { onError: (cause: Error) => void },
): Promise<S> {
  return new Promise((resolve, reject) => {
    function onListening(): void {
      server.off("error", onBindError);
      server.on("error", onError);
      resolve(server);
    }
    function onBindError(cause: Error): void {
      server.off("listening", onListening);
      reject(cause);
    }
    server.once("error", onBindError);
    server.once("listening", onListening);
    server.listen(parseAddress(address));
  });
}
