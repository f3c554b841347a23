/** Messages without end, as faulty upstreams and callers send them. */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** What never ends in an answer. */
export type EndlessAnswer =
  | "body"
  | "tiny-chunks"
  | "event"
  | "comments"
  | "head-fields"
  | "trailers"
  | "early-heads"
  | "junk";

/** What never ends in a request; the last kind sends all but its last byte. */
export type EndlessRequest = "body" | "tiny-chunks" | "unfinished";

/** A message that begins with `start`, after which `part` repeats. */
export interface EndlessMessage {
  readonly start: string;
  readonly part: Buffer;
  /** How often the part is sent; Infinity by default. */
  readonly count?: number;
}

/** Fields of a message's head. */
type Fields = Readonly<Record<string, string>>;

export const ENDLESS_ANSWERS = [
  "body",
  "tiny-chunks",
  "event",
  "comments",
  "head-fields",
  "trailers",
  "early-heads",
  "junk",
] as const satisfies readonly EndlessAnswer[];
export const ENDLESS_REQUESTS = [
  "body",
  "tiny-chunks",
  "unfinished",
] as const satisfies readonly EndlessRequest[];

const PART_BYTES = 65_536;
/** Short pieces that are sent together. */
const PIECES_PER_PART = 10_000;
/**
 * Pause between two parts, in milliseconds, so that the sender, which many
 * stand-ins share a thread with, does not become the bottleneck.
 */
const PART_INTERVAL_MS = 5;
/** Longer than any router waits, so that only the sender's end is bounded. */
const MAX_SEND_MS = 15_000;
const CHUNKED = { "transfer-encoding": "chunked" };
const LARGE_CHUNK = createChunk("b".repeat(PART_BYTES));
const TINY_CHUNKS = Buffer.from("1\r\nb\r\n".repeat(PIECES_PER_PART));

/** Creates an answer without end that carries `fields`. */
export function createEndlessAnswer(
  kind: EndlessAnswer,
  fields: Fields,
): EndlessMessage {
  const line = "HTTP/1.1 200 OK";
  const head = renderHead(line, { ...fields, ...CHUNKED });
  const streamHead = renderHead(line, {
    ...fields,
    ...CHUNKED,
    "content-type": "text/event-stream",
  });
  switch (kind) {
    case "body":
      return { start: head, part: LARGE_CHUNK };
    case "tiny-chunks":
      return { start: head, part: TINY_CHUNKS };
    case "event":
      return { start: `${streamHead}6\r\ndata: \r\n`, part: LARGE_CHUNK };
    case "comments": {
      const part = createChunk(": c\n\n".repeat(PIECES_PER_PART));
      return { start: streamHead, part };
    }
    case "head-fields":
      return {
        start: `${line}\r\n`,
        part: Buffer.from("x-f: v\r\n".repeat(PIECES_PER_PART)),
      };
    case "trailers":
      return {
        start: `${head}1\r\nb\r\n0\r\n`,
        part: Buffer.from("x-t: v\r\n".repeat(PIECES_PER_PART)),
      };
    case "early-heads": {
      const part = "HTTP/1.1 102 Processing\r\n\r\n".repeat(PIECES_PER_PART);
      return { start: "", part: Buffer.from(part) };
    }
    case "junk":
      return { start: "", part: Buffer.alloc(PART_BYTES, 0xff) };
  }
}

/**
 * Creates a request of method POST without end, or one of `contentBytes` bytes
 * that lacks its last.
 */
export function createEndlessRequest(
  kind: EndlessRequest,
  { path, fields, contentBytes }: {
    path: string;
    fields: Fields;
    contentBytes: number;
  },
): EndlessMessage {
  const line = `POST ${path} HTTP/1.1`;
  const chunkedHead = renderHead(line, { ...fields, ...CHUNKED });
  switch (kind) {
    case "body":
      return { start: chunkedHead, part: LARGE_CHUNK };
    case "tiny-chunks":
      return { start: chunkedHead, part: TINY_CHUNKS };
    case "unfinished": {
      const length = { "content-length": String(contentBytes) };
      const count = Math.floor((contentBytes - 1) / PART_BYTES);
      const rest = "b".repeat(contentBytes - 1 - count * PART_BYTES);
      return {
        start: renderHead(line, { ...fields, ...length }) + rest,
        part: Buffer.alloc(PART_BYTES, "b"),
        count,
      };
    }
  }
}

/**
 * Sends a message as fast as the receiver reads until the socket closes, which
 * it does after MAX_SEND_MS: a faulty link may hide the other end's close.
 */
export function sendEndlessly(
  socket: Socket,
  { start, part, count = Infinity }: EndlessMessage,
): Promise<void> {
  return new Promise((resolve) => {
    let left = count;
    let timer: NodeJS.Timeout | undefined;
    const sendPart = () => {
      if (socket.destroyed || left-- <= 0) return;
      if (socket.write(part)) timer = setTimeout(sendPart, PART_INTERVAL_MS);
      else socket.once("drain", sendPart);
    };
    const endTimer = setTimeout(() => socket.destroy(), MAX_SEND_MS);
    socket.on("error", () => socket.destroy());
    socket.once("close", () => {
      clearTimeout(timer);
      clearTimeout(endTimer);
      resolve();
    });
    if (socket.destroyed) {
      clearTimeout(endTimer);
      return resolve();
    }
    if (start !== "") socket.write(start);
    sendPart();
  });
}

function renderHead(line: string, fields: Fields): string {
  const rendered = Object.entries(fields)
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `${line}\r\n${rendered.join("")}\r\n`;
}

function createChunk(text: string): Buffer {
  return Buffer.from(`${text.length.toString(16)}\r\n${text}\r\n`);
}
