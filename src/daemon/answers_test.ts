import {
  type ChatBody,
  getExpectedEventStream,
  getExpectedJsonBody,
} from "../../testing/answer.ts";
import { getBodyDigest } from "../../testing/plain_service.ts";
import { createChat, LocalFleet } from "./testing/local_fleet.ts";

const REQUESTS = 2_000;
const CONCURRENCY = 96;
const MAX_TOKENS = 12;

let fleet: LocalFleet;

beforeAll(async () => {
  // Long timeouts: the tests check bytes and executions, and a busy machine
  // must not end an answer early.
  const service = {
    deadlineMs: 300_000,
    firstByteTimeoutMs: 60_000,
    betweenBytesTimeoutMs: 60_000,
  };
  fleet = await new LocalFleet().start({ routers: 2, engines: 3, service });
});

afterAll(async () => {
  for (const router of fleet.routers.keys()) {
    expect(await fleet.getStatus(router)).toMatchObject({ breaches: 0 });
  }
  await fleet.close();
});

/** Runs `count` tasks, at most `CONCURRENCY` at a time. */
async function runConcurrently(
  count: number,
  task: (index: number) => Promise<void>,
): Promise<void> {
  let next = 0;
  async function runWorker(): Promise<void> {
    while (next < count) await task(next++);
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, runWorker));
}

test("concurrent answers arrive byte for byte", async () => {
  const wrong: unknown[] = [];
  await runConcurrently(REQUESTS, async (index) => {
    const content = `question ${index} `.repeat(1 + index % 7);
    const stream = index % 2 === 0;
    const tokens = 1 + index % MAX_TOKENS;
    const router = Math.floor(index / 2) % 2;
    const headers = { "x-chat-id": `chat-${index % 500}` };
    const body: ChatBody = createChat(content, { tokens });
    const expected = stream
      ? getExpectedEventStream(body)
      : getExpectedJsonBody(body);
    const answer = await fleet.chat(content, {
      stream,
      tokens,
      router,
      headers,
    });
    if (answer.text !== expected) wrong.push({ index, answer });
  });
  expect(wrong).toEqual([]);
  const records = await Promise.all(
    fleet.engines.map((engine) => fleet.getRecord(engine)),
  );
  expect(records.map(({ falls }) => falls)).toEqual([0, 0, 0]);
  const attempts = records.reduce((sum, record) => sum + record.attempts, 0);
  expect(attempts).toBeGreaterThanOrEqual(REQUESTS);
});

test("calls that may not repeat run once, whichever router takes the taps", async () => {
  const calls = 100;
  const copies = 4;
  const answers = new Map<number, Set<string>>();
  await runConcurrently(calls * copies, async (index) => {
    const call = index % calls;
    const body = JSON.stringify({ seat: call });
    const answer = await fleet.send("/sheets", {
      router: (index + Math.floor(index / calls)) % 2,
      headers: { "idempotency-key": `seat-${call}` },
      body,
    });
    expect(answer.status).toBe(200);
    const { bodyDigest, runs } = JSON.parse(answer.text);
    expect([bodyDigest, runs]).toEqual([getBodyDigest(body), 1]);
    const seen = answers.get(call) ?? new Set();
    answers.set(call, seen.add(answer.text));
  });
  expect([...answers.values()].map(({ size }) => size))
    .toEqual(Array(calls).fill(1));
});
