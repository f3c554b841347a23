import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import {
  type ChatBody,
  formatLastEvents,
  getExpectedAnswer,
  getExpectedEventStream,
  getExpectedJsonBody,
} from "./answer.ts";
import { Engine, type EngineOptions } from "./engine.ts";

const MAX_POLLS = 500;
const body: ChatBody = {
  model: "assistant",
  messages: [{ role: "user", content: "How long is a glaze firing?" }],
  "max_tokens": 12,
};

let engine: Engine;
let origin: string;
let agent: Agent;

async function start(options: Partial<EngineOptions> = {}): Promise<void> {
  engine = new Engine({ name: "e", tokenMs: 1, coldMs: 0, ...options });
  origin = `http://${await engine.listen(0)}`;
  agent = new Agent();
}

afterEach(async () => {
  engine.close();
  await agent.destroy();
});

function send(id: string, { chat = "c", stream = false } = {}) {
  return request(`${origin}/v1/chat/completions`, {
    method: "POST",
    dispatcher: agent,
    headers: { "x-attempt-id": id, "x-chat-id": chat },
    body: JSON.stringify({ ...body, stream }),
  });
}

async function get(path: string) {
  const answer = await request(origin + path, { dispatcher: agent });
  // deno-lint-ignore no-explicit-any
  return await answer.body.json() as any;
}

function post(path: string, value: unknown) {
  const text = JSON.stringify(value);
  return request(origin + path, {
    method: "POST",
    body: text,
    dispatcher: agent,
  });
}

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll++) {
    if (await condition()) return;
    await sleep(5);
  }
  throw new Error("condition not met in time");
}

describe("Engine", () => {
  test("answers with JSON or a stream and reports cached tokens", async () => {
    await start();
    const whole = await send("a1");
    expect(await whole.body.text()).toBe(getExpectedJsonBody(body));
    expect(whole.headers["x-cached-tokens"]).toBe("0");
    const stream = await send("a2", { stream: true });
    expect(await stream.body.text()).toBe(getExpectedEventStream(body));
    expect(stream.headers["x-attempt-id"]).toBe("a2");
    expect(stream.headers["x-cached-tokens"])
      .toBe(stream.headers["x-prompt-tokens"]);
    expect((await send("a2")).statusCode).toBe(409);
    const record = await get("/control/record");
    expect(record).toMatchObject({ attempts: 2, duplicateAttempts: 1 });
  });

  test("resumes a stream after its connection was closed", async () => {
    await start();
    await post("/control", { failAmid: 1 });
    const interrupted = await send("a", { stream: true });
    await expect(interrupted.body.text()).rejects.toThrow();
    const path = "/v1/attempts/a/stream?offset=";
    const answer = await request(origin + path + 0, { dispatcher: agent });
    expect(await answer.body.text()).toBe(getExpectedEventStream(body));
    const rest = await request(origin + path + 12, { dispatcher: agent });
    expect(await rest.body.text())
      .toBe(formatLastEvents(getExpectedAnswer(body)));
  });

  test("resumes a stream while its first connection is silent", async () => {
    await start({ tokenMs: 5 });
    const silent = await send("a", { stream: true });
    // The stream occupies its connection, so this request opens another one.
    await post("/control", { silent: true });
    const next = new Agent();
    const answer = await request(
      `${origin}/v1/attempts/a/stream?offset=0`,
      { dispatcher: next },
    );
    expect(await answer.body.text()).toBe(getExpectedEventStream(body));
    silent.body.on("error", () => {}).destroy();
    await next.destroy();
  });

  test("cancels an attempt", async () => {
    await start({ tokenMs: 50 });
    const canceled = send("a").catch(() => "closed");
    await waitFor(async () => (await get("/v1/load")).inFlight === 1);
    await request(`${origin}/v1/attempts/a`, {
      method: "DELETE",
      dispatcher: agent,
    });
    expect(await canceled).toBe("closed");
    expect((await get("/control/record")).inFlight).toBe(0);
  });

  test("crashes above its cold limit and restarts cold", async () => {
    await start({ coldMs: 60_000, coldLimit: 1, downMs: 50, tokenMs: 20 });
    const before = await get("/v1/load");
    const outcomes = await Promise.allSettled([send("a"), send("b")]);
    expect(outcomes.map((outcome) => outcome.status))
      .toEqual(["rejected", "rejected"]);
    const down = await send("c");
    expect(down.statusCode).toBe(503);
    expect(down.headers["x-not-run"]).toBeUndefined();
    await waitFor(async () => (await get("/v1/load")).cold === true);
    expect((await get("/v1/load")).incarnation).not.toBe(before.incarnation);
    expect(await get("/control/record")).toMatchObject({
      falls: 1,
      fallLog: [{ reason: "cold-limit", inFlight: 1 }],
      maxInFlightCold: 2,
    });
  });

  test("refuses new work while leaving and marks it as not run", async () => {
    await start();
    await post("/control", { leaving: true });
    const refused = await send("a");
    expect(refused.statusCode).toBe(503);
    expect(refused.headers["x-not-run"]).toBe("1");
    expect(refused.headers["x-load"]).toContain("leaving=1");
    expect((await get("/control/record")).startedAfterLeaving).toBe(1);
  });

  test("rejects an older fencing number when it checks fencing", async () => {
    const order = { id: "o", fence: 2, kind: "set-role", role: "draft" };
    await start({ checksFencing: true });
    expect((await post("/v1/orders", order)).statusCode).toBe(200);
    const old = { ...order, id: "p", fence: 1 };
    expect((await post("/v1/orders", old)).statusCode).toBe(409);
    expect((await get("/v1/orders")).orders).toEqual([order]);
  });
});
