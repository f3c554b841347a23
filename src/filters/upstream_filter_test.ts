import { SILENT_LOG } from "../log.ts";
import type { OutgoingRequest } from "../transport/http_client.ts";
import type { Exchange, Outcome } from "./exchange.ts";
import {
  createIncomingResponse,
  createSendFailure,
  createService,
  createTestExchange,
  readOutcome,
  RecordingPool,
  ScriptedClient,
  type SendResult,
} from "./testing/fakes.ts";
import { UpstreamFilter } from "./upstream_filter.ts";

const BODY = "the answer";
const loadHeaders = {
  "x-incarnation": "i",
  "x-load": "in-flight=1;cold=0;leaving=0;age-ms=5",
};

/** Possible replies of an upstream to an attempt. */
const replies = {
  "answers": (id) =>
    createIncomingResponse(200, {
      ...loadHeaders,
      "x-attempt-id": id,
      "content-length": String(BODY.length),
    }, [BODY]),
  "refuses the connection": () => createSendFailure("not-sent"),
  "breaks off before the head": () => createSendFailure("unclear"),
  "breaks off in the body": (id) =>
    createIncomingResponse(200, {
      ...loadHeaders,
      "x-attempt-id": id,
      "content-length": String(BODY.length),
    }, ["the", new Error("reset")]),
  "answers another attempt": () =>
    createIncomingResponse(200, {
      ...loadHeaders,
      "x-attempt-id": "another",
      "content-length": "5",
    }, ["wrong"]),
  "answers no attempt": () =>
    createIncomingResponse(503, { ...loadHeaders, "content-length": "4" }, [
      "down",
    ]),
  "did not run it": (id) =>
    createIncomingResponse(503, {
      ...loadHeaders,
      "x-attempt-id": id,
      "x-not-run": "1",
      "content-length": "0",
    }),
} satisfies Record<string, (attemptId: string) => SendResult>;

type Reply = keyof typeof replies;
const names = Object.keys(replies) as Reply[];
const NOT_RUN: readonly Reply[] = ["refuses the connection", "did not run it"];

interface RunOptions extends Partial<Exchange> {
  budget?: number;
  /** Replies to every attempt instead of the script. */
  reply?(attemptId: string): SendResult;
  prepare?(pool: RecordingPool): void;
}

interface Run {
  readonly outcome: Outcome;
  readonly pool: RecordingPool;
  readonly sent: readonly OutgoingRequest[];
  readonly retries: number;
  readonly text: string;
}

/** Sends one request through the filter; `script` holds the replies in order. */
async function run(
  script: readonly Reply[],
  { budget = Infinity, prepare = () => {}, reply, ...changes }: RunOptions = {},
): Promise<Run> {
  const pool = new RecordingPool(createService(["u1", "u2", "u3"]));
  prepare(pool);
  let attempts = 0;
  const client = new ScriptedClient(({ method, headers }) => {
    if (method === "DELETE") return createIncomingResponse(200, {});
    const next = reply ?? replies[script[attempts++] ?? "answers"];
    return next(headers["x-attempt-id"]!);
  });
  let retries = 0;
  const filter = new UpstreamFilter({
    client,
    clock: () => 0,
    log: SILENT_LOG,
    findPool: () => pool,
    tryRetry: () => retries < budget && ++retries > 0,
    hashChat: () => ({ hi: 1, lo: 2 }),
  });
  const outcome = await filter.handle(createTestExchange(changes));
  const text = await readOutcome(outcome);
  const { sent } = client;
  return { outcome, pool, sent, retries, text };
}

const pairs = names.flatMap((first) =>
  names.flatMap((second) =>
    [true, false].map((isIdempotent) => ({ first, second, isIdempotent }))
  )
);

