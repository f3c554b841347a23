/**
 * Newline-delimited JSON over a socket: one JSON-RPC message a line.
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** Longest line that is accepted, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1_048_576;

const NEWLINE = 0x0a;

/** Handlers of what a socket brings. */
export interface FrameHandlers {
  onFrame(frame: unknown, bytes: number): void;
  /** The peer broke the framing; the caller closes the socket. */
  onMalformed(detail: string): void;
}

/** Calls `onFrame` for each line that arrives on `socket`. */
export function readFrames(socket: Socket, handlers: FrameHandlers): void {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  function takeLine(tail: Buffer): void {
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
      takeLine(rest.subarray(0, end));
      rest = rest.subarray(end + 1);
      end = rest.indexOf(NEWLINE);
    }
    pending.push(rest);
    pendingBytes += rest.length;
    if (pendingBytes > MAX_FRAME_BYTES) {
      handlers.onMalformed("the line is too long");
    }
  });
}

function parseFrame(line: Buffer, handlers: FrameHandlers): void {
  let frame: unknown;
  try {
    frame = JSON.parse(line.toString("utf8"));
  } catch {
    handlers.onMalformed("the line is not JSON");
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
