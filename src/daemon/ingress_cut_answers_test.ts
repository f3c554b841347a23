/**
 * Answers that end with their connection, and answers that are cut off: by the
 * end of an upstream's process, or by the stop of the router.
 */
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { BALANCER_DRAIN_MS } from "../policy/stop_plan.ts";
import {
  API_KEY,
  createSignedHead,
  HOST,
  LocalIngress,
  type ReceivedRequest,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";

const EVENT_INTERVAL_MS = 20;

let fleet: LocalIngress;

beforeEach(async () => {
  fleet = await new LocalIngress().start({ upstreams: 3 });
});

afterEach(async () => {
  await fleet.close();
});

/** Sends the head of an answer that ends with its connection. */
function beginUnframed(
  request: ReceivedRequest,
  { type = "text/event-stream" } = {},
): void {
  const more = `content-type: ${type}\r\nconnection: close\r\n\r\n`;
  request.socket.write(createSignedHead(request, { more }));
}

function renderEvents({ from = 1, to }: { from?: number; to: number }): string {
  let text = "";
  for (let id = from; id <= to; id++) text += `id: ${id}\ndata: d${id}\n\n`;
  return text;
}

/** Closes the connection and the port, as the kernel does for a dead process. */
function endProcess({ socket }: ReceivedRequest): void {
  fleet.upstreams.find(({ arrived }) =>
    arrived.some((request) => request.socket === socket)
  )!.stopListening();
  socket.end();
}

/** Has the first upstream that is asked end amid its answer without a length. */
function endFirstProcess(
  begin: (request: ReceivedRequest) => void,
  then: (request: ReceivedRequest) => void,
): void {
  fleet.script((request) => {
    if (fleet.arrived.length > 1) return then(request);
    begin(request);
    setTimeout(() => endProcess(request), EVENT_INTERVAL_MS);
  });
}

// Guards against an answer without a length that a dying upstream leaves
// unfinished and that passes for a whole one, since its kernel closes the
// connection in the same way (MIXED).
test("an answer whose upstream has ended with its connection is not whole", async () => {
  const beginAnswer = (request: ReceivedRequest) => {
    beginUnframed(request, { type: "text/plain" });
    request.socket.write("par");
  };
  endFirstProcess(beginAnswer, sendCompleteResponse);
  const read = await fleet.ask({ id: "id-1", path: "/read/x" });
  expect(read).toMatchObject({ status: 200, text: "ok" });
  for (const upstream of fleet.upstreams) upstream.arrived.length = 0;
  endFirstProcess(beginAnswer, sendCompleteResponse);
  const booking = await fleet.ask({ id: "id-2", path: "/book/x" });
  expect(booking.status).toBe(502);
  expect(JSON.parse(booking.text)).toMatchObject({ ran: "unknown" });
});

// Guards against a stream without a length whose upstream has died between two
// events and that passes for a complete one (ORDER).
test("a stream whose upstream has ended with its connection goes on elsewhere", async () => {
  endFirstProcess((request) => {
    beginUnframed(request);
    request.socket.write(renderEvents({ to: 2 }));
  }, (request) => {
    const from = Number(request.headers["last-event-id"]) + 1;
    beginUnframed(request);
    request.socket.end(renderEvents({ from, to: 4 }));
  });
  const answer = await fleet.ask({ id: "id-1", path: "/chat/x" });
  expect(answer).toMatchObject({
    status: 200,
    text: renderEvents({ to: 4 }),
    isReset: false,
  });
});

test("a stream that can't go on elsewhere is broken off when its upstream ends", async () => {
  endFirstProcess((request) => {
    beginUnframed(request);
    request.socket.write(renderEvents({ to: 2 }));
  }, sendCompleteResponse);
  const answer = await fleet.ask({ id: "id-1", path: "/plan/x" });
  expect(answer).toMatchObject({
    text: renderEvents({ to: 2 }),
    isReset: true,
  });
});

/** Makes the upstreams engines that started at `born`. */
async function putEngines(born: number): Promise<void> {
  fleet.putConfiguration({ isEngine: true });
  await fleet.untilLogged({ version: 2 });
  for (const upstream of fleet.upstreams) {
    fleet.putUpstream(upstream, { born, seq: 2 });
    await fleet.untilLogged({ upstream: upstream.id, bornAt: born });
  }
}

/** Streams two events without a length, and reports `getStart()` when asked. */
function streamAndReport(getStart: () => number): void {
  fleet.script((request) => {
    if (request.head.includes("/corianderflow/report")) {
      const body = JSON.stringify({ born: getStart() });
      request.socket.write(
        `HTTP/1.1 200 X\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
      );
      return;
    }
    beginUnframed(request);
    request.socket.end(renderEvents({ to: 2 }));
  });
}

// Guards against a cut that is noticed late, such as by a slow caller, when the
// engine is back at its address.
test("a stream whose engine has started again since it began is not complete", async () => {
  await putEngines(7);
  streamAndReport(() => 7);
  const whole = await fleet.ask({ id: "id-1", path: "/plan/x" });
  expect(whole).toMatchObject({
    text: renderEvents({ to: 2 }),
    isReset: false,
  });
  streamAndReport(() => 8);
  const cut = await fleet.ask({ id: "id-2", path: "/plan/x" });
  expect(cut).toMatchObject({ text: renderEvents({ to: 2 }), isReset: true });
});

/** More than the socket buffers of both sides hold. */
const LARGE_BODY = "x".repeat(15 * 1_048_576);
const LARGE_TIMEOUT_MS = 6_000;

// Guards against a planned stop that cuts an answer which was handed to the
// response and is still being written (LOST).
test("a stop waits until a large answer is written", async () => {
  fleet.script((request) =>
    sendCompleteResponse(request, { body: LARGE_BODY })
  );
  const answer = await fleet.open({
    id: "id-1",
    deadlineMs: LARGE_TIMEOUT_MS,
  });
  const stopped = fleet.daemon.stop();
  await sleep(BALANCER_DRAIN_MS + 500);
  let size = 0;
  for await (const chunk of answer) size += (chunk as Uint8Array).length;
  expect(size).toBe(LARGE_BODY.length);
  expect(answer.complete).toBe(true);
  await stopped;
});

/** Sends a request on a connection of its own; resolves with how it ends. */
async function askRaw(version: "1.0" | "1.1") {
  const [host, port] = fleet.settings.listen.callers.split(":");
  const socket = connect(Number(port), host);
  let text = "";
  let end = "closed";
  socket.on("data", (chunk) => text += chunk.toString());
  socket.on("error", ({ code }: NodeJS.ErrnoException) => end = code ?? "");
  socket.write(
    `GET /plan/x HTTP/${version}\r\nhost: ${HOST}\r\nx-attempt-id: id-1\r\n` +
      `x-deadline-ms: 2000\r\nauthorization: Bearer ${API_KEY}\r\n\r\n`,
  );
  await new Promise((resolve) => socket.once("close", resolve));
  return { text, end };
}

// Guards against a stream that a stop cuts at the end of its grace time and that
// looks complete (ORDER).
test.each(["1.0", "1.1"] as const)(
  "a stream that a stop cuts is reset at an HTTP/%s caller",
  async (version) => {
    fleet.daemon.reload({
      ...fleet.settings,
      bounds: { ...fleet.settings.bounds, graceS: 1 },
    });
    fleet.script((request) => {
      beginUnframed(request);
      request.socket.write(renderEvents({ to: 2 }));
    });
    const asked = askRaw(version);
    while (fleet.arrived.length === 0) await sleep(EVENT_INTERVAL_MS);
    await fleet.daemon.stop();
    const { text, end } = await asked;
    expect(text).toContain("d2");
    expect(text).not.toMatch(/\r\n0\r\n\r\n$/);
    expect(end).toBe("ECONNRESET");
  },
);

test("a stream that breaks off is reset at an HTTP/1.0 caller", async () => {
  endFirstProcess((request) => {
    beginUnframed(request);
    request.socket.write(renderEvents({ to: 2 }));
  }, sendCompleteResponse);
  const { text, end } = await askRaw("1.0");
  expect(text).toContain("d2");
  expect(end).toBe("ECONNRESET");
});
