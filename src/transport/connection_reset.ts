/**
 * Tells a connection that was reset from one that its peer has closed.
 */
import type { Socket } from "node:net";

/**
 * Calls `onReset` if the connection is reset, before undici takes its end for
 * that of a close-delimited response.
 */
export function recordReset(
  socket: Socket,
  onReset: (cause?: Error) => void,
): void {
  socket.prependListener("error", onReset);
  socket.prependListener("end", () => {
    // libuv reports an end without an error if the reset is there when the last
    // bytes are read. A reset connection has no peer any more; one that the peer
    // closed still has. Node caches the address once it was read.
    if (socket.remoteAddress === undefined) onReset();
  });
  socket.prependListener("close", () => {
    if (!socket.readableEnded) onReset();
  });
}
