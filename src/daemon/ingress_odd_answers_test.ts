/**
 * Upstreams that end amid the head of an answer, and streams that break off and
 * whose next upstream answers with something else than the rest of them.
 */
import { connect } from "node:net";
import {
  API_KEY,
  beginStream,
  createSignedHead,
  endStream,
  HOST,
  LocalIngress,
  type ReceivedRequest,
  sendEvent,
} from "./testing/local_ingress.ts";

let fleet: LocalIngress;

beforeAll(async () => {
  fleet = await new LocalIngress().start({ upstreams: 2 });
});

afterAll(async () => {
  await fleet.close();
});

beforeEach(() => {
  for (const upstream of fleet.upstreams) upstream.arrived.length = 0;
});

let requests = 0;

/** Exceeds the delay of an acknowledgement, which may hold up an event. */
const RESET_AFTER_MS = 100;

/** Sends a request on a connection of its own; resolves with what it receives. */
async function askRaw(
  path: string,
  { version }: { version: "1.0" | "1.1" },
): Promise<{ text: string; end: string; log: Record<string, unknown> }> {
  const id = `id-${requests++}`;
  const [host, port] = fleet.settings.listen.callers.split(":");
  const socket = connect(Number(port), host);
  let text = "";
  let end = "closed";
  socket.on("data", (chunk) => text += chunk.toString("latin1"));
  socket.on("error", ({ code }: NodeJS.ErrnoException) => end = code ?? "");
  socket.write(
    `GET ${path} HTTP/${version}\r\nhost: ${HOST}\r\nx-attempt-id: ${id}\r\n` +
      "connection: close\r\nx-deadline-ms: 2000\r\n" +
      `authorization: Bearer ${API_KEY}\r\n\r\n`,
  );
  await new Promise((resolve) => socket.once("close", resolve));
  await fleet.untilLogged({ requestId: id });
  const log = fleet.lines.find(({ requestId }) => requestId === id)!;
  return { text, end, log };
}

const HEAD_LINES = [
  "HTTP/1.1 200 OK\r\n",
  "x-attempt-id: ID\r\n",
  "x-response-stamp: s-ID\r\n",
  "content-type: text/plain\r\n",
  "content-length: 1",
  "2\r\n",
  "\r\n",
  "hello",
];

// Guards against a 200 with an empty or short body that is framed as whole,
// after an upstream has ended amid the head or the body of its answer (MIXED).
test.each(
  ["/book/x", "/read/x"].flatMap((path) =>
    HEAD_LINES.map((line, index) => ({ path, line, count: index + 1 }))
  ),
)(
  "$path is answered 502 if its upstreams end after $line",
  async ({ path, count }) => {
    for (const end of ["FIN", "reset"]) {
      fleet.script(({ id, socket }) => {
        const text = HEAD_LINES.slice(0, count).join("").replaceAll("ID", id);
        if (end === "FIN") socket.end(text);
        else {
          socket.write(text);
          socket.resetAndDestroy();
        }
      });
      const { text, log } = await askRaw(path, { version: "1.1" });
      expect(text).toMatch(/^HTTP\/1\.1 502 /);
      expect(log).toMatchObject({ outcome: "upstream-failed", ran: "unknown" });
    }
  },
);

// Guards against an answer with a status that HTTP doesn't have, such as that of
// an upstream in trouble, which callers get as an answer (MIXED).
test.each(
  ["/book/x", "/read/x", "/plan/x"].flatMap((path) =>
    ["000", "099", "600", "999"].map((status) => ({ path, status }))
  ),
)("$path is answered 502 if its upstreams answer $status", async (each) => {
  fleet.script(({ id, socket }) =>
    socket.write(
      `HTTP/1.1 ${each.status} X\r\nx-attempt-id: ${id}\r\n` +
        `x-response-stamp: s-${id}\r\ncontent-length: 2\r\n\r\nok`,
    )
  );
  const { text, log } = await askRaw(each.path, { version: "1.1" });
  expect(text).toMatch(/^HTTP\/1\.1 502 /);
  expect(log).toMatchObject({ outcome: "upstream-failed", ran: "unknown" });
});

/** Answers with a body that has a length. */
function answer(
  request: ReceivedRequest,
  { status, type }: { status: number; type: string },
): void {
  const body = status === 204 ? "" : "an answer of another kind";
  const length = status === 204 ? "" : `content-length: ${body.length}\r\n`;
  request.socket.write(createSignedHead(request, {
    status,
    more: `content-type: ${type}\r\n${length}\r\n${body}`,
  }));
}

/** What the second upstream of a stream answers. */
const SECOND_ANSWERS: Record<string, (request: ReceivedRequest) => void> = {
  "500": (request) => answer(request, { status: 500, type: "text/plain" }),
  "503": (request) => answer(request, { status: 503, type: "text/plain" }),
  "404": (request) => answer(request, { status: 404, type: "text/plain" }),
  "302": (request) => answer(request, { status: 302, type: "text/plain" }),
  "204": (request) => answer(request, { status: 204, type: "text/plain" }),
  "200 with JSON": (request) =>
    answer(request, { status: 200, type: "application/json" }),
  "half a head": ({ socket }) => socket.end("HTTP/1.1 200 OK\r\nx-att"),
  "a head in a chunk": (request) => {
    beginStream(request);
    const head = "HTTP/1.1 500 X\r\ncontent-length: 3\r\n\r\nbad";
    request.socket.write(`${head.length.toString(16)}\r\n${head}\r\n`);
    endStream(request);
  },
  "an empty stream": (request) => {
    beginStream(request);
    request.socket.end();
  },
};

// Guards against an error of the next upstream in the middle of a stream that
// broke off, and against such a stream that ends as complete (ORDER, MIXED).
test.each(
  Object.keys(SECOND_ANSWERS).flatMap((second) =>
    (["1.0", "1.1"] as const).map((version) => ({ second, version }))
  ),
)(
  "a stream whose next upstream answers $second is broken off at an HTTP/$version caller",
  async ({ second, version }) => {
    fleet.script((request) => {
      if (fleet.arrived.length > 1) return SECOND_ANSWERS[second]!(request);
      beginStream(request);
      sendEvent(request, 1);
      setTimeout(() => request.socket.resetAndDestroy(), RESET_AFTER_MS);
    });
    const { text, end, log } = await askRaw("/chat/x", { version });
    expect(fleet.arrived.length).toBe(2);
    const body = text.slice(text.indexOf("\r\n\r\n") + 4);
    const event = "id: 1\ndata: d1\n\n";
    const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;
    expect(body).toBe(version === "1.0" ? event : chunk);
    if (version === "1.0") expect(end).toBe("ECONNRESET");
    expect(log).toMatchObject({ outcome: "stream-broken" });
  },
);
