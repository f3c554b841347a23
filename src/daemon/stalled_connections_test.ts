import {
  type ChatBody,
  getExpectedEventStream,
  getExpectedJsonBody,
} from "../../testing/answer.ts";
import type { Relay } from "../../testing/relay.ts";
import {
  createChat,
  LocalFleet,
  type LocalResponse,
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

/** Whether both routers name the router `owner` as the pool's owner. */
async function isOwnerAgreed(): Promise<boolean> {
  const statuses = await Promise.all(
    [...fleet.routers.keys()].map((router) => fleet.getStatus(router)),
  );
  const { name } = fleet.routers[owner]!;
  return statuses.every(({ pools }) =>
    pools.some((pool) => pool.service === "assistant" && pool.owner === name)
  );
}

async function setSlowFactor(slowFactor: number): Promise<void> {
  await Promise.all(
    fleet.engines.map((engine) => fleet.control(engine, { slowFactor })),
  );
}

async function stallConnections(relays: readonly Relay[]): Promise<void> {
  await Promise.all(relays.map((relay) => relay.setFaults({ silence: true })));
}

/**
 * Expects a complete stream, or a prefix of it followed by an error event that
 * says that the request may have run.
 */
function classifyStream(text: string, body: ChatBody): "whole" | "error event" {
  const whole = getExpectedEventStream(body);
  if (text === whole) return "whole";
  const at = text.indexOf("event: error\n");
  const problem = JSON.parse(text.slice(at).split("\ndata: ")[1]!);
  expect(problem).toMatchObject({ ran: "unknown" });
  expect(whole.startsWith(text.slice(0, at))).toBe(true);
  return "error event";
}

/**
 * Expects a complete answer or a problem document with a 5xx status, since the
 * request may have run.
 */
function classifyAnswer({ status, text }: LocalResponse, body: ChatBody) {
  if (text === getExpectedJsonBody(body)) return "whole";
  expect(JSON.parse(text)).toMatchObject({ status });
  expect(status).toBeGreaterThanOrEqual(500);
  return "refused";
}

/** Opens streams, injects a fault while they run, and reads them. */
async function runStreamsDuringFault(
  router: number,
  injectFault: () => Promise<unknown>,
): Promise<string[]> {
  await setSlowFactor(5);
  const contents = Array.from({ length: STREAMS }, (_, i) => `stream-${i}`);
  const streams = await Promise.all(
    contents.map((content) =>
      fleet.openStream(content, { tokens: TOKENS, router })
    ),
  );
  await injectFault();
  const texts = await Promise.all(streams.map(({ text }) => text));
  await setSlowFactor(1);
  return texts.map((text, index) =>
    classifyStream(text, createChat(contents[index]!, { tokens: TOKENS }))
  );
}

/** Sends chats, for which the routers reuse their keep-alive connections. */
async function sendChats(router: number): Promise<string[]> {
  const contents = Array.from({ length: STREAMS }, (_, i) => `c${i}`);
  return await Promise.all(
    contents.map(async (content) => {
      const headers = { "x-deadline-ms": String(DEADLINE_MS) };
      const answer = await fleet.chat(content, { router, headers });
      return classifyAnswer(answer, createChat(content));
    }),
  );
}

const allWhole = Array(STREAMS).fill("whole");

async function expectService(): Promise<void> {
  for (const router of fleet.routers.keys()) {
    expect(await sendChats(router)).toEqual(allWhole);
  }
}

interface Link {
  /** Index of the router that the callers use. */
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
  "streams complete when the connections between %s stall",
  async (name) => {
    const { router, relays } = links[name]!;
    const seen = await runStreamsDuringFault(
      router(),
      () => stallConnections(relays()),
    );
    expect(seen).toEqual(allWhole);
    await expectService();
  },
);

test.each(Object.keys(links))(
  "stalled keep-alive connections between %s are replaced",
  async (name) => {
    const { router, relays } = links[name]!;
    await until(isOwnerAgreed);
    // Enough requests that the retry budget covers every one that will fail.
    for (let round = 0; round < 12; round++) await expectService();
    await stallConnections(relays());
    expect(await sendChats(router())).toEqual(allWhole);
    await expectService();
  },
);

test("streams of an upstream that stops sending are resumed", async () => {
  const order = { silent: true };
  const seen = await runStreamsDuringFault(
    owner,
    () => Promise.all(fleet.engines.map((e) => fleet.control(e, order))),
  );
  expect(seen).toEqual(allWhole);
});

test("streams that an upstream aborts are resumed", async () => {
  const order = { failAmid: STREAMS };
  await Promise.all(fleet.engines.map((e) => fleet.control(e, order)));
  const seen = await runStreamsDuringFault(owner, () => Promise.resolve());
  expect(seen).toEqual(allWhole);
});
