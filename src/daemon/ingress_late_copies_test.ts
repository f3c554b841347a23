/**
 * Upstreams that write an earlier answer once more on a kept connection, as the
 * next request there begins to run.
 */
import type { Socket } from "node:net";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  LocalIngress,
  type ReceivedRequest,
  type ScriptedUpstream,
  sendCompleteResponse,
} from "./testing/local_ingress.ts";

const REQUESTS = 150;
const REFUSAL_SHARE = 0.4;
const COPY_SHARE = 0.6;
/** Time from a late copy to the answer of the request that runs. */
const RUN_MS = 15;
/** Requests that get new connections after an unclear answer. */
const MAX_NEW_CONNECTIONS = 16;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type Refusal = (request: ReceivedRequest) => string;

function createRefusal(status: number, headers: string): string {
  return `HTTP/1.1 ${status} X\r\n${headers}content-length: 0\r\n\r\n`;
}

const refusals: Record<string, Refusal> = {
  "503 without an id": () => createRefusal(503, "x-not-executed: 1\r\n"),
  "503 with its id": ({ id }) =>
    createRefusal(503, `x-not-executed: 1\r\nx-attempt-id: ${id}\r\n`),
};

/** Answers of upstreams that repeat refusals, and what they ran. */
class RepeatingUpstreams {
  /** Ids of the requests that ran, once for each run. */
  readonly runs: string[] = [];
  copies = 0;
  readonly #generator;
  readonly #refuse: Refusal;
  readonly #refused = new Map<Socket, string>();

  constructor(seed: number, refuse: Refusal) {
    this.#generator = xoroshiro128plus(seed);
    this.#refuse = refuse;
  }

  receive(request: ReceivedRequest): void {
    const { id, socket } = request;
    const earlier = this.#refused.get(socket);
    if (earlier !== undefined && this.#draws(COPY_SHARE)) {
      this.#refused.delete(socket);
      this.copies++;
      socket.write(earlier);
    } else if (this.#draws(REFUSAL_SHARE)) {
      const refusal = this.#refuse(request);
      this.#refused.set(socket, refusal);
      socket.write(refusal);
      return;
    }
    this.runs.push(id);
    const body = `ran ${id}`;
    setTimeout(() =>
      socket.write(
        `HTTP/1.1 200 X\r\nx-attempt-id: ${id}\r\nx-response-stamp: s\r\n` +
          `content-length: ${body.length}\r\n\r\n${body}`,
      ), RUN_MS);
  }

  #draws(share: number): boolean {
    return uniformFloat64(this.#generator) < share;
  }
}

interface Outcome {
  readonly runs: readonly string[];
  readonly copies: number;
  readonly statuses: ReadonlyMap<string, number>;
  /** Texts of the successful answers, by request. */
  readonly texts: ReadonlyMap<string, string>;
}

async function sendRequests(
  { upstreams, seed, path, refuse }: {
    upstreams: number;
    seed: number;
    path: string;
    refuse: Refusal;
  },
): Promise<Outcome> {
  const fleet = await new LocalIngress().start({
    upstreams,
    bounds: { retrySlack: REQUESTS },
  });
  const repeating = new RepeatingUpstreams(seed, refuse);
  fleet.script((request) => repeating.receive(request));
  const statuses = new Map<string, number>();
  const texts = new Map<string, string>();
  for (let count = 0; count < REQUESTS; count++) {
    const id = `id-${seed}-${count}`;
    const { status, text } = await fleet.ask({ id, path });
    statuses.set(id, status);
    if (status === 200) texts.set(id, text);
  }
  await fleet.close();
  const { runs, copies } = repeating;
  return { runs, copies, statuses, texts };
}

