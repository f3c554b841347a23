/**
 * Passes the stream of an answer on, resumes it where it breaks, and ends it
 * with an error event where it can't be resumed.
 */
import type { Buffer } from "node:buffer";
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
  /** Whether the answer is a stream of server-sent events. */
  readonly isEvents: boolean;
  readonly client: HttpClient;
  /** Called once, when the stream is whole or has been given up. */
  onEnd(isWhole: boolean): void;
}

const MAX_RESUMES = 2;

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
  let nextId = 0;
  for (let resumes = 0; body !== undefined; resumes++) {
    try {
      for await (const event of splitEvents(body)) {
        if (event.isComment || isRepeated(event, nextId)) continue;
        if (event.id !== undefined) nextId = event.id + 1;
        yield event.bytes;
        if (event.isFinal) return true;
        // The hop before has given the stream up and said so.
        if (event.isError) return false;
      }
    } catch {
      // A broken body is resumed like one that ended early.
    }
    if (resumes === MAX_RESUMES || exchange.signal.aborted) break;
    body = await resume(exchange, { ...options, offset: nextId });
  }
  yield renderErrorEvent(createProblem(brokenRefusal(), exchange.requestId));
  return false;
}

function isRepeated(event: StreamEvent, nextId: number): boolean {
  return event.id !== undefined && event.id < nextId;
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
