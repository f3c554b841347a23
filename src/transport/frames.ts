/**
 * Newline-delimited JSON over a socket, with one JSON-RPC message per line.
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** Maximum length of a line, checked while it is incomplete. */
export const MAX_FRAME_BYTES = 4 * 1_048_576;

const NEWLINE = 0x0a;

/** Handlers for the frames that a socket receives. */
export interface FrameHandlers {
  /** Called for each parsed line; `bytes` includes the newline. */
  onFrame(frame: unknown, bytes: number): void;
  /** Called for an invalid line; the handler must close the socket. */
  onMalformed(detail: string): void;
}

/** Parses each line that `socket` receives and calls `handlers`. */
export function readFrames(socket: Socket, handlers: FrameHandlers): void {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  function completeLine(tail: Buffer): void {
    pending.push(tail);
    const line = Buffer.concat(pending);
    pending = [];
    pendingBytes = 0;
    parseFrame(line, handlers);
  }
  socket.on("data", (chunk: Buffer) => {
    let rest = chunk;
    let end = rest.indexOf(NEWLINE);
    while (end >= 0) {
      completeLine(rest.subarray(0, end));
      rest = rest.subarray(end + 1);
      end = rest.indexOf(NEWLINE);
    }
    pending.push(rest);
    pendingBytes += rest.length;
    if (pendingBytes > MAX_FRAME_BYTES) {
      handlers.onMalformed("the line exceeds the maximum frame size");
    }
  });
}

function parseFrame(line: Buffer, handlers: FrameHandlers): void {
  let frame: unknown;
  try {
    frame = JSON.parse(line.toString("utf8"));
  } catch {
    handlers.onMalformed("the line is not valid JSON");
    return;
  }
  handlers.onFrame(frame, line.length + 1);
}

/** Writes `frame` as one line; returns its size in bytes. */
export function writeFrame(socket: Socket, frame: unknown): number {
  const line = Buffer.from(JSON.stringify(frame) + "\n", "utf8");
  socket.write(line);
  return line.length;
}
