import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect } from "node:net";
import { Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import {
  getExpectedEventStream,
  getExpectedJsonBody,
} from "../../testing/answer.ts";
import { getDiagnostic, getDiagnosticCodes } from "../diagnostics.ts";
import { ExplanationSchema, RouterStatusSchema } from "../types_status.ts";
import {
  createChat,
  exchangeRaw,
  LocalFleet,
  type LocalRequest,
  type LocalResponse,
  MODEL,
  until,
  WORKSPACE_KEY,
} from "./testing/local_fleet.ts";

const CHAT = "/v1/chat/completions";
const HEADER_TIMEOUT_MS = 300;
const MAX_BODY_BYTES = 65_536;

const ProblemSchema = Type.Object({
  type: Type.Union(
    getDiagnosticCodes().map((code) =>
      Type.Literal(`urn:corianderflow:${code}`)
    ),
  ),
  title: Type.String({ minLength: 1 }),
  status: Type.Integer({ minimum: 400, maximum: 599 }),
  detail: Type.String({ minLength: 1 }),
  instance: Type.String({ pattern: "^urn:corianderflow:request:." }),
  ran: Type.Union([Type.Literal("no"), Type.Literal("unknown")]),
  retryAfterMs: Type.Optional(Type.Integer({ minimum: 1 })),
}, { additionalProperties: false });

let fleet: LocalFleet;

beforeAll(async () => {
  fleet = await new LocalFleet().start({
    limits: {
      "header_timeout_ms": HEADER_TIMEOUT_MS,
      "max_body_bytes": MAX_BODY_BYTES,
    },
  });
});

afterAll(async () => {
  expect(await fleet.getStatus()).toMatchObject({ breaches: 0 });
  await fleet.close();
});

/** Checks the form of a refusal; returns its status, code and `ran`. */
function checkRefusal({ status, headers, text }: LocalResponse) {
  const problem: unknown = JSON.parse(text);
  expect([...Value.Errors(ProblemSchema, problem)]).toEqual([]);
  const { type, ran, ...rest } = Value.Cast(ProblemSchema, problem);
  const code = getDiagnosticCodes().find((each) => type.endsWith(`:${each}`))!;
  expect(rest.status).toBe(status);
  expect(headers["content-type"]).toBe("application/problem+json");
  expect(headers["content-length"]).toBe(String(Buffer.byteLength(text)));
  expect(headers["retry-after"] !== undefined)
    .toBe(getDiagnostic(code).retryable);
  return `${status} ${code}, ran: ${ran}`;
}

function parseResponse(answer: string): LocalResponse {
  const [head = "", text = ""] = answer.split("\r\n\r\n", 2);
  const [line = "", ...fields] = head.split("\r\n");
  const headers = fields.map((field) => {
    const [name = "", value = ""] = field.split(": ", 2);
    return [name.toLowerCase(), value];
  });
  return {
    status: Number(line.split(" ")[1]),
    headers: Object.fromEntries(headers),
    text,
  };
}

/** Expects complete answers to two chats, each on its own connection. */
async function expectService(): Promise<void> {
  const content = "meanwhile";
  const [whole, stream] = await Promise.all([
    fleet.chat(content),
    fleet.chat(content, { stream: true }),
  ]);
  expect(whole.text).toBe(getExpectedJsonBody(createChat(content)));
  expect(stream.text).toBe(getExpectedEventStream(createChat(content)));
}

async function setSlowFactor(slowFactor: number): Promise<void> {
  const order = { slowFactor };
  await Promise.all(
    fleet.engines.map((engine) => fleet.control(engine, order)),
  );
}

const json = JSON.stringify(createChat("bad input"));

async function* chunked(bytes: number) {
  for (let sent = 0; sent < bytes; sent += 1_024) {
    yield Buffer.alloc(1_024, 0x20);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const requests: Record<string, [path: string, request: LocalRequest]> = {
  "no JSON": [CHAT, { body: "{" }],
  "no body": [CHAT, {}],
  "JSON that is no object": [CHAT, { body: "7" }],
  "JSON null": [CHAT, { body: "null" }],
  "no model": [CHAT, { body: '{"messages":[{}]}' }],
  "a model that is no string": [CHAT, {
    body: '{"model":{},"messages":[{}]}',
  }],
  "no messages": [CHAT, { body: `{"model":"${MODEL}"}` }],
  "empty messages": [CHAT, { body: `{"model":"${MODEL}","messages":[]}` }],
  "a stream that is no boolean": [CHAT, {
    body: `{"model":"${MODEL}","messages":[{}],"stream":"yes"}`,
  }],
  "bytes that are no UTF-8": [CHAT, { body: Buffer.from([0xff, 0xfe]) }],
  "an oversized body": [CHAT, { body: Buffer.alloc(MAX_BODY_BYTES + 1) }],
  "an oversized chunked body": [CHAT, { body: chunked(2 * MAX_BODY_BYTES) }],
  "an unknown model": [CHAT, { body: json.replace(MODEL, "other") }],
  "a prototype's name as model": [CHAT, {
    body: json.replace(MODEL, "constructor"),
  }],
  "no key": [CHAT, { headers: { authorization: "" }, body: json }],
  "an unknown key": [CHAT, {
    headers: { authorization: "Bearer nobody-knows-it" },
    body: json,
  }],
  "another scheme": [CHAT, {
    headers: { authorization: `Basic ${WORKSPACE_KEY}` },
    body: json,
  }],
  "an unknown key and an oversized body": [CHAT, {
    headers: { authorization: "Bearer nobody-knows-it" },
    body: chunked(2 * MAX_BODY_BYTES),
  }],
  "an unknown route": ["/nowhere", { body: "{}" }],
  "a path that only starts like a route": ["/sheetsandmore", {
    method: "GET",
  }],
  "a method without a route": ["/sheets", { method: "DELETE" }],
  "a chat by GET": [CHAT, { method: "GET" }],
  "a chat by PUT": [CHAT, { method: "PUT", body: json }],
  "a chat id with a space": [CHAT, {
    headers: { "x-chat-id": "a b" },
    body: json,
  }],
  "an empty chat id": [CHAT, { headers: { "x-chat-id": "" }, body: json }],
  "a long chat id": [CHAT, {
    headers: { "x-chat-id": "x".repeat(129) },
    body: json,
  }],
  "no Idempotency-Key": ["/sheets", { body: "{}" }],
  "an empty Idempotency-Key": ["/sheets", {
    headers: { "idempotency-key": "" },
    body: "{}",
  }],
  "a long Idempotency-Key": ["/sheets", {
    headers: { "idempotency-key": "k".repeat(256) },
    body: "{}",
  }],
  "an Idempotency-Key that is not ASCII": ["/sheets", {
    headers: { "idempotency-key": "\u00e9" },
    body: "{}",
  }],
  "a deadline that is no number": [CHAT, {
    headers: { "x-deadline-ms": "soon" },
    body: json,
  }],
  "a deadline of 0": [CHAT, { headers: { "x-deadline-ms": "0" }, body: json }],
  "a deadline below 0": [CHAT, {
    headers: { "x-deadline-ms": "-5" },
    body: json,
  }],
  "an endless deadline": [CHAT, {
    headers: { "x-deadline-ms": "Infinity" },
    body: json,
  }],
  "two deadlines": [CHAT, {
    headers: { "x-deadline-ms": ["5", "6"] },
    body: json,
  }],
};

test("malformed requests get the matching problem type while others are served", async () => {
  const seen: Record<string, string> = {};
  for (const [name, [path, request]] of Object.entries(requests)) {
    const [answer] = await Promise.all([
      fleet.send(path, request),
      expectService(),
    ]);
    seen[name] = checkRefusal(answer);
  }
  expect(seen).toMatchSnapshot();
});

test("a workspace above its rate limit is refused with Retry-After", async () => {
  const headers = { authorization: "Bearer small-workspace-key" };
  const answers = [];
  for (let index = 0; index < 3; index++) {
    answers.push(await fleet.chat("limit", { headers }));
  }
  const refused = answers.filter(({ status }) => status !== 200);
  expect(refused.map(checkRefusal)).toContain("429 workspace-limit, ran: no");
});

const authorization = `authorization: Bearer ${WORKSPACE_KEY}\r\n`;
const halfBody = `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n${authorization}` +
  `content-length: ${json.length}\r\n\r\n${json.slice(0, 9)}`;

const rawRequests: Record<string, string> = {
  "half a head": `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n`,
  "half a body": halfBody,
  "half a chunk": `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n${authorization}` +
    "transfer-encoding: chunked\r\n\r\nff\r\n{",
  "no HTTP": "hello\r\n\r\n",
  "a malformed length": `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n` +
    "content-length: x\r\n\r\n",
  "two lengths": `POST ${CHAT} HTTP/1.1\r\nhost: r\r\ncontent-length: 1\r\n` +
    "content-length: 2\r\n\r\nab",
  "a length beside chunks": `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n` +
    "content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
  "a malformed chunk": `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n${authorization}` +
    "transfer-encoding: chunked\r\n\r\nzz\r\n",
  "a head that is too long": `GET / HTTP/1.1\r\nhost: r\r\n` +
    `x: ${"x".repeat(20_000)}\r\n\r\n`,
};

test("requests with incomplete or malformed HTTP get a problem document", async () => {
  const { callers } = fleet.routers[0]!;
  const answers = Object.entries(rawRequests).map(async ([name, part]) => {
    const answer = await exchangeRaw(callers, [part]);
    return [name, checkRefusal(parseResponse(answer))];
  });
  for (let round = 0; round < 5; round++) await expectService();
  const seen = await Promise.all(answers);
  expect(Object.fromEntries(seen)).toMatchSnapshot();
});

test("a malformed pipelined request closes the connection without a response", async () => {
  const { callers } = fleet.routers[0]!;
  const content = "pipelined";
  const body = JSON.stringify(createChat(content, { tokens: 2_000 }));
  const first = `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n${authorization}` +
    `content-length: ${body.length}\r\n\r\n${body}`;
  const answer = await exchangeRaw(callers, [first, 50, "hello\r\n\r\n"]);
  expect(answer).toBe("");
});

test("a chunked body and a body sent byte by byte are read completely", async () => {
  const expected = getExpectedJsonBody(createChat("bad input"));
  async function* bytes() {
    for (const byte of Buffer.from(json)) yield Buffer.from([byte]);
  }
  expect((await fleet.send(CHAT, { body: bytes() })).text).toBe(expected);
  const { callers } = fleet.routers[0]!;
  const head = `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n${authorization}` +
    `connection: close\r\ncontent-length: ${json.length}\r\n\r\n`;
  const raw = await exchangeRaw(callers, [head, 20, ...json]);
  expect(parseResponse(raw).text).toBe(expected);
});

test("the body of a refused request is not parsed as the next request", async () => {
  const inner = "GET /healthz HTTP/1.1\r\nhost: r\r\n\r\n";
  const outer = `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n` +
    `content-length: ${inner.length}\r\n\r\n`;
  const { callers } = fleet.routers[0]!;
  const answer = await exchangeRaw(callers, [outer, 20, inner]);
  expect(answer.match(/HTTP\/1\.1 /g)).toHaveLength(1);
  expect(checkRefusal(parseResponse(answer))).toBe("401 unknown-key, ran: no");
});

test("a caller that disconnects mid-stream has its attempt cancelled", async () => {
  const records = () =>
    Promise.all(fleet.engines.map((engine) => fleet.getRecord(engine)));
  const inFlight = async () =>
    (await records()).reduce((sum, record) => sum + record.inFlight, 0);
  await until(async () => await inFlight() === 0);
  // Slow enough that no stream completes while this test runs.
  await setSlowFactor(100);
  const body = JSON.stringify(
    createChat("long", { stream: true, tokens: 4_000 }),
  );
  const [host, port] = fleet.routers[0]!.callers.split(":");
  const sockets = Array.from({ length: 8 }, () => {
    const socket = connect({ host: host!, port: Number(port) });
    socket.write(
      `POST ${CHAT} HTTP/1.1\r\nhost: r\r\n${authorization}` +
        `content-length: ${body.length}\r\n\r\n${body}`,
    );
    return socket;
  });
  await Promise.all(sockets.map((socket) => once(socket, "data")));
  expect(await inFlight()).toBe(8);
  for (const socket of sockets) socket.destroy();
  await until(async () => await inFlight() === 0);
  await setSlowFactor(1);
  await expectService();
  await until(async () => await fleet.getInFlight() === 0);
});

test("the admin paths respond", async () => {
  expect(await fleet.get("/healthz")).toMatchObject({ text: "ok\n" });
  expect(await fleet.get("/readyz")).toMatchObject({ status: 200 });
  const metrics = await fleet.get("/metrics");
  expect(metrics.text).toContain("corianderflow_requests_total{");
  const status = JSON.parse((await fleet.get("/admin/status")).text);
  expect([...Value.Errors(RouterStatusSchema, status)]).toEqual([]);
  expect(status).toMatchObject({ name: "r1", ready: true, version: 2 });
  const path = "/admin/explain?service=assistant&chat=chat-meanwhile";
  const explained = await fleet.get(`${path}&workspace=hakata`);
  const explanation = JSON.parse(explained.text);
  expect([...Value.Errors(ExplanationSchema, explanation)]).toEqual([]);
  expect(explanation.order).toHaveLength(2);
  expect(await fleet.get("/admin/explain?service=none&workspace=hakata"))
    .toMatchObject({ status: 404 });
  expect(await fleet.get(`${path}&workspace=none`))
    .toMatchObject({ status: 404 });
});
