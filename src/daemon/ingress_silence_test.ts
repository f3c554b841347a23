/**
 * Answers that pause while the other upstreams do not take the request, as an
 * engine pauses that has preempted it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  beginStream,
  createSignedHead,
  endStream,
  LocalIngress,
  type ReceivedRequest,
  sendCompleteResponse,
  sendEvent,
} from "./testing/local_ingress.ts";

/** Shorter than the two seconds after which callers abandon a stream. */
const PAUSE_MS = 1_800;
const EVENTS = 4;
const WHOLE_STREAM = Array.from(
  { length: EVENTS },
  (_, index) => `id: ${index + 1}\ndata: d${index + 1}\n\n`,
).join("");

const STREAM_PATH = "/chat/x";
/** More than the requests that one test has open at a time. */
const MANY_SLOTS = 50;

const FULL_UPSTREAMS = 2;
/** Slots of an upstream unless others are set. */
const SLOTS = 4;

let fleet: LocalIngress;

beforeAll(async () => {
  fleet = await new LocalIngress().start({ upstreams: 3, timeoutMs: 5_000 });
  for (const upstream of fleet.upstreams) {
    fleet.putUpstream(upstream, { slots: MANY_SLOTS });
  }
});

afterAll(() => fleet.close());

function rejectAsFull(request: ReceivedRequest): void {
  const more = "x-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
  request.socket.write(createSignedHead(request, { status: 503, more }));
}

/** Sends `events` and pauses before the event `pauseBefore`. */
async function sendStream(
  request: ReceivedRequest,
  { from = 1, pauseBefore = 0 }: { from?: number; pauseBefore?: number } = {},
): Promise<void> {
  beginStream(request);
  for (let id = from; id <= EVENTS; id++) {
    if (id === pauseBefore) await sleep(PAUSE_MS);
    sendEvent(request, id);
  }
  endStream(request);
}

/** Answers that pause, by where they do. */
const PAUSES: Record<
  string,
  { path: string; answer: (request: ReceivedRequest) => Promise<void> }
> = {
  "before the head of a stream": {
    path: STREAM_PATH,
    answer: async (request) => {
      await sleep(PAUSE_MS);
      await sendStream(request);
    },
  },
  "before its first event": {
    path: STREAM_PATH,
    answer: (request) => sendStream(request, { pauseBefore: 1 }),
  },
  "between its events": {
    path: STREAM_PATH,
    answer: (request) => sendStream(request, { pauseBefore: 3 }),
  },
  "before the head of a plain answer": {
    path: "/read/x",
    answer: async (request) => {
      await sleep(PAUSE_MS);
      sendCompleteResponse(request);
    },
  },
  "within an answer without a length": {
    path: "/read/x",
    answer: async (request) => {
      request.socket.write(createSignedHead(request, { more: "\r\no" }));
      await sleep(PAUSE_MS);
      request.socket.end("k");
    },
  },
  "within a plain answer": {
    path: "/read/x",
    answer: async (request) => {
      const more = "content-length: 2\r\n\r\no";
      request.socket.write(createSignedHead(request, { more }));
      await sleep(PAUSE_MS);
      request.socket.write("k");
    },
  },
};

/** What upstreams do that do not take the request. */
const REFUSALS: Record<string, (request: ReceivedRequest) => void> = {
  "reject it at once": rejectAsFull,
  "reject it when the pause is over": (request) =>
    void setTimeout(() => rejectAsFull(request), PAUSE_MS),
  "end the connection": ({ socket }) => socket.destroy(),
  "answer nothing": () => {},
};

// Guards against an answer that is cut off, though its upstream would have gone on
// with it, because no data came for a time and another upstream was asked (LOST).
test.each(Object.entries(PAUSES))(
  "an answer with a pause %s is whole, whatever others do",
  async (name, { path, answer }) => {
    const arrived = new Map<string, ReceivedRequest[]>();
    fleet.script((request) => {
      const requests = arrived.get(request.id) ?? [];
      arrived.set(request.id, [...requests, request]);
      const refuse = REFUSALS[request.id.split(": ")[1]!]!;
      if (requests.length === 0) void answer(request);
      else refuse(request);
    });
    const answers = await Promise.all(
      Object.keys(REFUSALS).map(async (refusal) => {
        const id = `${name}: ${refusal}`;
        const request = { id, path, deadlineMs: 5_000 };
        const { status, text, isComplete } = await fleet.ask(request);
        return { refusal, status, text, isComplete };
      }),
    );
    const text = path === STREAM_PATH ? WHOLE_STREAM : "ok";
    expect(answers).toEqual(
      Object.keys(REFUSALS).map((refusal) => (
        { refusal, status: 200, text, isComplete: true }
      )),
    );
    for (const requests of arrived.values()) expect(requests.length).toBe(2);
  },
);