test("retries only where it is safe, for all replies of two upstreams", async () => {
  const seen: Record<string, string> = {};
  for (const { first, second, isIdempotent } of pairs) {
    const { outcome, pool, sent, text } = await run(
      [first, second, "answers"],
      {
        isIdempotent,
      },
    );
    const posts = sent.filter(({ method }) => method === "POST");
    const tried = [first, second].slice(0, posts.length);
    const unclear = tried.filter((reply) =>
      reply !== "answers" && !NOT_RUN.includes(reply)
    );
    expect(posts.length).toBeLessThanOrEqual(2);
    expect(new Set(posts.map(({ address }) => address)).size)
      .toBe(posts.length);
    if (!isIdempotent) expect(unclear.length).toBeLessThanOrEqual(1);
    if (!isIdempotent && unclear.includes(first)) expect(posts.length).toBe(1);
    if (outcome.kind === "refused") {
      expect(outcome.refusal.ran).toBe(unclear.length > 0 ? "unknown" : "no");
    } else {
      expect(text).toBe(BODY);
    }
    const fates = tried.map((reply) => {
      if (reply === "refuses the connection") return "not-sent";
      return unclear.includes(reply) ? "unclear" : "finished";
    });
    expect(pool.ends.map(({ fate }) => fate)).toEqual(fates);
    const kind = isIdempotent ? "idempotent" : "not idempotent";
    seen[`${kind}: ${tried.join(", then ")}`] = text;
  }
  expect(seen).toMatchSnapshot();
});

test("nothing is retried when the retry budget is empty", async () => {
  for (const first of names) {
    const { sent } = await run([first], { budget: 0 });
    expect(sent.filter(({ method }) => method === "POST")).toHaveLength(1);
  }
});

// Guards against a late copy of an earlier refusal, on a connection of the pool,
// that makes a router say "not run" of a request which runs.
test("not run is believed with the id of the attempt, or on a new connection", async () => {
  const headers = { "x-not-run": "1", "content-length": "0" };
  const ran: Record<string, unknown> = {};
  for (const isIdempotent of [true, false]) {
    for (const statedId of ["own", "other", undefined]) {
      const { outcome } = await run([], {
        isIdempotent,
        budget: 0,
        reply: (own) =>
          createIncomingResponse(503, {
            ...headers,
            ...(statedId !== undefined && {
              "x-attempt-id": statedId === "own" ? own : statedId,
            }),
          }),
      });
      const connection = isIdempotent ? "of the pool" : "new";
      ran[`${connection}, id ${statedId ?? "absent"}`] =
        outcome.kind === "refused" && outcome.refusal.ran;
    }
  }
  expect(ran).toEqual({
    "of the pool, id own": "no",
    "of the pool, id other": "unknown",
    "of the pool, id absent": "unknown",
    "new, id own": "no",
    "new, id other": "unknown",
    "new, id absent": "no",
  });
});

test("a retry uses a new connection", async () => {
  const { sent } = await run(["breaks off before the head"]);
  const posts = sent.filter(({ method }) => method === "POST");
  expect(posts.map(({ isFresh }) => isFresh)).toEqual([false, true]);
});

test("a grant that is no longer usable is released as not sent", async () => {
  const { pool, sent, retries, text } = await run([], {
    prepare: (pool) => pool.isGrantUsable = (index) => index > 1,
  });
  expect(pool.ends.map(({ fate }) => fate))
    .toEqual(["not-sent", "not-sent", "finished"]);
  expect(sent).toHaveLength(1);
  expect([text, retries]).toEqual([BODY, 0]);
});

test("a caller that disconnects takes nothing from the retry budget", async () => {
  const controller = new AbortController();
  const { retries, sent } = await run(["breaks off before the head"], {
    signal: controller.signal,
    prepare: (pool) => {
      pool.isGrantUsable = () => {
        controller.abort();
        return true;
      };
    },
  });
  expect(sent.filter(({ method }) => method === "POST")).toHaveLength(1);
  expect(retries).toBe(0);
});

test("a retry made by another router counts as the only retry", async () => {
  const { sent, outcome } = await run(["breaks off before the head"], {
    hasRetried: true,
  });
  expect(sent.filter(({ method }) => method === "POST")).toHaveLength(1);
  expect(outcome).toMatchObject({ refusal: { ran: "unknown" } });
});

test("an event stream of a plain service is forwarded unchanged", async () => {
  const chunks = ["id: 7\ndata: a\n", "\nid: 3\ndata: b\n\n:c\n\n"];
  const service = createService(["u1"], { kind: "plain" });
  const { text, sent, pool } = await run([], {
    service,
    prepare: (pool) => pool.service = service,
    reply: (id) =>
      createIncomingResponse(200, {
        "x-attempt-id": id,
        "content-type": "text/event-stream",
      }, chunks),
  });
  expect(text).toBe(chunks.join(""));
  expect(sent).toHaveLength(1);
  expect(pool.ends).toMatchObject([{ fate: "finished", isOk: true }]);
});

test("the load report of every response is recorded, also of a refusal", async () => {
  const { pool } = await run(["did not run it", "answers"]);
  expect(pool.reports).toEqual(["u1", "u2"]);
});
