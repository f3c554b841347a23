/**
 * Bounds what a response costs before undici parses it: bytes and parts that
 * bring nothing, and the heap that its header and trailer fields take, which is
 * counted in the memory that is held for others.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import { InputAllowance } from "../policy/input_allowance.ts";
import type {
  Eviction,
  Holding,
  MemoryBudget,
} from "../policy/memory_budget.ts";
import {
  HEAP_BYTES_PER_FIELD,
  UNCOUNTED_FIELD_BYTES,
} from "../policy/memory_limits.ts";

/** Whether undici may parse the next bytes. */
export type Admission =
  | "admitted"
  /** The bytes stay unread until the heap has room. */
  | "wait"
  /** The response was ended; the bytes are dropped. */
  | "refused";

/** Bytes that are parsed at once, and the lines that they have. */
interface Part {
  readonly bytes: Buffer;
  readonly lines: number;
  /** Bytes of the connection that were parsed before. */
  readonly start: number;
}

/** The memory in which the fields of a response are counted. */
export interface FieldMemory {
  readonly budget: MemoryBudget;
  /** Id of the upstream, or name of the router or the store, that responds. */
  readonly source: string;
}

/** Options of `ResponseInput`. */
export interface ResponseInputOptions {
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Without it, only the response itself is bounded. */
  readonly memory?: FieldMemory | undefined;
  /** Called once if the response brings too little for its size. */
  readonly onExcess: (detail: string) => void;
  /** Called once if the response was given up for the fields of all. */
  readonly onEvict: (eviction: Eviction) => void;
}

/** Parts of any size that a response may have at once. */
const MAX_BURST_PARTS = 4_096;
/** Fields of a head or of trailers; Node's server keeps no more either. */
const MAX_FIELDS = 1_000;
/** Largest head of a response, without separators. */
const MAX_HEAD_BYTES = 16_384;
/** Informational responses have a lower status. */
const MIN_FINAL_STATUS = 200;
/** The status line of a head, and the empty line at its end. */
const LINES_BESIDE_FIELDS = 2;
/** A name of one character, a colon and the end of the line. */
const MIN_FIELD_BYTES = 4;
const LINE_FEED = 0x0a;

/** Fields by name, or names and values in turn as they were parsed. */
type Fields = IncomingHttpHeaders | readonly Buffer[];

/** Returns the number of fields, and the bytes of their names and values. */
function measure(fields: Fields): { count: number; bytes: number } {
  let count = 0;
  let bytes = 0;
  if (isParsedList(fields)) {
    for (const each of fields) bytes += each.length;
    return { count: fields.length / 2, bytes };
  }
  for (const [name, value = ""] of Object.entries(fields)) {
    const values = typeof value === "string" ? [value] : value;
    count += values.length;
    for (const each of values) bytes += name.length + each.length;
  }
  return { count, bytes };
}

function getMaxFields(lines: number, bytes: number): number {
  return Math.min(lines, Math.ceil(bytes / MIN_FIELD_BYTES));
}

function isParsedList(fields: Fields): fields is readonly Buffer[] {
  return Array.isArray(fields);
}

function countLines(bytes: Buffer, start = 0, end = bytes.length): number {
  let count = 0;
  for (let index = start; index < end; index++) {
    if (bytes[index] === LINE_FEED) count++;
  }
  return count;
}

/**
 * Sockets whose parsers are gone. Node calls a socket closed as soon as it is
 * destroyed, before undici hears of it.
 */
const closedSockets = new WeakSet<Socket>();

/** What one response has sent so far. */
export class ResponseInput {
  readonly #options: ResponseInputOptions;
  /** Set when the first bytes arrive. */
  #allowance: InputAllowance | undefined;
  /** Bytes of the connection that were parsed before the response. */
  #start: number | undefined;
  /** Size of the fields of the final head, which stay while the body arrives. */
  #headBytes = 0;
  /** Fields that the parser may keep beside those. */
  #maxFields = 0;
  /** The bytes that were passed last, and their lines after all content. */
  #part: Buffer | undefined;
  #partLines = 0;
  #scannedBytes = 0;
  #holding: Holding | undefined;
  #isEnded = false;

  constructor(options: ResponseInputOptions) {
    this.#options = options;
  }

