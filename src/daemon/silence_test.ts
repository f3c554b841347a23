import {
  type ChatBody,
  expectedEventStream,
  expectedWholeBody,
} from "../../testing/answer.ts";
import type { Relay } from "../../testing/relay.ts";
import {
  createChat,
  type LocalAnswer,
  LocalFleet,
  until,
} from "./testing/local_fleet.ts";

const STREAMS = 12;
const TOKENS = 80;
const DEADLINE_MS = 8_000;

let fleet: LocalFleet;
let owner: number;
let ingress: number;

beforeAll(async () => {
  fleet = await new LocalFleet().start({
    routers: 2,
    service: { betweenBytesTimeoutMs: 400, firstByteTimeoutMs: 1_500 },
  });
  owner = await fleet.getOwner("assistant");
  ingress = 1 - owner;
});

afterAll(async () => {
  for (const router of fleet.routers.keys()) {
    expect(await fleet.getStatus(router)).toMatchObject({ breaches: 0 });
  }
  await fleet.close();
});

/** Whether both routers take the same one for the owner. */
async function isAgreed(): Promise<boolean> {
  const statuses = await Promise.all(
    [...fleet.routers.keys()].map((router) => fleet.getStatus(router)),
  );
  const { name } = fleet.routers[owner]!;
  return statuses.every(({ pools }) =>
    pools.some((pool) => pool.service === "assistant" && pool.owner === name)
  );
}

async function slowDown(slowFactor: number): Promise<void> {
  await Promise.all(
    fleet.engines.map((engine) => fleet.control(engine, { slowFactor })),
  );
}

async function silence(relays: readonly Relay[]): Promise<void> {
  await Promise.all(relays.map((relay) => relay.setFaults({ silence: true })));
}

/** Whole, or whole up to an error event that says so. */
function judgeStream(text: string, body: ChatBody): "whole" | "error event" {
  const whole = expectedEventStream(body);
  if (text === whole) return "whole";
  const at = text.indexOf("event: error\n");
  const problem = JSON.parse(text.slice(at).split("\ndata: ")[1]!);
  expect(problem).toMatchObject({ ran: "unknown" });
  expect(whole.startsWith(text.slice(0, at))).toBe(true);
  return "error event";
}

/** Whole, or refused in a way that admits that it may have run. */
function judgeAnswer({ status, text }: LocalAnswer, body: ChatBody) {
  if (text === expectedWholeBody(body)) return "whole";
  expect(JSON.parse(text)).toMatchObject({ status });
  expect(status).toBeGreaterThanOrEqual(500);
  return "refused";
}

/** Opens streams, breaks something while they run, and reads them. */
async function streamThrough(
  router: number,
  breakIt: () => Promise<unknown>,
): Promise<string[]> {
  await slowDown(5);
  const contents = Array.from({ length: STREAMS }, (_, i) => `stream-${i}`);
  const streams = await Promise.all(
    contents.map((content) =>
      fleet.openStream(content, { tokens: TOKENS, router })
    ),
  );
  await breakIt();
  const texts = await Promise.all(streams.map(({ text }) => text));
  await slowDown(1);
  return texts.map((text, index) =>
    judgeStream(text, createChat(contents[index]!, { tokens: TOKENS }))
  );
}

/** Sends chats over whatever connections the routers have kept open. */
async function chatThrough(router: number): Promise<string[]> {
  const contents = Array.from({ length: STREAMS }, (_, i) => `c${i}`);
  return await Promise.all(
    contents.map(async (content) => {
      const headers = { "x-deadline-ms": String(DEADLINE_MS) };
      const answer = await fleet.chat(content, { router, headers });
      return judgeAnswer(answer, createChat(content));
    }),
  );
}

const whole = Array(STREAMS).fill("whole");

async function expectService(): Promise<void> {
  for (const router of fleet.routers.keys()) {
    expect(await chatThrough(router)).toEqual(whole);
  }
}

interface Link {
  /** Router that the callers use. */
  readonly router: () => number;
  readonly relays: () => Relay[];
}

const links: Record<string, Link> = {
  "ingress and owner": {
    router: () => ingress,
    relays: () => [fleet.routers[owner]!.forward],
  },
  "owner and upstreams": {
    router: () => owner,
    relays: () => fleet.engines.map(({ relay }) => relay),
  },
  "routers and key-value service": {
    router: () => ingress,
    relays: () => fleet.routers.map(({ keyValue }) => keyValue),
  },
  "routers": {
    router: () => ingress,
    relays: () => fleet.routers.map(({ control }) => control),
  },
};

test.each(Object.keys(links))(
  "streams go on whole when the connections between %s go silent",
  async (name) => {
    const { router, relays } = links[name]!;
    const seen = await streamThrough(router(), () => silence(relays()));
    expect(seen).toEqual(whole);
    await expectService();
  },
);

test.each(Object.keys(links))(
  "kept connections between %s that went silent are given up",
  async (name) => {
    const { router, relays } = links[name]!;
    await until(isAgreed);
    // Enough requests for a retry of each of those that will fail.
    for (let round = 0; round < 12; round++) await expectService();
    await silence(relays());
    expect(await chatThrough(router())).toEqual(whole);
    await expectService();
  },
);

test("streams of an upstream that goes silent are resumed", async () => {
  const order = { silent: true };
  const seen = await streamThrough(
    owner,
    () => Promise.all(fleet.engines.map((e) => fleet.control(e, order))),
  );
  expect(seen).toEqual(whole);
});

test("streams that an upstream breaks off are resumed", async () => {
  const order = { failAmid: STREAMS };
  await Promise.all(fleet.engines.map((e) => fleet.control(e, order)));
  const seen = await streamThrough(owner, () => Promise.resolve());
  expect(seen).toEqual(whole);
});
