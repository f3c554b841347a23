import { decodeRequest } from "../platform/message_headers.ts";
import {
  API_KEY,
  beginStream,
  createSignedHead,
  endStream,
  LocalIngress,
  type ReceivedRequest,
  sendCompleteResponse,
  sendEvent,
} from "./testing/local_ingress.ts";

let fleet: LocalIngress;
let count = 0;

beforeAll(async () => {
  fleet = await new LocalIngress().start();
});

afterAll(async () => {
  await fleet.close();
});

beforeEach(() => {
  for (const upstream of fleet.upstreams) upstream.arrived.length = 0;
  fleet.script((request) => sendCompleteResponse(request));
});

function nextId(): string {
  return `id-${++count}`;
}

/** Handles the first request received with `first` and others with `then`. */
function scriptInOrder(
  first: (request: ReceivedRequest) => void,
  then: (request: ReceivedRequest) => void = sendCompleteResponse,
): void {
  fleet.script((request) => {
    (fleet.arrived.length === 1 ? first : then)(request);
  });
}

function resetConnection({ socket }: ReceivedRequest): void {
  socket.resetAndDestroy();
}

/** Resets the first request's connection once the caller received `text`. */
function createResetAfter(text: string): (received: string) => void {
  let isReset = false;
  return (received) => {
    if (isReset || !received.includes(text)) return;
    isReset = true;
    resetConnection(fleet.arrived[0]!);
  };
}

function refuseAsNotExecuted(request: ReceivedRequest): void {
  const more = "x-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
  request.socket.write(createSignedHead(request, { status: 503, more }));
}

test("a request reaches an upstream with the headers that the router sets", async () => {
  const id = nextId();
  const answer = await fleet.ask({
    id,
    headers: { "x-tenant": "other", "x-hold": "h", "x-model": "m" },
  });
  expect(answer).toMatchObject({ status: 200, text: "ok" });
  expect(answer.headers["x-response-stamp"]).toBe(`s-${id}`);
  const [{ headers }] = fleet.arrived as [ReceivedRequest];
  expect(headers).toMatchObject({ "x-tenant": "workspace", "x-model": "m" });
  expect(headers).not.toHaveProperty("authorization");
  expect(headers).not.toHaveProperty("x-hold");
  expect(fleet.upstreams.map(({ id }) => id)).toContain(
    headers["x-expect-instance"],
  );
  expect(decodeRequest(headers).deadlineMs).toBeLessThanOrEqual(2_000);
});

test("unknown routes and keys are refused, and the connection stays open", async () => {
  const noRoute = await fleet.ask({ id: nextId(), path: "/none/x" });
  const noKey = await fleet.ask({ id: nextId(), key: "unknown" });
  expect([noRoute.status, noKey.status]).toEqual([404, 401]);
  expect(noRoute.headers.connection).not.toBe("close");
  expect(fleet.arrived).toEqual([]);
});

test("an idempotent request is retried elsewhere after a connection reset", async () => {
  scriptInOrder(resetConnection);
  const answer = await fleet.ask({ id: nextId() });
  expect(answer).toMatchObject({ status: 200, text: "ok" });
  const upstreams = fleet.arrived.map(({ headers }) =>
    headers["x-expect-instance"]
  );
  expect(new Set(upstreams).size).toBe(2);
});

test("a non-idempotent request is not retried after a connection reset", async () => {
  scriptInOrder(resetConnection);
  const answer = await fleet.ask({ id: nextId(), path: "/book/x" });
  expect(answer.status).toBe(502);
  expect(fleet.arrived).toHaveLength(1);
});

test("a non-idempotent request that was not executed is retried elsewhere", async () => {
  scriptInOrder(refuseAsNotExecuted);
  const answer = await fleet.ask({ id: nextId(), path: "/book/x" });
  expect(answer).toMatchObject({ status: 200, text: "ok" });
});