describe("the answer to the second request on a connection", () => {
  let fleet: LocalIngress;

  beforeAll(async () => {
    fleet = await new LocalIngress().start({ upstreams: 1 });
  });

  afterAll(async () => {
    await fleet.close();
  });

  async function ask(id: string): Promise<number> {
    return (await fleet.ask({ id, path: "/book/x" })).status;
  }

  /** Sends a request on a reused connection and answers it with `text`. */
  async function answerSecond(text: string) {
    const { arrived } = fleet.upstreams[0]!;
    arrived.length = 0;
    fleet.script((request) => sendCompleteResponse(request));
    // After an unclear answer, some requests get new connections.
    for (let count = 0; count <= MAX_NEW_CONNECTIONS; count++) {
      expect(await ask("first")).toBe(200);
    }
    fleet.script(({ socket }) => socket.write(text));
    const status = await ask("second");
    const [first, second] = arrived.slice(MAX_NEW_CONNECTIONS);
    return {
      status,
      arrived: arrived.slice(MAX_NEW_CONNECTIONS).map(({ id }) => id),
      isReused: first!.socket === second!.socket,
    };
  }

  // Guards against answers that may be late copies, or state no promise, and
  // are passed on or count as "not run" (REFUSED, TWICE, MIXED).
  test.each<[string, string, string]>([
    ["503", "without an id", "x-not-executed: 1\r\n"],
    ["429", "without an id", "x-not-executed: 1\r\n"],
    ["500", "without an id", "x-response-stamp: other\r\n"],
    ["503", "that does not state it", "x-attempt-id: second\r\n"],
    ["429", "that does not state it", "x-attempt-id: second\r\n"],
    ["408", "that does not state it", "x-attempt-id: second\r\n"],
    ["421", "without an id", ""],
  ])("promises nothing: %s %s", async (status, _reason, headers) => {
    expect(await answerSecond(createRefusal(Number(status), headers)))
      .toEqual({ status: 502, arrived: ["first", "second"], isReused: true });
  });

  // Guards against true refusals that are no longer believed.
  test("is a refusal if it has the id of the request", async () => {
    const headers = "x-attempt-id: second\r\nx-not-executed: 1\r\n";
    expect(await answerSecond(createRefusal(503, headers))).toEqual({
      status: 503,
      arrived: ["first", "second"],
      isReused: true,
    });
  });

  // Guards against an upstream that goes on repeating answers, or refuses without
  // ids, and so costs one request in a few that may not repeat.
  test("is followed by requests on new connections if it is unclear", async () => {
    const refusal = createRefusal(503, "x-not-executed: 1\r\n");
    await answerSecond(refusal);
    fleet.script(({ socket }) => socket.write(refusal));
    const statuses: number[] = [];
    for (let count = 0; count <= MAX_NEW_CONNECTIONS; count++) {
      statuses.push(await ask(`third-${count}`));
    }
    expect(statuses.slice(0, -1)).toEqual(Array(MAX_NEW_CONNECTIONS).fill(503));
    expect(statuses.at(-1)).toBe(502);
    expect(fleet.lines).toContainEqual(expect.objectContaining({
      message: "route: An upstream's answer may be for an earlier request.",
    }));
  });
});

// Guards against a second try of a request, at another upstream of the address,
// on the connection of the first, where a late copy of the first answer has the
// id of the request.
test("a request that is sent to an address again gets a new connection", async () => {
  const fleet = await new LocalIngress().start({ upstreams: 1 });
  const [{ address, arrived }] = fleet.upstreams as [ScriptedUpstream];
  fleet.putUpstream({ id: "up-other", address });
  await fleet.untilLogged({ upstream: "up-other" });
  await fleet.ask({ id: "first", path: "/book/x" });
  fleet.script((request) => {
    const refusal = createRefusal(
      503,
      `x-not-executed: 1\r\nx-attempt-id: ${request.id}\r\n`,
    );
    if (arrived.length === 2) request.socket.write(refusal);
    else sendCompleteResponse(request);
  });
  const { status } = await fleet.ask({ id: "second", path: "/book/x" });
  await fleet.close();
  const [first, refused, again] = arrived;
  expect(status).toBe(200);
  expect(refused!.socket).toBe(first!.socket);
  expect(again!.id).toBe("second");
  expect(again!.socket).not.toBe(refused!.socket);
});

describe.each([
  { upstreams: 1, seed: 1 },
  { upstreams: 2, seed: 2 },
])("$upstreams upstreams, seed $seed", ({ upstreams, seed }) => {
  // Guards against "not run" and second runs for requests that ran while a late
  // copy of an earlier refusal arrived (REFUSED, TWICE).
  test.each(Object.keys(refusals))(
    "a repeated %s promises nothing",
    async (name) => {
      const { runs, copies, statuses, texts } = await sendRequests({
        upstreams,
        seed,
        path: "/book/x",
        refuse: refusals[name]!,
      });
      const refused = runs.filter((id) =>
        NOT_RUN_STATUSES.has(statuses.get(id)!)
      );
      const twice = runs.filter((id, index) => runs.indexOf(id) !== index);
      expect({ refused, twice }).toEqual({ refused: [], twice: [] });
      for (const [id, text] of texts) expect(text).toBe(`ran ${id}`);
      const lost = [...statuses.values()].filter((status) => status === 502);
      // Each is followed by tries on new connections, on which there are no copies.
      expect(lost.length).toBeLessThanOrEqual(
        upstreams * (1 + REQUESTS / (MAX_NEW_CONNECTIONS + 1)),
      );
      expect(copies).toBeGreaterThan(0);
      expect(texts.size).toBeGreaterThan(0);
    },
  );
});
