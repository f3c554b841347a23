/** Sends requests to a fleet with a metadata store and checks the responses. */
import { Buffer } from "node:buffer";
import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import {
  EventSplitter,
  type StreamEvent,
} from "../src/transport/event_stream.ts";
import {
  countEventsUpTo,
  createResponseStamp,
  EVENT_VERSION_PATTERN,
  formatEventData,
  getEventCount,
  getEventId,
} from "../testing/registered_upstream.ts";
import type {
  Call,
  CallKind,
  CallOutcome,
  Resumption,
} from "./store_chaos_evidence.ts";

/** Name and address of a router. */
export interface RouterEndpoint {
  readonly name: string;
  /** `ip:port` of the listener for callers. */
  readonly address: string;
}

/** A request to send. */
export interface CallOptions {
  readonly requestId: string;
  readonly kind: CallKind;
  readonly router: RouterEndpoint;
  readonly key: string;
  /** Name of the prompt prefix that requests share. */
  readonly subject: string;
  /** Ids of further parts of the prompt, before the request's own. */
  readonly parts?: readonly string[];
  /** JSON body; by default one that no other request has. */
  readonly body?: string;
}

/** Options of `Callers`. */
export interface CallersOptions {
  /**
   * Returns another router for a caller whose stream was cut; callers don't
   * resume streams without it.
   */
  readonly pickRouter?: (current: RouterEndpoint) => RouterEndpoint;
  /** Counts the upstreams of a software version that take new requests. */
  readonly countServing?: (version: string) => number;
}

interface CallResult {
  readonly end: CallOutcome;
  readonly detail: string;
  /** Events of a stream, in order. */
  readonly events?: readonly StreamEvent[];
  /** Id of the last event, or bytes of another body. */
  readonly received?: number;
}

/** One request of a caller for a stream, which may be resumed. */
interface Attempt {
  readonly attemptId: string;
  readonly router: RouterEndpoint;
  /** Set if the stream is resumed. */
  readonly resumed?: { readonly id: string; readonly lastEventId: number };
}

export const ROUTE_HOST = "chats.example";
/** Time limit of a call, in milliseconds. */
export const CALL_TIMEOUT_MS = 4_000;
/** Far more than any whole answer has, in bytes. */
const MAX_ANSWER_BYTES = 262_144;
/** Requests for one stream in which it may be resumed. */
const MAX_RESUMPTIONS = 3;
const RESUMPTION_PAUSE_MS = 50;
/** Ends after which no caller asks again. */
const FINAL_ENDS: ReadonlySet<CallOutcome> = new Set([
  "whole",
  "wrong",
  "short",
]);
const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Sends requests over keep-alive connections, and resumes cut streams. */
export class Callers {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 200 });
  readonly #options: CallersOptions;
  #sentCount = 0;
  #reusedCount = 0;

  constructor(options: CallersOptions = {}) {
    this.#options = options;
  }

  /** Share of the requests that used a connection that was open already. */
  get reusedShare(): number {
    return this.#reusedCount / Math.max(1, this.#sentCount);
  }

  async call(options: CallOptions): Promise<Call> {
    const fromMs = performance.now();
    const { requestId, kind, key, router } = options;
    const first = await this.#send(options, { attemptId: requestId, router });
    const firstToMs = performance.now();
    const resumptions: Resumption[] = [];
    const result = kind === "chat"
      ? await this.#resume(options, { first, resumptions })
      : { ...first, requestId };
    const { end, detail, events = [], received = 0 } = result;
    const toMs = performance.now();
    return {
      requestId,
      kind,
      router: router.name,
      key,
      fromMs,
      toMs,
      end,
      detail,
      last: { requestId: result.requestId, received },
      versions: [...new Set(events.map(getEventVersion))],
      first: { end: first.end, toMs: firstToMs },
      resumptions,
    };
  }

  /** Takes up a cut stream at other routers, and adds the events. */
  async #resume(
    options: CallOptions,
    { first, resumptions }: { first: CallResult; resumptions: Resumption[] },
  ): Promise<CallResult & { requestId: string }> {
    const { pickRouter, countServing = () => 0 } = this.#options;
    const { requestId } = options;
    let { router } = options;
    let result = first;
    const events = [...first.events ?? []];
    let attemptId = requestId;
    if (pickRouter === undefined || events.length === 0) {
      return { ...first, requestId };
    }
    for (let each = 1; each <= MAX_RESUMPTIONS; each++) {
      if (FINAL_ENDS.has(result.end)) break;
      await sleep(RESUMPTION_PAUSE_MS);
      router = pickRouter(router);
      const version = getEventVersion(events[0]!);
      const servingCount = countServing(version);
      const fromMs = performance.now();
      attemptId = `${requestId}-${each}`;
      result = await this.#send(options, {
        attemptId,
        router,
        resumed: { id: requestId, lastEventId: events.at(-1)!.id ?? 0 },
      });
      if (result.end === "no-connection") continue;
      const { events: added = [] } = result;
      resumptions.push({
        router: router.name,
        version,
        servingCount,
        fromMs,
        toMs: performance.now(),
        hasGoneOn: added.length > 0 || result.end === "whole",
      });
      events.push(...added);
    }
    // The stream has begun, whatever the last request for it got.
    const end = FINAL_ENDS.has(result.end) ? result.end : "broken";
    return { ...result, end, events, requestId: attemptId };
  }

  close(): void {
    this.#agent.destroy();
  }

  #send(options: CallOptions, attempt: Attempt): Promise<CallResult> {
    const { requestId, kind, key, subject, parts = [] } = options;
    const { attemptId, router, resumed } = attempt;
    const prompt = [subject, ...parts].map((part) => `${part}:80`).join();
    const [host, port] = router.address.split(":");
    const isPost = kind !== "read";
    const { body = isPost ? JSON.stringify({ requestId }) : "" } = options;
    return new Promise((resolve) => {
      const request = sendRequest({
        agent: this.#agent,
        host,
        port,
        method: isPost ? "POST" : "GET",
        path: `/${kind}/x`,
        headers: {
          "host": ROUTE_HOST,
          "authorization": `Bearer ${key}`,
          "x-attempt-id": attemptId,
          "x-deadline-ms": String(CALL_TIMEOUT_MS),
          "x-model": "m",
          "x-token-counts": "100,50",
          "x-prompt-prefix": `${prompt},${requestId}:20`,
          "content-length": String(Buffer.byteLength(body)),
          ...(resumed !== undefined && {
            "resumes": resumed.id,
            "last-event-id": String(resumed.lastEventId),
          }),
        },
      });
      const timer = setTimeout(() => {
        request.destroy();
        resolve({ end: "broken", detail: "call timed out" });
      }, CALL_TIMEOUT_MS);
      function finish(result: CallResult): void {
        clearTimeout(timer);
        resolve(result);
      }
      request.once("socket", () => {
        this.#sentCount++;
        if (request.reusedSocket) this.#reusedCount++;
      });
      const connection = { isReset: false };
      let hasHead = false;
      request.on("error", (cause: NodeJS.ErrnoException) => {
        connection.isReset = true;
        // The reader of the response reports what came before.
        if (hasHead) return;
        const isRefused = cause.code === "ECONNREFUSED";
        const end = isRefused ? "no-connection" : "broken";
        finish({ end, detail: cause.code ?? cause.message });
      });
      request.on("response", (response) => {
        hasHead = true;
        void readResponse(response, { kind, connection, ...attempt })
          .then(finish);
      });
      request.end(body);
    });
  }
}

