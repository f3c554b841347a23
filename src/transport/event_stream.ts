/**
 * Server-sent events, split at their boundaries without a change of a byte.
 *
 * Only whole events are passed on, so that a resumed stream never repeats or
 * tears one.
 */
import { Buffer } from "node:buffer";

/** One whole event with its terminating blank line. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the `id:` field where it is an integer. */
  readonly id: number | undefined;
  /** True for `data: [DONE]`, the end of a whole stream. */
  readonly isFinal: boolean;
  /** True for an event that reports a failure. */
  readonly isError: boolean;
  /** True for a comment, which only shows that the connection lives. */
  readonly isComment: boolean;
}

const BOUNDARY = Buffer.from("\n\n");
const MAX_EVENT_BYTES = 1_048_576;

/** A stream that breaks the framing of server-sent events. */
export class MalformedStream extends Error {
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

/** Splits what is pushed into whole events; keeps the torn rest. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Whether bytes of an event that is not whole are left. */
  get hasRest(): boolean {
    return this.#pending.length > 0;
  }

  /** Takes a chunk and returns the events that it completes. */
  push(chunk: Uint8Array): StreamEvent[] {
    const part = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
    const events: StreamEvent[] = [];
    let pending = this.#pending.length === 0
      ? part
      : Buffer.concat([this.#pending, part]);
    let end = pending.indexOf(BOUNDARY);
    while (end >= 0) {
      const size = end + BOUNDARY.length;
      events.push(parseEvent(pending.subarray(0, size)));
      pending = pending.subarray(size);
      end = pending.indexOf(BOUNDARY);
    }
    if (pending.length > MAX_EVENT_BYTES) {
      throw new MalformedStream("an event is too long");
    }
    this.#pending = pending;
    return events;
  }
}

/** Splits `source` into whole events; a torn last event is dropped. */
export async function* splitEvents(
  source: AsyncIterable<Uint8Array>,
): AsyncGenerator<StreamEvent> {
  const splitter = new EventSplitter();
  for await (const chunk of source) yield* splitter.push(chunk);
}

/** Renders the event that ends a stream which can't be completed. */
export function renderErrorEvent(problem: unknown): Buffer {
  return Buffer.from(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
}
