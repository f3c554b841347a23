import { Buffer } from "node:buffer";
import fc from "fast-check";
import {
  type ChatBody,
  expectedAnswer,
  expectedEventStream,
  formatLastEvents,
  formatTokenEvent,
} from "../../testing/answer.ts";
import type { IncomingAnswer } from "../transport/http_client.ts";
import { streamAnswer } from "./stream_answer.ts";
import {
  answerWith,
  createTestExchange,
  failSend,
  ScriptedClient,
  type Sent,
} from "./testing/fakes.ts";

const body: ChatBody = {
  model: "kiln",
  messages: [{ role: "user", content: "when is it cool enough to open" }],
  "max_tokens": 12,
};
const answer = expectedAnswer(body);
const whole = expectedEventStream(body);
const ERROR = "event: error\n";
const reset = new Error("reset");

/** The stream from the token `offset` on. */
function streamFrom(offset: number): Buffer {
  const events = answer.tokens.slice(offset).map((_, index) =>
    formatTokenEvent(answer, offset + index)
  );
  return Buffer.from(events.join("") + formatLastEvents(answer));
}

interface Options {
  /** Bytes of each stream that arrive before it breaks; in turn. */
  cuts?: readonly number[];
  /** Whether a broken stream ends without an error. */
  endsQuietly?: boolean;
  /** Answers of the requests to resume, where not from the offset. */
  resume?: (index: number) => Sent | undefined;
  first?: IncomingAnswer;
  signal?: AbortSignal;
  isResumable?: boolean;
  isEvents?: boolean;
}

function unwrap(sent: Sent): IncomingAnswer {
  return sent.unwrap();
}

async function pass(options: Options = {}) {
  const { cuts = [], endsQuietly = false, resume, isResumable = true } =
    options;
  const isWhole: boolean[] = [];
  const cut = (bytes: Buffer, index: number) => {
    const end = cuts[index];
    if (end === undefined || end >= bytes.length) return [bytes];
    return [bytes.subarray(0, end), ...(endsQuietly ? [] : [reset])];
  };
  const client = new ScriptedClient(({ path }, index) => {
    const given = resume?.(index);
    if (given !== undefined) return given;
    const offset = Number(/offset=(\d+)$/.exec(path)![1]);
    return answerWith(200, {}, cut(streamFrom(offset), index + 1));
  });
  const first = options.first ??
    unwrap(answerWith(200, {}, cut(streamFrom(0), 0)));
  const exchange = createTestExchange({
    signal: options.signal ?? new AbortController().signal,
  });
  const stream = streamAnswer(exchange, {
    answer: first,
    attempt: isResumable
      ? { attemptId: "a1", address: "u1:1", betweenBytesTimeoutMs: 100 }
      : undefined,
    isEvents: options.isEvents ?? true,
    client,
    onEnd: (end) => isWhole.push(end),
  });
  const chunks: Uint8Array[] = [];
  let failure: unknown;
  try {
    for await (const chunk of stream) chunks.push(chunk);
  } catch (cause) {
    failure = cause;
  }
  const text = Buffer.concat(chunks).toString();
  return { text, isWhole, sent: client.sent, failure, first };
}

/** What was passed on before the error event, checked to be whole events. */
function beforeError(text: string): string {
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

test("a stream broken twice anywhere is passed on without a gap or a repeat", async () => {
  const cut = fc.integer({ min: 0, max: whole.length });
  await fc.assert(
    fc.asyncProperty(cut, cut, fc.boolean(), async (one, two, endsQuietly) => {
      const { text, isWhole } = await pass({ cuts: [one, two], endsQuietly });
      expect(text).toBe(whole);
      expect(isWhole).toEqual([true]);
    }),
    { seed: 3, numRuns: 300 },
  );
});

test("tokens that an upstream repeats after a resume are dropped", async () => {
  const { text } = await pass({
    cuts: [whole.length / 2],
    resume: () => answerWith(200, {}, [streamFrom(0)]),
  });
  expect(text).toBe(whole);
});

const refusals: Record<string, Options> = {
  "that is broken a third time": { cuts: [300, 300, 300] },
  "that can't be resumed": { cuts: [300], isResumable: false },
  "whose upstream has fallen": {
    cuts: [300],
    resume: () => failSend("not-sent"),
  },
  "whose attempt is forgotten": {
    cuts: [300],
    resume: () => answerWith(404, {}),
  },
  "whose caller has gone": { cuts: [300], signal: AbortSignal.abort() },
};

test.each(Object.keys(refusals))(
  "a stream %s ends in an error event",
  async (name) => {
    const { text, isWhole } = await pass(refusals[name]);
    expect(whole.startsWith(beforeError(text))).toBe(true);
    expect(isWhole).toEqual([false]);
  },
);

test("the error event of the hop before is passed on as the last", async () => {
  const event = 'event: error\ndata: {"ran":"unknown"}\n\n';
  const half = whole.slice(0, whole.indexOf("id: 3"));
  const first = Buffer.from(half + event);
  const { text, sent, isWhole } = await pass({
    cuts: [0],
    resume: () => answerWith(200, {}, [first]),
  });
  expect(text).toBe(half + event);
  expect([sent.length, isWhole]).toEqual([1, [false]]);
});

test("a stream that skips a token is resumed before it", async () => {
  const late = unwrap(answerWith(200, {}, [streamFrom(2)]));
  const { text, sent } = await pass({ first: late });
  expect(text).toBe(whole);
  expect(sent.map(({ path }) => path)).toEqual([
    "/v1/attempts/a1/stream?offset=0",
  ]);
});

test("keep-alive comments are left out", async () => {
  const { text } = await pass({
    cuts: [0],
    resume: () =>
      answerWith(200, {}, [":\n\n", whole.slice(0, 100), whole.slice(100)]),
  });
  expect(text).toBe(whole);
});

test("a broken body that is no event stream is no whole answer", async () => {
  const { isWhole, failure } = await pass({ cuts: [300], isEvents: false });
  expect(failure).toBe(reset);
  expect(isWhole).toEqual([false]);
});
