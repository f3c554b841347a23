/**
 * Upstreams that answer an upload before they have read it, without a length, and
 * reset the connection while it is still being written.
 */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { API_KEY, HOST, LocalIngress } from "./testing/local_ingress.ts";

const BODY_BYTES = 3_500_000;
/** Parts of a body that a caller sends slowly, and the pause between them. */
const SLOW_PARTS = 20;
const SLOW_PAUSE_MS = 15;
const CALLERS = 6;

/** How the upstream ends the connection after a part of its answer. */
const ENDS: Record<string, (socket: Socket) => void> = {
  "resets in the same turn": (socket) => socket.resetAndDestroy(),
  "resets after 3 ms": (socket) =>
    void setTimeout(() => socket.resetAndDestroy(), 3),
  "resets after 40 ms": (socket) =>
    void setTimeout(() => socket.resetAndDestroy(), 40),
};

let fleet: LocalIngress;
let end: (socket: Socket) => void;
const upstreams = Array.from({ length: 2 }, () =>
  createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", (chunk) => {
      socket.pause();
      const id = /x-attempt-id: (\S+)/i.exec(chunk.toString("latin1"))?.[1];
      socket.write(
        `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\n` +
          `x-response-stamp: s-${id}\r\n\r\n${"part ".repeat(1_000)}`,
      );
      end(socket);
    });
  }));

beforeAll(async () => {
  fleet = await new LocalIngress().start({ upstreams: 0 });
  const configuration = JSON.parse(fleet.store.read("op/config"));
  configuration.limits.maxBodyBytes = 2 * BODY_BYTES;
  fleet.store.put("op/config", { ...configuration, version: 50 });
  for (const [index, upstream] of upstreams.entries()) {
    upstream.listen(0, "127.0.0.1");
    await once(upstream, "listening");
    const { port } = upstream.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    fleet.putUpstream({ id: `early-${index}`, address }, { slots: 50 });
  }
  await fleet.untilLogged({ version: 50 });
  await sleep(1_000);
});

afterAll(async () => {
  await fleet.close();
  for (const upstream of upstreams) upstream.close();
});

/** Sends a body in `parts`; resolves with the text that the caller receives. */
async function upload(path: string, parts: number): Promise<string> {
  const [host, port] = fleet.settings.listen.callers.split(":");
  const socket = connect(Number(port), host);
  let text = "";
  socket.on("data", (chunk) => text += chunk.toString("latin1"));
  socket.on("error", () => {});
  const closed = once(socket, "close");
  socket.write(
    `POST ${path} HTTP/1.1\r\nhost: ${HOST}\r\nx-attempt-id: early\r\n` +
      "connection: close\r\nx-deadline-ms: 2000\r\n" +
      `authorization: Bearer ${API_KEY}\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`,
  );
  const part = Buffer.alloc(BODY_BYTES / parts, "b");
  for (let sent = 0; sent < parts && !socket.destroyed; sent++) {
    socket.write(part);
    if (parts > 1) await sleep(SLOW_PAUSE_MS);
  }
  await closed;
  return text;
}

// Guards against a part of an early answer that callers get as the whole (MIXED).
test.each(
  Object.keys(ENDS).flatMap((name) =>
    ["/book/x", "/read/x"].flatMap((path) =>
      [1, SLOW_PARTS].map((parts) => ({ name, path, parts }))
    )
  ),
)(
  "$path, sent in $parts parts, is answered 502 if its upstream $name",
  async ({ name, path, parts }) => {
    end = ENDS[name]!;
    const texts = await Promise.all(
      Array.from({ length: CALLERS }, () => upload(path, parts)),
    );
    const statuses = new Set(texts.map((text) => text.slice(0, 12)));
    expect([...statuses]).toEqual(["HTTP/1.1 502"]);
  },
);
