/**
 * Upstreams that send bytes without end, to a router in a process of its own,
 * beside callers at sound upstreams. Needs a build.
 */
import type { Buffer } from "node:buffer";
import {
  beginStream,
  createSignedHead,
  LocalIngress,
  type ReceivedRequest,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";
import { LimitedRouter } from "./testing/limited_router.ts";

/** The memory that sites of the default size grant a router, in MB. */
const MEMORY_MB = 350;
/** Longest wait of a caller whose upstream is sound, or that is tried again. */
const MAX_WAIT_MS = 1_000;
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";
/** Largest answer that a router holds. */
const MAX_ANSWER_BYTES = 16_777_216;
const PART_BYTES = 65_536;
const LARGE_CHUNK = `${PART_BYTES.toString(16)}\r\n${
  "b".repeat(PART_BYTES)
}\r\n`;
const TINY_CHUNKS = "1\r\nb\r\n".repeat(10_000);

let fleet: LocalIngress;
let router: LimitedRouter;
let count = 0;

beforeEach(async () => {
  fleet = await new LocalIngress().start({
    bounds: { graceS: 1, retrySlack: 500 },
    memoryMb: MEMORY_MB,
    timeoutMs: 8_000,
    upstreams: 3,
    startDaemon: async (settings) => {
      router = new LimitedRouter(settings);
      await router.untilStarted();
      return router;
    },
  });
});

afterEach(async () => {
  await fleet.close();
});

/** What a faulty upstream sends. */
interface Garbage {
  /** End of its head, or "stream" for the head of a stream. */
  readonly start: string;
  readonly status?: number;
  /** What follows without end. */
  readonly part: string;
}

/** Writes `start` and then `part` for as long as the router reads. */
function sendEndlessly(
  request: ReceivedRequest,
  { start, status = 200, part }: Garbage,
): void {
  const { socket } = request;
  if (start === "stream") beginStream(request);
  else socket.write(createSignedHead(request, { status, more: start }));
  function write(): void {
    while (!socket.destroyed && socket.write(part, "latin1"));
  }
  socket.on("drain", write);
  write();
}

/**
 * Has one upstream send `part` without end to `callers` at once, while others
 * ask the sound upstreams as well. Returns the statuses of all.
 */
async function play(
  { callers, path = "/read/x", ...garbage }: Garbage & {
    callers: number;
    path?: string;
  },
): Promise<{ statuses: number[]; longestMs: number }> {
  const [faulty, ...sound] = fleet.upstreams;
  faulty!.script = (request) => sendEndlessly(request, garbage);
  for (const each of sound) each.script = (request) => sendSound(request);
  const durations: number[] = [];
  async function ask(): Promise<number> {
    const startedAt = performance.now();
    const answer = await fleet.ask({
      id: `parts-${++count}`,
      path,
      deadlineMs: 8_000,
    }).catch(() => ({ status: 0, isComplete: false }));
    durations.push(performance.now() - startedAt);
    return answer.isComplete ? answer.status : 0;
  }
  const statuses = await Promise.all(Array.from({ length: callers }, ask));
  return { statuses, longestMs: Math.max(...durations) };
}

function sendSound(request: ReceivedRequest): void {
  const isStream = request.head.startsWith("GET /chat/");
  if (!isStream) {
    sendCompleteResponse(request);
    return;
  }
  beginStream(request);
  const event = "id: 1\ndata: a\n\n";
  request.socket.write(`${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`);
}

// Guards against a process that ends since its heap is exhausted by one object
// for each chunk of a byte, and against a thread that is taken from all others
// by bytes that bring nothing (FAULT).
test.each([
  { name: "chunks of a byte", start: CHUNKED, part: TINY_CHUNKS },
  {
    name: "chunks of a byte in a stream",
    path: "/chat/x",
    start: "stream",
    part: TINY_CHUNKS,
  },
  {
    name: "chunk extensions",
    start: `${CHUNKED}1;`,
    part: "x=y;".repeat(16_384),
  },
  {
    name: "trailers",
    start: `${CHUNKED}0\r\n`,
    part: "a: b\r\n".repeat(10_000),
  },
  { name: "head fields", start: "", part: "a: b\r\n".repeat(10_000) },
  {
    name: "informational heads",
    start: "x: y\r\n\r\n",
    status: 102,
    part: "HTTP/1.1 102 X\r\n\r\n".repeat(4_000),
  },
  {
    name: "comments",
    path: "/chat/x",
    start: "stream",
    part: `ea60\r\n${":\n\n".repeat(20_000)}\r\n`,
  },
  {
    name: "tiny events",
    path: "/chat/x",
    start: "stream",
    part: `ea60\r\n${"a\n\n".repeat(20_000)}\r\n`,
  },
])("$name without end cost no other caller", async (options) => {
  const { statuses, longestMs } = await play({ callers: 12, ...options });
  expect(router.isRunning).toBe(true);
  expect(statuses).toEqual(Array(12).fill(200));
  expect(longestMs).toBeLessThan(MAX_WAIT_MS);
  expect(router.peakMb).toBeLessThan(MEMORY_MB);
}, 40_000);

// Guards against bodies and events without end that stay below the limit of one
// answer each and fill the memory together (FAULT).
test.each([
  { name: "bodies", callers: 24, start: CHUNKED, part: LARGE_CHUNK },
  { name: "bodies", callers: 120, start: CHUNKED, part: LARGE_CHUNK },
  {
    name: "close-delimited bodies",
    callers: 24,
    start: "\r\n",
    part: "b".repeat(PART_BYTES),
  },
  {
    name: "events",
    callers: 120,
    path: "/chat/x",
    start: "stream",
    part: LARGE_CHUNK,
  },
])(
  "$name without end of $callers callers stay within the memory",
  async (options) => {
    const { statuses } = await play(options);
    expect(router.isRunning).toBe(true);
    expect(statuses).toEqual(Array(options.callers).fill(200));
    expect(router.peakMb).toBeLessThan(MEMORY_MB);
  },
  40_000,
);

test("whole answers of the largest size pass, several at once", async () => {
  const body = "s".repeat(MAX_ANSWER_BYTES);
  fleet.script((request) => sendCompleteResponse(request, { body }));
  const answers = await Promise.all(
    Array.from(
      { length: 4 },
      (_, index) => fleet.open({ id: `whole-${index}`, deadlineMs: 8_000 }),
    ),
  );
  const sizes = await Promise.all(answers.map(async (answer) => {
    let bytes = 0;
    for await (const chunk of answer) bytes += (chunk as Buffer).length;
    return answer.complete ? bytes : 0;
  }));
  expect(sizes).toEqual(Array(4).fill(MAX_ANSWER_BYTES));
  expect(router.peakMb).toBeLessThan(MEMORY_MB);
}, 40_000);

// Guards against answers that callers don't read (FAULT): the process would
// hold all of them.
test("answers that callers don't read are bounded", async () => {
  const body = "s".repeat(MAX_ANSWER_BYTES);
  fleet.script((request) => sendCompleteResponse(request, { body }));
  const unread = [];
  for (let index = 0; index < 20; index++) {
    const request = { id: `unread-${index}`, deadlineMs: 8_000 };
    const answer = await fleet.open(request);
    unread.push(answer.on("error", () => {}));
  }
  fleet.script((request) => sendCompleteResponse(request));
  expect((await fleet.ask({ id: "other" })).status).toBe(200);
  for (const answer of unread) answer.destroy();
  expect(router.isRunning).toBe(true);
  expect(router.peakMb).toBeLessThan(MEMORY_MB);
}, 40_000);
