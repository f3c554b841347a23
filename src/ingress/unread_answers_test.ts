/** What the unread answers of callers count, on kept connections. */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { MemoryBudget } from "../policy/memory_budget.ts";
import { StreamRelay } from "./stream_relay.ts";
import { UnreadAnswer } from "./unread_answers.ts";

const BODY = Buffer.alloc(1_000_000, "b");
/** Answers that wait behind the first one of their connection. */
const QUEUED = 20;
const MAX_WAIT_MS = 2_000;

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Holds the answer to `response` until its caller has read it. */
type Writer = (response: ServerResponse, memory: MemoryBudget) => void;

function writeWhole(response: ServerResponse, memory: MemoryBudget): void {
  response.writeHead(200, { "content-length": BODY.length });
  response.end(BODY);
  new UnreadAnswer(response, memory).resize(BODY.length);
}

function writeEvent(response: ServerResponse, memory: MemoryBudget): void {
  const options = { lastEventId: undefined, clock: () => 0, memory };
  const relay = new StreamRelay(response, options);
  relay.start(200, {});
  const event = { isFinal: false, isError: false, isComment: false };
  relay.write(
    [{ ...event, id: 1, idText: "1", hasData: true, bytes: BODY }],
    {
      pause: () => {},
      resume: () => {},
    },
  );
}

/**
 * Lets connections each ask for an answer that doesn't come and for QUEUED
 * others, which `write` answers. Returns what is held once all are written.
 */
async function queueAnswers(
  { write, connections, limitBytes }: {
    write: Writer;
    connections: number;
    limitBytes: number;
  },
): Promise<
  { memory: MemoryBudget; callers: Socket[]; first: ServerResponse[] }
> {
  const memory = new MemoryBudget({ limitBytes });
  const first: ServerResponse[] = [];
  let written = 0;
  const server = createServer((request, response) => {
    response.on("error", () => {});
    if (request.url === "/first") {
      first.push(response);
      return;
    }
    write(response, memory);
    written++;
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const callers: Socket[] = [];
  closers.push(() => {
    for (const each of callers) each.destroy();
    server.close();
  });
  for (let index = 0; index < connections; index++) {
    const caller = connect(port, "127.0.0.1");
    caller.on("error", () => {});
    callers.push(caller);
    const paths = ["/first", ...Array<string>(QUEUED).fill("/next")];
    caller.write(
      paths.map((path) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""),
    );
  }
  await waitUntil(() =>
    written === connections * QUEUED || memory.evictions > 0
  );
  return { memory, callers, first };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const end = performance.now() + MAX_WAIT_MS;
  while (!condition() && performance.now() < end) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

// Guards against answers that are held for good since their connection closed
// before their turn to be written (FAULT).
test.each([
  { name: "answers", write: writeWhole },
  { name: "streams", write: writeEvent },
])(
  "$name that wait behind another are released with their connection",
  async ({ write }) => {
    const limitBytes = 1e9;
    const options = { write, connections: 3, limitBytes };
    const { memory, callers, first } = await queueAnswers(options);
    expect(memory.heldBytes).toBeGreaterThanOrEqual(3 * QUEUED * BODY.length);
    for (const each of callers) each.destroy();
    // Node reads nothing more, and so no end, while much waits to be written.
    for (const each of first) each.end("late");
    await waitUntil(() => memory.heldBytes === 0);
    expect(memory.heldBytes).toBe(0);
  },
);

// Guards against answers that are given up and yet stay in memory, since they
// wait behind another on an open connection (FAULT).
test("giving up an answer that waits behind another closes its connection", async () => {
  const limitBytes = QUEUED * BODY.length / 2;
  const options = { write: writeWhole, connections: 1, limitBytes };
  const { memory, callers } = await queueAnswers(options);
  const [caller] = callers;
  await waitUntil(() => caller!.destroyed);
  expect(memory.evictions).toBeGreaterThan(0);
  expect(caller!.destroyed).toBe(true);
  await waitUntil(() => memory.heldBytes === 0);
  expect(memory.heldBytes).toBe(0);
});