  /** Decides whether the parser may have a part, which comes next. */
  admit({ bytes, lines, start }: Part): Admission {
    // Undici must see bytes that come after the end of a response.
    if (this.#isEnded) return "admitted";
    const { clock, memory } = this.#options;
    this.#start ??= start;
    const parsedBytes = start - this.#start;
    if (!this.#getAllowance().allowsTotal(parsedBytes, clock)) {
      this.#endExcess("too many bytes that are no content");
      return "refused";
    }
    if (this.#maxFields > MAX_FIELDS) {
      this.#endExcess("too many header fields");
      return "refused";
    }
    // Any of them may be a field until the parser has said what it found.
    const maxFields = this.#maxFields + getMaxFields(lines, bytes.length);
    if (!this.#hold(maxFields)) return "refused";
    const isHeld = this.#holding !== undefined;
    if (isHeld && memory?.budget.isHeapFull === true) return "wait";
    this.#maxFields = maxFields;
    this.#part = bytes;
    this.#partLines = lines;
    this.#scannedBytes = 0;
    return "admitted";
  }

  /** Calls `listener` once when bytes that had to wait may be admitted. */
  onceRoom(listener: () => void): void {
    this.#options.memory?.budget.onceHeapHasRoom(listener);
  }

  /** Records a head; false if the response was ended for it. */
  recordHead(status: number, headers: Fields): boolean {
    if (this.#isEnded) return false;
    const { count: fields, bytes } = measure(headers);
    if (bytes > MAX_HEAD_BYTES) {
      this.#endExcess("the head is too large");
      return false;
    }
    this.#maxFields = Math.max(
      0,
      this.#maxFields - fields - LINES_BESIDE_FIELDS,
    );
    if (status < MIN_FINAL_STATUS) return this.#recordPart(0);
    this.#headBytes = fields * HEAP_BYTES_PER_FIELD + bytes;
    return this.#hold(this.#maxFields);
  }

  /** Records content; false if the response was ended for it. */
  recordContent(content: Buffer): boolean {
    if (this.#isEnded) return false;
    this.#skipLinesUntil(content);
    return this.#hold(this.#maxFields) && this.#recordPart(content.length);
  }

  /** Records that the parser has put back what follows the last content. */
  recordPause(): void {
    this.#part = undefined;
    this.#maxFields = 0;
    if (!this.#isEnded) this.#hold(0);
  }

  /**
   * Ends the count of a response that is complete. The connection of another
   * one closes, and its fields are counted until then.
   */
  end(closing?: Socket): void {
    this.#isEnded = true;
    const holding = this.#holding;
    if (holding === undefined) return;
    if (closing === undefined || closedSockets.has(closing)) {
      holding.close();
      return;
    }
    holding.end();
    closing.once("close", () => holding.close());
  }

  #getAllowance(): InputAllowance {
    return this.#allowance ??= new InputAllowance(this.#options.clock(), {
      baseParts: MAX_BURST_PARTS,
    });
  }

  /** Trailer fields follow all content, in the rest of the part or later. */
  #skipLinesUntil(content: Buffer): void {
    const part = this.#part;
    if (part === undefined || part.buffer !== content.buffer) return;
    const end = content.byteOffset - part.byteOffset + content.length;
    this.#partLines -= countLines(part, this.#scannedBytes, end);
    this.#scannedBytes = end;
    this.#maxFields = getMaxFields(this.#partLines, part.length - end);
  }

  /** Counts fields beside those of the head; false if it was given up for them. */
  #hold(maxFields: number): boolean {
    const { memory, onEvict } = this.#options;
    if (memory === undefined) return true;
    const bytes = this.#headBytes + maxFields * HEAP_BYTES_PER_FIELD;
    if (this.#holding === undefined) {
      if (bytes <= UNCOUNTED_FIELD_BYTES) return true;
      this.#holding = memory.budget.open({
        kind: "response-fields",
        source: memory.source,
        onEvict: (eviction) => {
          this.#isEnded = true;
          onEvict(eviction);
        },
      });
    }
    return this.#holding.resize(bytes);
  }

  #recordPart(bytes: number): boolean {
    const { clock } = this.#options;
    if (this.#getAllowance().recordPart(bytes, clock)) return true;
    this.#endExcess("too many small parts");
    return false;
  }

  #endExcess(detail: string): void {
    this.#isEnded = true;
    this.#options.onExcess(detail);
  }
}

/**
 * Bytes that are parsed at a time if they have many lines, so that little memory
 * and time is taken before the next check.
 */
const MAX_DENSE_BYTES = 4_096;
/** Bytes of the lines that count as many; those of content are longer. */
const MAX_DENSE_LINE_BYTES = 16;

/** Returns the beginning of `chunk` up to the first bytes with many lines. */
function getNextPart(chunk: Buffer): Omit<Part, "start"> {
  let lines = 0;
  for (let start = 0; start < chunk.length; start += MAX_DENSE_BYTES) {
    const end = Math.min(chunk.length, start + MAX_DENSE_BYTES);
    const count = countLines(chunk, start, end);
    const isDense = count * MAX_DENSE_LINE_BYTES > end - start;
    if (isDense && start === 0) {
      return { bytes: chunk.subarray(0, end), lines: count };
    }
    if (isDense) return { bytes: chunk.subarray(0, start), lines };
    lines += count;
  }
  return { bytes: chunk, lines };
}

/**
 * Has the response in progress decide what undici reads from `socket`, by way of
 * the method that undici calls for it. A connection without a response reads
 * everything.
 */
export function limitReads(
  socket: Socket,
  getInput: () => ResponseInput | undefined,
): void {
  const read = socket.read.bind(socket);
  let isWaiting = false;
  socket.once("close", () => closedSockets.add(socket));

  function awaitRoom(input: ResponseInput): void {
    isWaiting = true;
    // In a later turn, since another response may be being parsed now.
    input.onceRoom(() =>
      process.nextTick(() => {
        isWaiting = false;
        if (!socket.destroyed) socket.emit("readable");
      })
    );
  }

  function readAdmitted(): Buffer | null {
    // Undici goes on to read after it has closed a connection.
    if (isWaiting || socket.destroyed) return null;
    const start = socket.bytesRead - socket.readableLength;
    const chunk: Buffer | null = read();
    const input = getInput();
    if (chunk === null || input === undefined) return chunk;
    const { bytes, lines } = getNextPart(chunk);
    const admission = input.admit({ bytes, lines, start });
    if (admission === "refused") return null;
    if (admission === "wait") {
      socket.unshift(chunk);
      awaitRoom(input);
      return null;
    }
    if (bytes.length < chunk.length) {
      socket.unshift(chunk.subarray(bytes.length));
    }
    return bytes;
  }

  // Node's stream itself calls it with a size.
  socket.read = (size?: number) =>
    size === undefined ? readAdmitted() : read(size);
}
