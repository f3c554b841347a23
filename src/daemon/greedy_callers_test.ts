/**
 * Callers that send bytes without end, while others send ordinary requests.
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { INGRESS_SETTING_DEFAULTS } from "../config/ingress_settings.ts";
import { getHeldBytesLimit } from "../policy/memory_limits.ts";
import {
  BundledRouter,
  createRequestHead,
  receiveAnswer,
  writeEndlessly,
} from "./testing/bundled_router.ts";

/** No request of another caller may wait longer because of a few. */
const MAX_WAIT_MS = 1_000;
/** Deadline of the ordinary requests. */
const DEADLINE_MS = 8_000;
const MEMORY_LIMIT_MB = INGRESS_SETTING_DEFAULTS.limits.memoryMb;
const LOAD_MS = 4_000;

const UNKNOWN_REQUEST = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const CONFIGURATION_REQUEST = "GET /configuration HTTP/1.1\r\nhost: x\r\n\r\n";

let router: BundledRouter;

beforeEach(async () => {
  router = await new BundledRouter().start();
});

afterEach(async () => {
  await router.close();
});

/**
 * Asks for a while and checks that the router runs and that all other callers
 * are served, none after more than `maxWaitMs`.
 */
async function expectUnharmed(
  { maxWaitMs = MAX_WAIT_MS }: { maxWaitMs?: number } = {},
): Promise<void> {
  const answers = await router.askFor(LOAD_MS);
  expect(router.errors).toBe("");
  expect(router.isRunning).toBe(true);
  expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
  expect(Math.max(...answers.map(({ ms }) => ms))).toBeLessThan(maxWaitMs);
  expect(router.getPeakMemoryMb()).toBeLessThan(MEMORY_LIMIT_MB);
}

// Guards against a heap that is exhausted by one buffer for each chunk.
test.each([
  { callers: 1, maxWaitMs: MAX_WAIT_MS },
  { callers: 8, maxWaitMs: MAX_WAIT_MS },
  { callers: 80, maxWaitMs: DEADLINE_MS },
])(
  "$callers callers that send chunks of one byte without end are refused",
  async ({ callers, maxWaitMs }) => {
    const answers = Array.from({ length: callers }, async () => {
      const socket = await router.connect();
      socket.write(createRequestHead("POST", "transfer-encoding: chunked\r\n"));
      const closed = new Promise((resolve) => socket.once("close", resolve));
      const answer = receiveAnswer(socket);
      writeEndlessly(socket, "1\r\nb\r\n".repeat(10_000));
      const { status, text } = await answer;
      await closed;
      return { status, text };
    });
    await expectUnharmed({ maxWaitMs });
    for (const { status, text } of await Promise.all(answers)) {
      expect(status).toBe(400);
      expect(text).toMatch(/of the body came in \d+ parts, which is too many/);
    }
  },
);

// Guards against a bound on parts that refuses a proper caller.
test("bodies in small chunks, small segments and slow ones are served", async () => {
  const chunked = "transfer-encoding: chunked\r\n";
  const single = await router.connect();
  single.write(createRequestHead("POST", chunked));
  single.write(`${"1\r\nb\r\n".repeat(600)}0\r\n\r\n`);
  expect((await receiveAnswer(single)).status).toBe(200);

  const small = await router.connect();
  small.write(createRequestHead("POST", chunked));
  const chunk = `40\r\n${"b".repeat(64)}\r\n`;
  small.write(`${chunk.repeat(100_000 / 64)}0\r\n\r\n`);
  expect((await receiveAnswer(small)).status).toBe(200);

  const slow = await router.connect();
  slow.setNoDelay(true);
  slow.write(createRequestHead("POST", "content-length: 40\r\n"));
  for (let sent = 0; sent < 40; sent++) {
    slow.write("b");
    await sleep(50);
  }
  expect((await receiveAnswer(slow)).status).toBe(200);
});

/** Largest body of the configuration. */
const BODY_BYTES = 4_200_000;

