import { SILENT_LOG } from "../log.ts";
import { createRefusal } from "../diagnostics.ts";
import { renderProblem } from "../transport/problem.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type Outcome,
} from "./exchange.ts";
import { LocateFilter } from "./locate_filter.ts";
import { REFUSAL_HEADER } from "../transport/router_hop.ts";
import {
  createIncomingResponse,
  createSendFailure,
  createTestExchange,
  readOutcome,
  ScriptedClient,
  type SendResult,
} from "./testing/fakes.ts";

const BODY = "the answer";

function createRefusalAnswer(
  code: Parameters<typeof createRefusal>[0],
  ran: "no" | "unknown",
): SendResult {
  const problem = renderProblem(createRefusal(code, "why", { ran }), "r");
  const headers = { ...problem.headers, [REFUSAL_HEADER]: code };
  return createIncomingResponse(problem.status, headers, [problem.body]);
}

const contentLengthHeader = { "content-length": String(BODY.length) };

/** Possible replies of an owner to a forwarded request. */
const replies = {
  "answers": () => createIncomingResponse(200, contentLengthHeader, [BODY]),
  "can't be reached": () => createSendFailure("not-sent"),
  "disconnects before the headers": () => createSendFailure("unclear"),
  "disconnects in the body": () =>
    createIncomingResponse(200, contentLengthHeader, [
      "the",
      new Error("reset"),
    ]),
  "is not the owner": () => createRefusalAnswer("no-owner", "no"),
  "is not the owner after a try": () =>
    createRefusalAnswer("no-owner", "unknown"),
  "is full": () => createRefusalAnswer("queue-full", "no"),
  "refuses with a malformed body": () =>
    createIncomingResponse(503, { [REFUSAL_HEADER]: "queue-full" }, ["{"]),
} satisfies Record<string, () => SendResult>;

type Reply = keyof typeof replies;
const names = Object.keys(replies) as Reply[];
/** Replies after which the request has run or may have run. */
const MAY_HAVE_RUN: readonly Reply[] = [
  "answers",
  "disconnects before the headers",
  "disconnects in the body",
  "is not the owner after a try",
  "refuses with a malformed body",
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
  serveLocally?: (exchange: Exchange) => Outcome;
}

async function run(script: readonly Reply[], options: RunOptions = {}) {
  const { replicas = ["r2", "r3", "r4"], live = replicas } = options;
  const { budget = Infinity, serveLocally, ...changes } = options;
  const client = new ScriptedClient((_, index) =>
    replies[script[index] ?? "answers"]()
  );
  let retries = 0;
  const servedLocally: Exchange[] = [];
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
        servedLocally.push(exchange);
        const outcome = serveLocally?.(exchange) ??
          createRefusedOutcome(createRefusal("no-owner", "not here"));
        return Promise.resolve(outcome);
      },
    },
    findRouter: router,
    findUpstreamAddress: () => undefined,
    recordRequest: () => {},
    tryRetry: () => retries < budget && ++retries > 0,
  });
  const outcome = await filter.handle(createTestExchange(changes));
  const text = await readOutcome(outcome);
  return { outcome, sent: client.sent, text, servedLocally };
}

const triples = names.flatMap((first) =>
  names.flatMap((second) => names.map((third) => [first, second, third]))
);

test.each([true, false])(
  "retries are limited for all replies of three owners (idempotent: %s)",
  async (isIdempotent) => {
    for (const script of triples) {
      const { outcome, sent, text } = await run(script, { isIdempotent });
      const tried = script.slice(0, sent.length);
      const mayHaveRun = tried.filter((reply) => MAY_HAVE_RUN.includes(reply));
      expect(new Set(sent.map(({ address }) => address)).size)
        .toBe(sent.length);
      // Each owner checks the record of a non-idempotent call before running it,
      // so all three may be asked.
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

test("only a retry after a try that may have run is marked as a retry", async () => {
  const getRetriedMarks = async (script: readonly Reply[]) =>
    (await run(script)).sent.map(({ headers }) => headers["x-cf-retried"]);
  expect(await getRetriedMarks(["disconnects before the headers"])).toEqual([
    "0",
    "1",
  ]);
  expect(await getRetriedMarks(["is not the owner", "can't be reached"]))
    .toEqual(["0", "0", "0"]);
});

test("live replicas are tried before the others", async () => {
  const { sent } = await run(["can't be reached", "can't be reached"], {
    live: ["r3"],
  });
  expect(sent.map(({ address }) => address)).toEqual(["r3:2", "r2:2", "r4:2"]);
});

test("a local refusal after a try that may have run says that it may have run", async () => {
  const { outcome, servedLocally } = await run([
    "disconnects before the headers",
  ], {
    replicas: ["r2", "r1"],
  });
  expect(servedLocally).toHaveLength(1);
  expect(servedLocally[0]!.hasRetried).toBe(true);
  expect(outcome).toMatchObject({ refusal: { ran: "unknown" } });
});

test("a request that has reached the hop limit is not forwarded", async () => {
  const { sent, servedLocally, text } = await run([], { hops: 2 });
  expect([sent.length, servedLocally.length]).toEqual([0, 1]);
  expect(text).toBe("no-owner, ran: no");
});

test("a non-idempotent request uses a new connection", async () => {
  for (const isIdempotent of [true, false]) {
    const { sent } = await run([], { isIdempotent });
    expect(sent[0]).toMatchObject({ isFresh: !isIdempotent });
  }
});
