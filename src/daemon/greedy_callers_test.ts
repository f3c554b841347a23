/**
 * Callers that send bytes without end, while others send ordinary requests.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { INGRESS_SETTING_DEFAULTS } from "../config/ingress_settings.ts";
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