test("a request that no upstream executes is refused with Retry-After", async () => {
  fleet.script(refuseAsNotExecuted);
  const answer = await fleet.ask({ id: nextId(), path: "/book/x" });
  expect(answer.status).toBe(503);
  const seconds = Number(answer.headers["retry-after"]);
  expect(seconds).toBeGreaterThan(0);
  expect(seconds).toBeLessThan(1);
});

test("an upstream's error response is passed on unchanged", async () => {
  fleet.script((request) =>
    sendCompleteResponse(request, { status: 500, body: "no" })
  );
  const id = nextId();
  const answer = await fleet.ask({ id, path: "/book/x" });
  expect(answer).toMatchObject({ status: 500, text: "no" });
  expect(answer.headers["x-response-stamp"]).toBe(`s-${id}`);
});

test("an answer with a wrong attempt id or no response stamp is not passed on", async () => {
  scriptInOrder((request) => sendCompleteResponse({ ...request, id: "other" }));
  expect((await fleet.ask({ id: nextId() })).status).toBe(200);
  expect(fleet.arrived).toHaveLength(2);
  fleet.script(({ id, socket }) => {
    socket.write(
      `HTTP/1.1 200 X\r\nx-attempt-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
    );
  });
  expect((await fleet.ask({ id: nextId(), path: "/book/x" })).status).toBe(502);
});

// Guards against an answer that a killed or stopped router leaves unfinished and
// that looks whole, since only the close of its connection ends it.
test("an answer without a length is passed on with one", async () => {
  fleet.script((request) => {
    request.socket.end(createSignedHead(request, { more: "\r\n" }) + "body");
  });
  const answer = await fleet.ask({ id: nextId(), path: "/book/x" });
  expect(answer).toMatchObject({ status: 200, text: "body" });
  expect(answer.headers["content-length"]).toBe("4");
  expect(answer.headers).not.toHaveProperty("transfer-encoding");
});

test("an answer that has no body is passed on without a length", async () => {
  fleet.script((request) => {
    request.socket.write(
      createSignedHead(request, { status: 204, more: "\r\n" }),
    );
  });
  const answer = await fleet.ask({ id: nextId(), path: "/book/x" });
  expect(answer).toMatchObject({ status: 204, text: "", isComplete: true });
  expect(answer.headers).not.toHaveProperty("content-length");
  expect(answer.headers).not.toHaveProperty("transfer-encoding");
});

test("a resumable stream resumes at another upstream after its last event", async () => {
  scriptInOrder((request) => {
    beginStream(request);
    sendEvent(request, 1);
    sendEvent(request, 2);
    request.socket.write("10\r\nid: 3\nda");
  }, (request) => {
    beginStream(request);
    sendEvent(request, 3);
    endStream(request);
  });
  const answer = await fleet.ask({
    id: nextId(),
    path: "/chat/x",
    method: "POST",
  }, { onChunk: createResetAfter("d2") });
  expect(answer).toMatchObject({
    status: 200,
    isComplete: true,
    text: "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\ndata: d3\n\n",
  });
  const resumedAfter = fleet.arrived.map(({ headers }) =>
    headers["last-event-id"]
  );
  expect(new Set(resumedAfter)).toEqual(new Set([undefined, "2"]));
});

test("a stream that is not resumable ends as incomplete after a reset", async () => {
  fleet.script((request) => {
    beginStream(request);
    sendEvent(request, 1);
  });
  const answer = await fleet.ask({ id: nextId(), path: "/plan/x" }, {
    onChunk: createResetAfter("d1"),
  });
  expect(answer).toMatchObject({ isComplete: false });
  expect(fleet.arrived).toHaveLength(1);
});

const UNFRAMED_STREAM = "content-type: text/event-stream\r\n" +
  "connection: close\r\n\r\n";

function sendUnframedEvent({ socket }: ReceivedRequest, id: number): void {
  socket.write(`id: ${id}\ndata: d${id}\n\n`);
}

/** Begins a stream that ends with its connection. */
function beginUnframedStream(request: ReceivedRequest): void {
  request.socket.write(createSignedHead(request, { more: UNFRAMED_STREAM }));
  sendUnframedEvent(request, 1);
}

// Guards against a stream without framing that was reset and reaches the caller
// as one that came to its end.
test("a stream without framing that is reset is broken off at the caller", async () => {
  scriptInOrder(beginUnframedStream);
  const answer = await fleet.ask({ id: nextId(), path: "/plan/x" }, {
    onChunk: createResetAfter("d1"),
  });
  expect(answer.text).toContain("d1");
  expect(answer).toMatchObject({ isReset: true, isComplete: false });
});

test("a stream without framing reaches the caller in chunks", async () => {
  scriptInOrder((request) => {
    beginUnframedStream(request);
    sendUnframedEvent(request, 2);
    request.socket.end();
  });
  const answer = await fleet.ask({ id: nextId(), path: "/plan/x" });
  expect(answer.text).toBe("id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n");
  expect(answer).toMatchObject({ isReset: false, isComplete: true });
  expect(answer.headers["transfer-encoding"]).toBe("chunked");
});

test("a stream without framing that ends inside an event is broken off", async () => {
  scriptInOrder((request) => {
    beginUnframedStream(request);
    request.socket.end("id: 2\ndata: d");
  });
  const answer = await fleet.ask({ id: nextId(), path: "/plan/x" });
  expect(answer).toMatchObject({ isReset: true, isComplete: false });
});

// Guards against an upstream that ends before its first event, whose empty
// answer without framing looks like a whole stream.
test("a stream without framing that has no event is tried elsewhere", async () => {
  scriptInOrder((request) => {
    request.socket.end(createSignedHead(request, { more: UNFRAMED_STREAM }));
  }, (request) => {
    beginStream(request);
    sendEvent(request, 1);
    endStream(request);
  });
  const answer = await fleet.ask({ id: nextId(), path: "/chat/x" });
  expect(answer.text).toContain("d1");
  expect(fleet.arrived).toHaveLength(2);
});

test("a caller that disconnects ends its request at the upstream", async () => {
  const closed = new Promise<void>((resolve) => {
    fleet.script((request) => {
      beginStream(request);
      sendEvent(request, 1);
      request.socket.once("close", () => resolve());
    });
  });
  const answer = await fleet.open({ id: nextId(), path: "/plan/x" });
  answer.destroy();
  await closed;
});

test("a request past its deadline gets 504 and closes its upstream connection", async () => {
  const closed = new Promise<void>((resolve) => {
    fleet.script(({ socket }) => socket.once("close", () => resolve()));
  });
  const answer = await fleet.ask({
    id: nextId(),
    path: "/book/x",
    deadlineMs: 150,
  });
  expect(answer.status).toBe(504);
  // The request was sent, so the router can't know whether it was executed.
  expect(JSON.parse(answer.text)).toMatchObject({ ran: "unknown" });
  await closed;
});

test("an upstream that is not the expected instance gets no more requests", async () => {
  const [first] = fleet.upstreams;
  first!.script = ({ id, socket }) => {
    socket.write(
      `HTTP/1.1 421 X\r\nx-attempt-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
    );
  };
  for (let request = 0; request < 6; request++) {
    const answer = await fleet.ask({ id: nextId(), path: "/book/x" });
    expect(answer.status).toBe(200);
  }
  expect(first!.arrived.length).toBeLessThanOrEqual(1);
  fleet.putUpstream(first!, { seq: 2 });
  await fleet.untilLogged({ upstream: first!.id });
});

test("a removed key is refused", async () => {
  fleet.putConfiguration({ keys: ["new"] });
  await fleet.untilLogged({ version: 2 });
  expect((await fleet.ask({ id: nextId(), key: API_KEY })).status).toBe(401);
  expect((await fleet.ask({ id: nextId(), key: "new" })).status).toBe(200);
});