/** Sends all but the last byte of a body; the caller is to send that. */
async function sendMost(): Promise<Socket> {
  const socket = await router.connect();
  const more = `content-length: ${BODY_BYTES}\r\n`;
  socket.write(createRequestHead("POST", more));
  socket.write(Buffer.alloc(BODY_BYTES - 1, "b"));
  return socket;
}

// Guards against bodies that each stay below the limit and together do not.
test(
  "80 callers that hold back the end of their bodies are refused",
  async () => {
    const answers = Array.from(
      { length: 80 },
      async () => await receiveAnswer(await sendMost()),
    );
    await expectUnharmed({ maxWaitMs: DEADLINE_MS });
    const codes = (await Promise.all(answers)).map(({ status, text }) => {
      const code = /urn:corianderflow:([\w-]+)/.exec(text)?.[1] ?? "";
      expect(text).toMatch(/^retry-after: /im);
      expect(text).toContain('"ran":"no"');
      return `${status} ${code}`;
    });
    // The first ones fit, and are refused at their deadline.
    expect(new Set(codes)).toEqual(
      new Set(["503 memory-full", "408 request-timeout"]),
    );
    const held = codes.filter((each) => each === "408 request-timeout").length;
    expect(held * BODY_BYTES).toBeLessThan(
      getHeldBytesLimit(MEMORY_LIMIT_MB),
    );
  },
  90_000,
);

// Guards against a limit that refuses sound requests of the largest size.
test("several bodies of the largest size are served at once", async () => {
  const answers = Array.from({ length: 8 }, async () => {
    const socket = await sendMost();
    socket.write("b");
    return (await receiveAnswer(socket)).status;
  });
  expect(await Promise.all(answers)).toEqual(Array(8).fill(200));
});

// Guards against a wait for a body after the request can't be served any more.
test("a body that trickles is refused at the request's deadline", async () => {
  const socket = await router.connect();
  const startedAt = performance.now();
  socket.write(createRequestHead("POST", "content-length: 1000\r\n", {
    deadlineMs: 1_000,
  }));
  const trickle = setInterval(() => socket.write("b"), 100);
  socket.once("close", () => clearInterval(trickle));
  const { status, text } = await receiveAnswer(socket);
  expect(performance.now() - startedAt).toBeGreaterThan(900);
  expect(status).toBe(408);
  expect(text).toContain('"ran":"no"');
  await new Promise((resolve) => socket.once("close", resolve));
  expect(router.upstream.arrived).toEqual([]);
});

// Guards against a connection that takes the thread with pipelined requests.
test.each(
  [
    { to: "callers", kind: "served", request: createRequestHead("GET", "") },
    { to: "callers", kind: "refused", request: UNKNOWN_REQUEST },
    { to: "peers", kind: "served", request: createRequestHead("GET", "") },
    { to: "peers", kind: "refused", request: UNKNOWN_REQUEST },
    { to: "peers", kind: "configuration", request: CONFIGURATION_REQUEST },
  ] as const,
)(
  "$kind requests that are pipelined to $to do not delay others",
  async ({ to, request }) => {
    const socket = await router.connect({ to });
    socket.resume();
    writeEndlessly(socket, request.repeat(500));
    await expectUnharmed();
  },
);

// Guards against a bound on pipelined requests that a proper caller meets.
test("100 pipelined requests are all answered", async () => {
  const socket = await router.connect();
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  const requests = Array.from(
    { length: 100 },
    () => createRequestHead("GET", ""),
  );
  socket.write(requests.join(""));
  const countAnswers = () => text.split("HTTP/1.1 200 ").length - 1;
  while (countAnswers() < 100 && !socket.destroyed) await sleep(20);
  expect(countAnswers()).toBe(100);
});

// Guards against turns that hold back what other routers send at once.
test("requests of other routers on connections of their own are served", async () => {
  const answers = Array.from({ length: 100 }, async () => {
    const socket = await router.connect({ to: "peers" });
    socket.write(createRequestHead("GET", ""));
    const { status, text } = await receiveAnswer(socket);
    return status === 200 ? "served" : text;
  });
  expect(new Set(await Promise.all(answers))).toEqual(new Set(["served"]));
});
