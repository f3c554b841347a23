import { Buffer } from "node:buffer";
import fc from "fast-check";
import {
  type ChatBody,
  formatLastEvents,
  formatTokenEvent,
  getExpectedAnswer,
  getExpectedEventStream,
} from "../../testing/answer.ts";
import type { IncomingResponse } from "../transport/http_client.ts";
import { streamResponse } from "./stream_response.ts";
import {
  createIncomingResponse,
  createSendFailure,
  createTestExchange,
  ScriptedClient,
  type SendResult,
} from "./testing/fakes.ts";

const body: ChatBody = {
  model: "kiln",
  messages: [{ role: "user", content: "when is it cool enough to open" }],
  "max_tokens": 12,
};
const answer = getExpectedAnswer(body);
const expectedStream = getExpectedEventStream(body);
const ERROR = "event: error\n";
const connectionReset = new Error("reset");

/** Renders the stream from the token `offset` to the end. */
function streamFrom(offset: number): Buffer {
  const events = answer.tokens.slice(offset).map((_, index) =>
    formatTokenEvent(answer, offset + index)
  );
  return Buffer.from(events.join("") + formatLastEvents(answer));
}

interface Options {
  /** Number of bytes before each successive connection breaks. */
  cuts?: readonly number[];
  /** Whether a broken stream ends normally instead of with an error. */
  endsWithoutError?: boolean;
  /** Overrides the result of a resume request. */
  resume?: (index: number) => SendResult | undefined;
  first?: IncomingResponse;
  signal?: AbortSignal;
  isResumable?: boolean;
  hasTokenEvents?: boolean;
}

function unwrap(sent: SendResult): IncomingResponse {
  return sent.unwrap();
}

async function runStream(options: Options = {}) {
  const { cuts = [], endsWithoutError = false, resume, isResumable = true } =
    options;
  const isComplete: boolean[] = [];
  const cut = (bytes: Buffer, index: number) => {
    const end = cuts[index];
    if (end === undefined || end >= bytes.length) return [bytes];
    return [
      bytes.subarray(0, end),
      ...(endsWithoutError ? [] : [connectionReset]),
    ];
  };
  const client = new ScriptedClient(({ path }, index) => {
    const given = resume?.(index);
    if (given !== undefined) return given;
    const offset = Number(/offset=(\d+)$/.exec(path)![1]);
    return createIncomingResponse(200, {}, cut(streamFrom(offset), index + 1));
  });
  const first = options.first ??
    unwrap(createIncomingResponse(200, {}, cut(streamFrom(0), 0)));
  const exchange = createTestExchange({
    signal: options.signal ?? new AbortController().signal,
  });
  const stream = streamResponse(exchange, {
    answer: first,
    attempt: isResumable
      ? { attemptId: "a1", address: "u1:1", betweenBytesTimeoutMs: 100 }
      : undefined,
    hasTokenEvents: options.hasTokenEvents ?? true,
    client,
    onEnd: (end) => isComplete.push(end),
  });
  const chunks: Uint8Array[] = [];
  let failure: unknown;
  try {
    for await (const chunk of stream) chunks.push(chunk);
  } catch (cause) {
    failure = cause;
  }
  const text = Buffer.concat(chunks).toString();
  return { text, isComplete, sent: client.sent, failure, first };
}

/** Returns the text before the error event, after checking that event. */
function getEventsBeforeError(text: string): string {
  const at = text.indexOf(ERROR);
  expect(at).toBeGreaterThanOrEqual(0);
  const [, problem] = text.slice(at).split("\ndata: ");
  expect(JSON.parse(problem!)).toMatchObject({
    type: "urn:corianderflow:upstream-failed",
    ran: "unknown",
  });
  expect(text.endsWith("\n\n")).toBe(true);
  return text.slice(0, at);
}

test("a stream that breaks twice is forwarded without gaps or duplicates", async () => {
  const cut = fc.integer({ min: 0, max: expectedStream.length });
  await fc.assert(
    fc.asyncProperty(
      cut,
      cut,
      fc.boolean(),
      async (one, two, endsWithoutError) => {
        const { text, isComplete } = await runStream({
          cuts: [one, two],
          endsWithoutError,
        });
        expect(text).toBe(expectedStream);
        expect(isComplete).toEqual([true]);
      },
    ),
    { seed: 3, numRuns: 300 },
  );
});

test("tokens that an upstream sends again after a resume are dropped", async () => {
  const { text } = await runStream({
    cuts: [expectedStream.length / 2],
    resume: () => createIncomingResponse(200, {}, [streamFrom(0)]),
  });
  expect(text).toBe(expectedStream);
});

const refusals: Record<string, Options> = {
  "that breaks a third time": { cuts: [300, 300, 300] },
  "that can't be resumed": { cuts: [300], isResumable: false },
  "whose upstream is unreachable": {
    cuts: [300],
    resume: () => createSendFailure("not-sent"),
  },
  "whose attempt is unknown to the upstream": {
    cuts: [300],
    resume: () => createIncomingResponse(404, {}),
  },
  "whose caller has disconnected": { cuts: [300], signal: AbortSignal.abort() },
};

test.each(Object.keys(refusals))(
  "a stream %s ends with an error event",
  async (name) => {
    const { text, isComplete } = await runStream(refusals[name]);
    expect(expectedStream.startsWith(getEventsBeforeError(text))).toBe(true);
    expect(isComplete).toEqual([false]);
  },
);

test("an error event from the previous hop is forwarded and ends the stream", async () => {
  const event = 'event: error\ndata: {"ran":"unknown"}\n\n';
  const half = expectedStream.slice(0, expectedStream.indexOf("id: 3"));
  const first = Buffer.from(half + event);
  const { text, sent, isComplete } = await runStream({
    cuts: [0],
    resume: () => createIncomingResponse(200, {}, [first]),
  });
  expect(text).toBe(half + event);
  expect([sent.length, isComplete]).toEqual([1, [false]]);
});

test("a stream that skips a token is resumed at the missing token", async () => {
  const late = unwrap(createIncomingResponse(200, {}, [streamFrom(2)]));
  const { text, sent } = await runStream({ first: late });
  expect(text).toBe(expectedStream);
  expect(sent.map(({ path }) => path)).toEqual([
    "/v1/attempts/a1/stream?offset=0",
  ]);
});

test("keep-alive comments are not forwarded", async () => {
  const { text } = await runStream({
    cuts: [0],
    resume: () =>
      createIncomingResponse(200, {}, [
        ":\n\n",
        expectedStream.slice(0, 100),
        expectedStream.slice(100),
      ]),
  });
  expect(text).toBe(expectedStream);
});

test("a broken body that is not an event stream throws its error", async () => {
  const { isComplete, failure } = await runStream({
    cuts: [300],
    hasTokenEvents: false,
  });
  expect(failure).toBe(connectionReset);
  expect(isComplete).toEqual([false]);
});
