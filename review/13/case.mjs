/**
 * Guards against a stop that closes a connection after a stream, while a later
 * request that was read from it runs at a runner (LOST).
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Caller } from "../lib_3/caller.mjs";
import { runCase } from "../lib_3/run_case.mjs";

const CALLERS = 6;
/** Time from SIGTERM to the first request, in milliseconds. */
const AFTER_STOP_MS = 300;
/** Time from the stream's request to the booking, in milliseconds. */
const BETWEEN_MS = 100;
const FIRST_EVENT_MS = 400;
const EVENTS = 4;
const EVENT_INTERVAL_MS = 100;
const BOOKING_MS = 50;
const STREAM_DEADLINE_MS = 3_000;
const BOOKING_DEADLINE_MS = 3_000;

function renderChunk(text) {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

async function stream({ id, socket }) {
  await sleep(FIRST_EVENT_MS);
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Stamp: s/${id}\r\n` +
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  for (let event = 1; event <= EVENTS; event++) {
    socket.write(renderChunk(`id: ${event}\ndata: part ${event}\n\n`));
    await sleep(EVENT_INTERVAL_MS);
  }
  socket.write("0\r\n\r\n");
}

async function book({ id, socket }) {
  await sleep(BOOKING_MS);
  const body = `booked ${id}`;
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Stamp: s/${id}\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
}

await runCase(import.meta.url, async ({ fleet, isTrouble, record }) => {
  fleet.putConfiguration({
    routes: [
      {
        name: "tag",
        prefix: "/tag/",
        kind: "stream",
        service: "model",
        timeoutMs: STREAM_DEADLINE_MS,
        maxAttempts: 1,
      },
      {
        name: "book",
        prefix: "/book/",
        kind: "non_idempotent",
        service: "booking",
        timeoutMs: BOOKING_DEADLINE_MS,
        maxAttempts: 1,
      },
    ],
    services: ["model", "booking"]
      .map((name) => ({ name, coldStartS: 0, coldPerS: 0 })),
  });
  for (const [service, script] of [["model", stream], ["booking", book]]) {
    for (let index = 0; index < 2; index++) {
      await fleet.addRunner({ id: `${service}-${index}`, service, script });
    }
  }
  const router = await fleet.addRouter("router-1");
  const callers = Array.from(
    { length: CALLERS },
    () => new Caller({ port: router.callers }),
  );
  const booking = {
    method: "POST",
    path: "/book/",
    body: "{}",
    deadlineMs: BOOKING_DEADLINE_MS,
  };
  for (const [index, caller] of callers.entries()) {
    caller.send({ id: `first-${index}`, ...booking });
    const first = await caller.receive({ timeoutMs: BOOKING_DEADLINE_MS });
    record(`first-${index}: ${first?.status}`);
  }
  if (isTrouble) {
    router.kill("SIGTERM");
    record("SIGTERM to the router");
  }
  await sleep(AFTER_STOP_MS);
  for (const [index, caller] of callers.entries()) {
    const deadlineMs = STREAM_DEADLINE_MS;
    caller.send({ id: `tag-${index}`, path: "/tag/", deadlineMs });
  }
  record("sent the streams' requests");
  await sleep(BETWEEN_MS);
  for (const [index, caller] of callers.entries()) {
    const head = caller.hasBytes ? "after" : "before";
    caller.send({ id: `book-${index}`, ...booking });
    record(`sent book-${index} ${head} any byte of the answer to tag-${index}`);
  }
  const breaches = [];
  for (const [index, caller] of callers.entries()) {
    for (const id of [`tag-${index}`, `book-${index}`]) {
      const received = await caller.receive({ timeoutMs: STREAM_DEADLINE_MS });
      const run = fleet.arrived.find((each) => each.id === id);
      const fate = received === undefined
        ? `no whole answer, connection ${caller.end ?? "open"}`
        : `${received.status}, connection: ${received.headers.connection}`;
      record(`${id}: ${run ? "run" : "not run"}, ${fate}`);
      const isClosed = received === undefined && caller.end !== undefined;
      if (run === undefined || !isClosed) continue;
      breaches.push(`${id} ran, and its connection ended without an answer`);
    }
  }
  for (const line of router.output.split("\n")) {
    if (line.includes('"requestId":"book-')) record(`router's log: ${line}`);
  }
  return breaches;
});
