/** A caller that reads a stream more slowly than its upstream writes it. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { HEADERS } from "../platform/names.ts";
import type { StreamEvent } from "../transport/event_stream.ts";
import { createUpstreamConnections } from "../transport/upstream_connections.ts";
import type { RelayedResponse } from "./stream_relay.ts";
import { UpstreamTry } from "./upstream_try.ts";

const SILENCE_MS = 200;

// Guards against a sound upstream that counts as silent while its stream is
// paused since the caller reads slowly (LOST).
test("a stream that the caller holds up is not taken for a silent one", async () => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" +
          `${HEADERS.requestId}: id-1\r\n${HEADERS.signature}: s\r\n\r\n`,
      );
      const timer = setInterval(() => socket.write("id: 1\ndata: a\n\n"), 20);
      socket.on("close", () => clearInterval(timer));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clock = () => performance.now();
  const connections = createUpstreamConnections({ clock });
  let events = 0;
  let silences = 0;
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
      // Its buffer is full after the first event.
      select: (received: readonly StreamEvent[]) => ({
        events: received,
        isInOrder: true,
      }),
      write: (_: unknown, flow: { pause(): void }) => {
        events++;
        flow.pause();
      },
    } as unknown as RelayedResponse,
    silenceTimeoutMs: SILENCE_MS,
    isSuspect: () => false,
    endCheck: {
      recordHead: () => {},
      judge: () => Promise.resolve("whole" as const),
    },
    others: { areOpen: false, leave: () => {} },
    onSilent: () => silences++,
    onStreamStart: () => {},
    onLoad: () => {},
    onSurvival: () => {},
    onNotice: () => {},
  });
  const result = await Promise.race([
    attempt.result,
    new Promise((resolve) => setTimeout(resolve, SILENCE_MS * 3, "running")),
  ]);
  attempt.cancel();
  await connections.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  expect(events).toBe(1);
  expect(silences).toBe(0);
  expect(result).toBe("running");
});