// Guards against two upstreams that both go on with a stream (TWICE).
test("an upstream that goes on with a silent stream ends the try before", async () => {
  const silent: ReceivedRequest[] = [];
  let closedAt = 0;
  let resumedAt = 0;
  fleet.script(async (request) => {
    if (silent.push(request) === 1) {
      request.socket.once("close", () => closedAt = performance.now());
      beginStream(request);
      sendEvent(request, 1);
      sendEvent(request, 2);
      return;
    }
    // The upstream reads the prompt before it accepts the request.
    await sleep(300);
    resumedAt = performance.now();
    const from = Number(request.headers["last-event-id"] ?? 0) + 1;
    await sendStream(request, { from });
  });
  const { text, isComplete } = await fleet.ask({
    path: STREAM_PATH,
    deadlineMs: 5_000,
  });
  expect({ text, isComplete }).toEqual({
    text: WHOLE_STREAM,
    isComplete: true,
  });
  await sleep(50);
  expect(closedAt).toBeGreaterThan(resumedAt);
  expect(closedAt - resumedAt).toBeLessThan(400);
});

// Guards against an event that is missing because it has no data and another try
// is open when it comes (ORDER).
test("an event without data is forwarded while another try is open", async () => {
  const arrived: ReceivedRequest[] = [];
  fleet.script((request) => {
    beginStream(request);
    if (arrived.push(request) === 1) {
      sendEvent(request, 1);
      sendEvent(request, 2);
      return;
    }
    request.socket.write("7\r\nid: 3\n\n\r\n");
    sendEvent(request, 4);
    endStream(request);
  });
  const { text, isComplete } = await fleet.ask({
    path: STREAM_PATH,
    deadlineMs: 5_000,
  });
  expect(arrived.length).toBe(2);
  expect({ text, isComplete }).toEqual({
    text: WHOLE_STREAM.replace("data: d3\n", ""),
    isComplete: true,
  });
});

// Guards against a request that holds two slots after its first upstream has gone
// on, and against events of two upstreams in one answer (ORDER).
test("a stream that goes on ends the try beside it", async () => {
  const arrived: ReceivedRequest[] = [];
  let isSecondClosed = false;
  fleet.script(async (request) => {
    if (arrived.push(request) === 1) {
      await sendStream(request, { pauseBefore: 3 });
      return;
    }
    request.socket.once("close", () => isSecondClosed = true);
    beginStream(request);
    // A comment is no event of the stream.
    request.socket.write("4\r\n: a\n\r\n2\r\n\n\n\r\n");
    await sleep(PAUSE_MS);
    if (!request.socket.destroyed) await sendStream(request, { from: 3 });
  });
  const { text, isComplete } = await fleet.ask({
    path: STREAM_PATH,
    deadlineMs: 5_000,
  });
  expect({ text, isComplete }).toEqual({
    text: WHOLE_STREAM,
    isComplete: true,
  });
  expect(arrived.length).toBe(2);
  await sleep(50);
  expect(isSecondClosed).toBe(true);
});

// Guards against a request that waits in two queues and so makes others wait.
test("a request that may still be answered takes no second slot where none is free", async () => {
  const full = await new LocalIngress()
    .start({ upstreams: FULL_UPSTREAMS, timeoutMs: 5_000 });
  const arrived: ReceivedRequest[] = [];
  full.script((request) => void arrived.push(request));
  const answers = Array.from(
    { length: FULL_UPSTREAMS * SLOTS },
    (_, index) => full.ask({ id: `full-${index}`, deadlineMs: 4_000 }),
  );
  await sleep(PAUSE_MS);
  const arrivedIds = arrived.map(({ id }) => id);
  for (const request of arrived) sendCompleteResponse(request);
  const statuses = (await Promise.all(answers)).map(({ status }) => status);
  await full.close();
  expect(new Set(arrivedIds).size).toBe(arrivedIds.length);
  expect(statuses).toEqual(answers.map(() => 200));
});
