/**
 * Splits a byte stream into server-sent events without changing any byte.
 *
 * Only complete events are returned, so that a resumed stream neither repeats
 * nor truncates an event.
 */
import { Buffer } from "node:buffer";

/** One complete event, including its terminating blank line. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the `id:` field if it is an integer. */
  readonly id: number | undefined;
  /** True for `data: [DONE]`, which ends a complete stream. */
  readonly isFinal: boolean;
  /** True for an event that reports a failure. */
  readonly isError: boolean;
  /** True for a comment, which only keeps the connection alive. */
  readonly isComment: boolean;
}

const EVENT_TERMINATOR = Buffer.from("\n\n");
const MAX_EVENT_BYTES = 1_048_576;

/** Error for a stream that is not valid as server-sent events. */
export class MalformedStreamError extends Error {
  constructor(detail: string) {
    super(detail);
    this.name = "MalformedStream";
  }
}

function parseEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString("latin1");
  const id = /^id: ?(\d+)$/m.exec(text);
  return {
    bytes,
    id: id ? Number(id[1]) : undefined,
    isFinal: /^data: ?\[DONE\]$/m.test(text),
    isError: /^event: ?error$/m.test(text),
    isComment: text.startsWith(":"),
  };
}

/** Splits chunks into complete events and buffers an incomplete last one. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are buffered. */
  get hasIncompleteEvent(): boolean {
    return this.#pending.length > 0;
  }

  /**
   * Appends a chunk and returns the events that are now complete.
   *
   * @throws MalformedStreamError if the incomplete event exceeds 1 MiB
   */
  push(chunk: Uint8Array): StreamEvent[] {
    const chunkBuffer = Buffer.from(
      chunk.buffer,
      chunk.byteOffset,
      chunk.byteLength,
    );
    const events: StreamEvent[] = [];
    let pending = this.#pending.length === 0
      ? chunkBuffer
      : Buffer.concat([this.#pending, chunkBuffer]);
    let end = pending.indexOf(EVENT_TERMINATOR);
    while (end >= 0) {
      const eventBytes = end + EVENT_TERMINATOR.length;
      events.push(parseEvent(pending.subarray(0, eventBytes)));
      pending = pending.subarray(eventBytes);
      end = pending.indexOf(EVENT_TERMINATOR);
    }
    if (pending.length > MAX_EVENT_BYTES) {
      throw new MalformedStreamError("an event is too long");
    }
    this.#pending = pending;
    return events;
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
