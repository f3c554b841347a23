/**
 * Forwards a streamed response. A broken token stream is resumed at its
 * upstream; one that can't be resumed ends with an error event.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Service } from "../config/manifest.ts";
import { createRefusal } from "../diagnostics.ts";
import {
  renderErrorEvent,
  splitEvents,
  type StreamEvent,
} from "../transport/event_stream.ts";
import type { HttpClient, IncomingResponse } from "../transport/http_client.ts";
import { createProblem } from "../transport/problem.ts";
import type { Exchange } from "./exchange.ts";

/** An attempt whose stream can be resumed at its upstream. */
export interface ResumableAttempt {
  readonly attemptId: string;
  /** `ip:port` of the upstream. */
  readonly address: string;
  readonly betweenBytesTimeoutMs: number;
}

/** Options of `streamResponse`. */
export interface StreamOptions {
  readonly answer: IncomingResponse;
  /** `undefined` if the stream can't be resumed. */
  readonly attempt: ResumableAttempt | undefined;
  /** Whether the response is a token stream, as determined by `isTokenStream`. */
  readonly hasTokenEvents: boolean;
  readonly client: HttpClient;
  /** Called once, when the stream is complete or has been abandoned. */
  onEnd(isComplete: boolean): void;
}

const MAX_RESUMES = 2;
const EVENT_STREAM_TYPE = "text/event-stream";

/**
 * Whether a response is a token stream of an engine. Event streams of plain
 * services have no end marker and can't be resumed; their bytes are forwarded
 * unparsed.
 */
export function isTokenStream(
  service: Service,
  headers: IncomingHttpHeaders,
): boolean {
  const type = headers["content-type"] ?? "";
  return service.kind === "engine" && type.startsWith(EVENT_STREAM_TYPE);
}

/**
 * Forwards the body. A token stream always ends with the final event or an
 * error event; a broken body of another kind throws its error.
 */
export async function* streamResponse(
  exchange: Exchange,
  options: StreamOptions,
): AsyncGenerator<Uint8Array> {
  let isComplete = false;
  try {
    if (options.hasTokenEvents) {
      isComplete = yield* streamEvents(exchange, options);
    } else {
      yield* options.answer.body as AsyncIterable<Buffer>;
      isComplete = true;
    }
  } finally {
    if (!isComplete) options.answer.body.destroy();
    options.onEnd(isComplete);
  }
}

async function* streamEvents(
  exchange: Exchange,
  options: StreamOptions,
): AsyncGenerator<Uint8Array, boolean> {
  let body: AsyncIterable<Uint8Array> | undefined = options.answer.body;
  const position = new StreamPosition();
  for (let resumes = 0; body !== undefined; resumes++) {
    try {
      for await (const event of splitEvents(body)) {
        if (position.hasGapBefore(event)) break;
        if (event.isComment || !position.tryAdvance(event)) continue;
        yield event.bytes;
        if (event.isFinal) return true;
        // The previous hop has abandoned the stream and reported it.
        if (event.isError) return false;
      }
    } catch {
      // A body that fails is resumed like one that ends early.
    }
    if (resumes === MAX_RESUMES || exchange.signal.aborted) break;
    position.startConnection();
    body = await resumeStream(exchange, {
      ...options,
      offset: position.nextId,
    });
  }
  yield renderErrorEvent(
    createProblem(createBrokenStreamRefusal(), exchange.requestId),
  );
  return false;
}

/** Position up to which a stream was forwarded, across all connections. */
class StreamPosition {
  /** Index of the next token. */
  nextId = 0;
  /** Number of events without an index forwarded since the last token. */
  #passedUnindexed = 0;
  /**
   * Number of events without an index received on the current connection since
   * the last new token.
   */
  #seenUnindexed = 0;

  /** Starts another connection, whose first token is `nextId`. */
  startConnection(): void {
    this.#seenUnindexed = 0;
  }

  /** Whether tokens before this event are missing. */
  hasGapBefore({ id }: StreamEvent): boolean {
    return id !== undefined && id > this.nextId;
  }

  /** Advances past an event; false if it was already forwarded. */
  tryAdvance({ id, isFinal, isError }: StreamEvent): boolean {
    if (isFinal || isError) return true;
    if (id === undefined) return this.#tryAdvanceUnindexed();
    if (id < this.nextId) return false;
    this.nextId = id + 1;
    this.#passedUnindexed = 0;
    this.#seenUnindexed = 0;
    return true;
  }

  #tryAdvanceUnindexed(): boolean {
    this.#seenUnindexed++;
    if (this.#seenUnindexed <= this.#passedUnindexed) return false;
    this.#passedUnindexed = this.#seenUnindexed;
    return true;
  }
}

async function resumeStream(
  exchange: Exchange,
  { client, attempt, offset }: StreamOptions & { offset: number },
): Promise<AsyncIterable<Uint8Array> | undefined> {
  if (attempt === undefined) return undefined;
  const sent = await client.send({
    address: attempt.address,
    method: "GET",
    path: `/v1/attempts/${attempt.attemptId}/stream?offset=${offset}`,
    headers: { "x-request-id": exchange.requestId },
    body: undefined,
    firstByteTimeoutMs: attempt.betweenBytesTimeoutMs,
    betweenBytesTimeoutMs: attempt.betweenBytesTimeoutMs,
    signal: exchange.signal,
    isFresh: true,
  });
  if (sent.err) return undefined;
  if (sent.val.status === 200) return sent.val.body;
  await sent.val.body.dump();
  return undefined;
}

function createBrokenStreamRefusal() {
  const detail = "The upstream broke off and its stream can't be resumed.";
  return createRefusal("upstream-failed", detail, { ran: "unknown" });
}
