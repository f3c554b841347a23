import { SILENT_LOG } from "../log.ts";
import { createRefusal } from "../diagnostics.ts";
import { renderProblem } from "../transport/problem.ts";
import { type Exchange, type Outcome, refused } from "./exchange.ts";
import { LocateFilter, REFUSAL_HEADER } from "./locate_filter.ts";
import {
  answerWith,
  collect,
  createTestExchange,
  failSend,
  ScriptedClient,
  type Sent,
} from "./testing/fakes.ts";

const BODY = "the answer";

function refuse(
  code: Parameters<typeof createRefusal>[0],
  ran: "no" | "unknown",
): Sent {
  const problem = renderProblem(createRefusal(code, "why", { ran }), "r");
  const headers = { ...problem.headers, [REFUSAL_HEADER]: code };
  return answerWith(problem.status, headers, [problem.body]);
}

const length = { "content-length": String(BODY.length) };

/** What an owner may do with a forwarded request. */
const replies = {
  "answers": () => answerWith(200, length, [BODY]),
  "can't be reached": () => failSend("not-sent"),
  "breaks off before the head": () => failSend("unclear"),
  "breaks off in the body": () =>
    answerWith(200, length, ["the", new Error("reset")]),
  "is no owner": () => refuse("no-owner", "no"),
  "is no owner after a try": () => refuse("no-owner", "unknown"),
  "is full": () => refuse("queue-full", "no"),
  "refuses unreadably": () =>
    answerWith(503, { [REFUSAL_HEADER]: "queue-full" }, ["{"]),
} satisfies Record<string, () => Sent>;

type Reply = keyof typeof replies;
const names = Object.keys(replies) as Reply[];
/** Replies that leave it open whether the request ran, or say that it did. */
const MAY_HAVE_RUN: readonly Reply[] = [
  "answers",
  "breaks off before the head",
  "breaks off in the body",
  "is no owner after a try",
  "refuses unreadably",
];

const router = (name: string) => ({
  name,
  failureDomain: "a",
  controlAddress: `${name}:1`,
  forwardAddress: `${name}:2`,
});

interface RunOptions extends Partial<Exchange> {
  replicas?: readonly string[];
  live?: readonly string[];
  budget?: number;
  serveHere?: (exchange: Exchange) => Outcome;
}

async function run(script: readonly Reply[], options: RunOptions = {}) {
  const { replicas = ["r2", "r3", "r4"], live = replicas } = options;
  const { budget = Infinity, serveHere, ...changes } = options;
  const client = new ScriptedClient((_, index) =>
    replies[script[index] ?? "answers"]()
  );
  let retries = 0;
  const servedHere: Exchange[] = [];
  const filter = new LocateFilter({
    self: "r1",
    pools: {
      locate: () => ({ pool: "assistant/0", replicas }),
      get: () => undefined,
    },
    liveness: {
      isLive: (name) => live.includes(name),
      isLeaving: () => false,
    },
    client,
    clock: () => 0,
    log: SILENT_LOG,
    forwardToken: "token",
    ownerChain: {
      handle: (exchange) => {
        servedHere.push(exchange);
        const outcome = serveHere?.(exchange) ??
          refused(createRefusal("no-owner", "not here"));
        return Promise.resolve(outcome);
      },
    },
    findRouter: router,
    findUpstreamAddress: () => undefined,
    onRequest: () => {},
    tryRetry: () => retries < budget && ++retries > 0,
  });
  const outcome = await filter.handle(createTestExchange(changes));
  const text = await collect(outcome);
  return { outcome, sent: client.sent, text, servedHere };
}

const triples = names.flatMap((first) =>
  names.flatMap((second) => names.map((third) => [first, second, third]))
);

test.each([true, false])(
  "whatever three owners do, work is repeated once at most (idempotent: %s)",
  async (isIdempotent) => {
    for (const script of triples) {
      const { outcome, sent, text } = await run(script, { isIdempotent });
      const tried = script.slice(0, sent.length);
      const mayHaveRun = tried.filter((reply) => MAY_HAVE_RUN.includes(reply));
      expect(new Set(sent.map(({ address }) => address)).size)
        .toBe(sent.length);
      // The record of a call that may not repeat guards it at every owner.
      const limit = isIdempotent ? 2 : 3;
      expect({ script, isWithin: mayHaveRun.length <= limit })
        .toEqual({ script, isWithin: true });
      if (outcome.kind === "refused") {
        const { ran } = outcome.refusal;
        expect({ script, ran }).toEqual({
          script,
          ran: mayHaveRun.length > 0 ? "unknown" : "no",
        });
      } else {
        expect(text).toBe(BODY);
      }
    }
  },
);

test.each(names)("an owner that %s", async (first) => {
  const results = [];
  for (const isIdempotent of [true, false]) {
    const { sent, text } = await run([first], { isIdempotent });
    results.push(`${sent.map(({ address }) => address).join(" ")}: ${text}`);
  }
  expect(results).toMatchSnapshot();
});

test("a repeat is marked as one, and nothing else is", async () => {
  const marks = async (script: readonly Reply[]) =>
    (await run(script)).sent.map(({ headers }) => headers["x-cf-retried"]);
  expect(await marks(["breaks off before the head"])).toEqual(["0", "1"]);
  expect(await marks(["is no owner", "can't be reached"]))
    .toEqual(["0", "0", "0"]);
});

test("the first live replica is asked first, the others after", async () => {
  const { sent } = await run(["can't be reached", "can't be reached"], {
    live: ["r3"],
  });
  expect(sent.map(({ address }) => address)).toEqual(["r3:2", "r2:2", "r4:2"]);
});

test("a refusal here after an unclear try elsewhere is never 'not run'", async () => {
  const { outcome, servedHere } = await run(["breaks off before the head"], {
    replicas: ["r2", "r1"],
  });
  expect(servedHere).toHaveLength(1);
  expect(servedHere[0]!.hasRetried).toBe(true);
  expect(outcome).toMatchObject({ refusal: { ran: "unknown" } });
});

test("a request that has used up its hops goes no further", async () => {
  const { sent, servedHere, text } = await run([], { hops: 2 });
  expect([sent.length, servedHere.length]).toEqual([0, 1]);
  expect(text).toBe("no-owner, ran: no");
});

test("a request that may not be repeated goes over its own connection", async () => {
  for (const isIdempotent of [true, false]) {
    const { sent } = await run([], { isIdempotent });
    expect(sent[0]).toMatchObject({ isFresh: !isIdempotent });
  }
});
