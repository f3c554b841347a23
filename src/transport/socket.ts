/** Opens the sockets of connections to upstreams and routers. */
import { connect, type Socket } from "node:net";
import { parseAddress } from "./address.ts";

/** Idle time before TCP keep-alive probes, which detect lost connections. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/**
 * Connects to `address`, `ip:port`; rejects if that takes longer than
 * `timeoutMs` milliseconds. Undici's own timeout is up to a second late.
 */
export function openSocket(
  address: string,
  timeoutMs: number,
): Promise<Socket> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
    });
    const timer = setTimeout(
      () => socket.destroy(new Error(`not connected within ${timeoutMs} ms`)),
      timeoutMs,
    );
    function onConnect(): void {
      clearTimeout(timer);
      socket.off("error", onError);
      resolve(socket);
    }
    function onError(cause: Error): void {
      clearTimeout(timer);
      socket.off("connect", onConnect);
      reject(cause);
    }
    socket.once("connect", onConnect);
    socket.once("error", onError);
  });
}
