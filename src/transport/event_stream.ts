/**
 * Splits a byte stream into server-sent events without changing any byte.
 *
 * Only complete events are returned, so that a resumed stream neither repeats
 * nor truncates an event.
 */
import { Buffer } from "node:buffer";
import { ByteCollector } from "./byte_collector.ts";

/** One complete event, including its terminating blank line. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the `id:` field if it is an integer. */
  readonly id: number | undefined;
  /** Text of such an id, which may have more digits than a number holds. */
  readonly idText: string | undefined;
  /** True for `data: [DONE]`, which ends a complete stream. */
  readonly isFinal: boolean;
  /** True for an event that reports a failure. */
  readonly isError: boolean;
  /** Whether it has a `data` field; receivers drop events without one. */
  readonly hasData: boolean;
  /** True for a comment, which only keeps the connection alive. */
  readonly isComment: boolean;
}

const EVENT_TERMINATOR = Buffer.from("\n\n");
const LINE_FEED = 0x0a;
const MAX_EVENT_BYTES = 1_048_576;

/** Error for a stream that is not valid as server-sent events. */
export class MalformedStreamError extends Error {
  constructor(detail: string) {
    super(detail);
    this.name = "MalformedStream";
  }
}

/** Returns the end of the first event from `start` on; 0 if there is none. */
function findEventEnd(bytes: Buffer, start: number): number {
  const index = bytes.indexOf(EVENT_TERMINATOR, start);
  return index < 0 ? 0 : index + EVENT_TERMINATOR.length;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString("latin1");
  const idText = /^id: ?(\d+)$/m.exec(text)?.[1];
  return {
    bytes,
    id: idText === undefined ? undefined : Number(idText),
    idText,
    isFinal: /^data: ?\[DONE\]$/m.test(text),
    isError: /^event: ?error$/m.test(text),
    hasData: /^data(?::|$)/m.test(text),
    isComment: text.startsWith(":"),
  };
}

/** Options of an `EventSplitter`. */
export interface EventSplitterOptions {
  /** Whether the stream may have `event`; any by default. */
  readonly allows?: (event: StreamEvent) => boolean;
}

/** Splits chunks into complete events and buffers an incomplete last one. */
export class EventSplitter {
  readonly #allows: (event: StreamEvent) => boolean;
  readonly #pending = new ByteCollector();
  /** Whether the incomplete event ends with a line feed. */
  #endsLine = false;

  constructor({ allows = () => true }: EventSplitterOptions = {}) {
    this.#allows = allows;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasIncompleteEvent(): boolean {
    return this.#pending.length > 0;
  }

  /** Bytes of memory that are held for the incomplete event. */
  get heldBytes(): number {
    return this.#pending.heldBytes;
  }

  /** Drops the incomplete event. */
  clear(): void {
    this.#pending.clear();
    this.#endsLine = false;
  }

  /**
   * Appends a chunk and returns the events that are now complete. Reads each
   * byte once, however small the chunks are.
   *
   * @throws MalformedStreamError if the incomplete event exceeds 1 MiB, or an
   * event is not allowed
   */
  push(chunk: Uint8Array): StreamEvent[] {
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const events: StreamEvent[] = [];
    let start = 0;
    let end = this.#endsLine && bytes[0] === LINE_FEED
      ? 1
      : findEventEnd(bytes, 0);
    while (end > 0) {
      const event = parseEvent(this.#complete(bytes.subarray(start, end)));
      if (!this.#allows(event)) {
        throw new MalformedStreamError("too many events without content");
      }
      events.push(event);
      start = end;
      end = findEventEnd(bytes, start);
    }
    if (bytes.length === 0) return events;
    this.#pending.push(bytes.subarray(start));
    this.#endsLine = start < bytes.length && bytes.at(-1) === LINE_FEED;
    if (this.#pending.length > MAX_EVENT_BYTES) {
      throw new MalformedStreamError("an event is too long");
    }
    return events;
  }

  /** Returns the event that ends with `last`. */
  #complete(last: Buffer): Buffer {
    if (this.#pending.length === 0) return last;
    this.#pending.push(last);
    return this.#pending.take();
  }
}

/**
 * Yields the complete events of `source` and drops an incomplete last one.
 *
 * @throws MalformedStreamError if an incomplete event exceeds 1 MiB
 */
export async function* splitEvents(
  source: AsyncIterable<Uint8Array>,
): AsyncGenerator<StreamEvent> {
  const splitter = new EventSplitter();
  for await (const chunk of source) yield* splitter.push(chunk);
}

/** Renders the error event that ends a stream that can't be completed. */
export function renderErrorEvent(problem: unknown): Buffer {
  return Buffer.from(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
}