async function readResponse(
  response: IncomingMessage,
  { kind, connection, attemptId, resumed }:
    & Attempt
    & Pick<CallOptions, "kind">
    & { connection: { readonly isReset: boolean } },
): Promise<CallResult> {
  const chunks: Buffer[] = [];
  let isBroken = false;
  let size = 0;
  try {
    for await (const chunk of response) {
      chunks.push(chunk as Buffer);
      size += (chunk as Buffer).length;
      // Leaving the loop closes the connection.
      if (size > MAX_ANSWER_BYTES) {
        return { end: "broken", detail: "answer without end" };
      }
    }
  } catch {
    // Reported through `isComplete`.
    isBroken = true;
  }
  const status = response.statusCode ?? 0;
  const body = Buffer.concat(chunks);
  // Without framing, a close completes the answer (RFC 9112, section 6.3), and
  // only a reset does not.
  const isComplete = response.complete && !isBroken && !connection.isReset;
  const signature = response.headers["x-response-stamp"];
  if (status === STATUS_OK) {
    if (typeof signature !== "string" || !signature.endsWith(`/${attemptId}`)) {
      return { end: "wrong", detail: `unexpected signature ${signature}` };
    }
    const isStream = kind === "chat" || kind === "plan";
    return isStream
      ? checkStream(body, {
        streamId: resumed?.id ?? attemptId,
        lastEventId: resumed?.lastEventId ?? 0,
        isComplete,
      })
      : checkBody(body, { requestId: attemptId, isComplete, signature });
  }
  if (NOT_RUN_STATUSES.has(status)) {
    return { end: "refused", detail: `${status} ${body.toString()}` };
  }
  if (status === STATUS_UNAUTHORIZED) {
    return { end: "unauthorized", detail: "401" };
  }
  return { end: "failed", detail: `${status} ${body.toString()}` };
}

const BROKEN: CallResult = { end: "broken", detail: "response ended early" };

function checkBody(
  body: Buffer,
  { requestId, isComplete, signature }: {
    requestId: string;
    isComplete: boolean;
    signature: string;
  },
): CallResult {
  if (!isComplete) return BROKEN;
  const text = body.toString();
  const upstream = signature.slice(0, -requestId.length - 1);
  const expected = JSON.stringify({ requestId, upstream });
  const isExpected = signature === createResponseStamp(upstream, requestId) &&
    text === expected;
  if (text.length < expected.length && expected.startsWith(text)) {
    const detail = `response complete after only ${text.length} bytes`;
    return { end: "short", detail, received: text.length };
  }
  return isExpected
    ? { end: "whole", detail: "" }
    : { end: "wrong", detail: `unexpected body ${text}` };
}

function checkStream(
  body: Buffer,
  { streamId, lastEventId, isComplete }: {
    streamId: string;
    lastEventId: number;
    isComplete: boolean;
  },
): CallResult {
  const events = new EventSplitter().push(body);
  const begun = countEventsUpTo(streamId, lastEventId);
  for (const [place, { id, bytes }] of events.entries()) {
    const text = bytes.toString();
    const index = begun + place + 1;
    const isExpected = id === getEventId(streamId, index) &&
      text.includes(`data: ${formatEventData(streamId, index)} `);
    if (!isExpected) {
      const detail = `unexpected event ${index}: ${JSON.stringify(text)}`;
      return { end: "wrong", detail };
    }
  }
  const received = begun + events.length;
  if (isComplete && received !== getEventCount(streamId)) {
    const detail = `response complete after only ${events.length} events`;
    const isShort = received < getEventCount(streamId);
    return { end: isShort ? "short" : "wrong", detail, events, received };
  }
  return isComplete
    ? { end: "whole", detail: "", events }
    : { ...BROKEN, events };
}

/** Returns the version of the software that made an event. */
function getEventVersion({ bytes }: StreamEvent): string {
  return EVENT_VERSION_PATTERN.exec(bytes.toString())?.[1] ?? "";
}
