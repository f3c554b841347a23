/** A stream that is replayed from a cache, all at once. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { HEADERS } from "../platform/names.ts";
import type { StreamEvent } from "../transport/event_stream.ts";
import { createUpstreamConnections } from "../transport/upstream_connections.ts";
import type { RelayedResponse } from "./stream_relay.ts";
import { UpstreamTry } from "./upstream_try.ts";

const EVENTS = 3_000;

// Guards against a sound stream that is cut since its events are small and come
// at once (FAULT).
test("a burst of small events passes", async () => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n" +
          `${HEADERS.requestId}: id-1\r\n${HEADERS.signature}: s\r\n\r\n`,
      );
      socket.write("9\r\ndata: x\n\n\r\n".repeat(EVENTS));
      socket.write("0\r\n\r\n");
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clock = () => performance.now();
  const connections = createUpstreamConnections({ clock });
  let events = 0;
  const attempt = new UpstreamTry({
    connections,
    clock,
    request: {
      address: `127.0.0.1:${port}`,
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      maxIdleMs: 1_000,
    },
    requestId: "id-1",
    isRepeatable: true,
    relay: {
      isStarted: true,
      isBehind: false,
      select: (received: readonly StreamEvent[]) => ({
        events: received,
        isInOrder: true,
      }),
      write: (received: readonly StreamEvent[]) => {
        events += received.length;
      },
    } as unknown as RelayedResponse,
    silenceTimeoutMs: Infinity,
    isSuspect: () => false,
    endCheck: {
      recordHead: () => {},
      judge: () => Promise.resolve("whole" as const),
    },
    others: { areOpen: false, leave: () => {} },
    onSilent: () => {},
    onStreamStart: () => {},
    onLoad: () => {},
    onSurvival: () => {},
    onNotice: () => {},
  });
  const result = await attempt.result;
  attempt.cancel();
  await connections.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  expect(events).toBe(EVENTS);
  expect(result.kind).toBe("stream-complete");
});
