/**
 * Passes the stream of an answer on, resumes it where it breaks, and ends it
 * with an error event where it can't be resumed.
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
import type { HttpClient, IncomingAnswer } from "../transport/http_client.ts";
import { createProblem } from "../transport/problem.ts";
import type { Exchange } from "./exchange.ts";

/** An attempt whose stream can be resumed at its upstream. */
export interface ResumableAttempt {
  readonly attemptId: string;
  /** `ip:port` of the upstream. */
  readonly address: string;
  readonly betweenBytesTimeoutMs: number;
}

/** Options of a stream. */
export interface StreamOptions {
  readonly answer: IncomingAnswer;
  /** Absent where the stream can't be resumed. */
  readonly attempt: ResumableAttempt | undefined;
  /** Whether the answer is a stream of tokens, see `isTokenStream`. */
  readonly isEvents: boolean;
  readonly client: HttpClient;
  /** Called once, when the stream is whole or has been given up. */
  onEnd(isWhole: boolean): void;
}

const MAX_RESUMES = 2;
const EVENT_STREAM = "text/event-stream";

/**
 * Whether an answer is an engine's stream of tokens. The event streams of plain
 * services have no end marker and can't be resumed; they pass as bytes.
 */
export function isTokenStream(
  service: Service,
  headers: IncomingHttpHeaders,
): boolean {
  const type = headers["content-type"] ?? "";
  return service.kind === "engine" && type.startsWith(EVENT_STREAM);
}

/** Passes the body on; never ends an event stream without a last event. */
export async function* streamAnswer(
  exchange: Exchange,
  options: StreamOptions,
): AsyncGenerator<Uint8Array> {
  let isWhole = false;
  try {
    if (options.isEvents) {
      isWhole = yield* streamEvents(exchange, options);
    } else {
      yield* options.answer.body as AsyncIterable<Buffer>;
      isWhole = true;
    }
  } finally {
    if (!isWhole) options.answer.body.destroy();
    options.onEnd(isWhole);
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
        if (position.isGap(event)) break;
        if (event.isComment || !position.tryPass(event)) continue;
        yield event.bytes;
        if (event.isFinal) return true;
        // The hop before has given the stream up and said so.
        if (event.isError) return false;
      }
    } catch {
      // A broken body is resumed like one that ended early.
    }
    if (resumes === MAX_RESUMES || exchange.signal.aborted) break;
    position.restart();
    body = await resume(exchange, { ...options, offset: position.nextId });
  }
  yield renderErrorEvent(createProblem(brokenRefusal(), exchange.requestId));
  return false;
}

/** How far a stream has been passed on, over all its resumptions. */
class StreamPosition {
  /** Index of the token that comes next. */
  nextId = 0;
  /** Events without an index that were passed on since the last token. */
  #tail = 0;
  /** Such events that the present connection has brought. */
  #tailSeen = 0;

  /** Notes that another connection begins at `nextId`. */
  restart(): void {
    this.#tailSeen = 0;
  }

  /** Whether tokens before this event are missing. */
  isGap({ id }: StreamEvent): boolean {
    return id !== undefined && id > this.nextId;
  }

  /** Notes an event; false where it has been passed on before. */
  tryPass({ id, isFinal, isError }: StreamEvent): boolean {
    if (isFinal || isError) return true;
    if (id === undefined) return this.#tryPassTail();
    if (id < this.nextId) return false;
    this.nextId = id + 1;
    this.#tail = 0;
    this.#tailSeen = 0;
    return true;
  }

  #tryPassTail(): boolean {
    this.#tailSeen++;
    if (this.#tailSeen <= this.#tail) return false;
    this.#tail = this.#tailSeen;
    return true;
  }
}

async function resume(
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

function brokenRefusal() {
  const detail = "The upstream broke off and its stream can't be resumed.";
  return createRefusal("upstream-failed", detail, { ran: "unknown" });
}
