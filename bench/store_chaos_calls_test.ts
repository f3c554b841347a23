/** How callers of a chaos run take answers that end early. */
import { createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  formatEventData,
  getEventCount,
} from "../testing/registered_upstream.ts";
import { listen } from "../testing/stand_in_http.ts";
import { Callers } from "./store_chaos_calls.ts";

const REQUEST_ID = "id-1";
const EVENTS = getEventCount(REQUEST_ID);

function renderEvents(count: number): string {
  return Array.from(
    { length: count },
    (_, index) =>
      `id: ${index + 1}\ndata: ` +
      `${formatEventData(REQUEST_ID, index + 1)} version=v1\n\n`,
  ).join("");
}

/**
 * Answers a request with `body`, by default without a length, and ends it with
 * `end`.
 */
async function call(
  kind: "plan" | "read",
  body: string,
  { end, hasLength = false }: {
    end: (socket: Socket) => void;
    hasLength?: boolean;
  },
) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", async () => {
      const type = kind === "plan" ? "text/event-stream" : "application/json";
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\n` +
          `x-response-stamp: up/${REQUEST_ID}\r\nconnection: close\r\n` +
          (hasLength ? `content-length: ${body.length}\r\n` : "") +
          `\r\n${body}`,
      );
      await sleep(20);
      end(socket);
    });
  });
  const address = await listen(server, 0);
  const callers = new Callers();
  const result = await callers.call({
    requestId: REQUEST_ID,
    kind,
    router: { name: "router-0", address },
    key: "key",
    subject: "subject",
  });
  callers.close();
  server.close();
  return result;
}

function close(socket: Socket): void {
  socket.end();
}

function reset(socket: Socket): void {
  socket.resetAndDestroy();
}

// Guards against a check that takes a stream which looks complete for one that
// visibly broke off (ORDER).
test("a close completes a stream without a length, a reset does not", async () => {
  expect(await call("plan", renderEvents(EVENTS), { end: close }))
    .toMatchObject({ end: "whole", versions: ["v1"] });
  expect(await call("plan", renderEvents(2), { end: close }))
    .toMatchObject({ end: "short", last: { received: 2 } });
  expect(await call("plan", renderEvents(2), { end: reset }))
    .toMatchObject({ end: "broken", versions: ["v1"] });
});

test("a close completes a body without a length, a reset does not", async () => {
  const body = JSON.stringify({ requestId: REQUEST_ID, upstream: "up" });
  expect(await call("read", body, { end: close })).toMatchObject({
    end: "whole",
  });
  expect(await call("read", body.slice(0, 9), { end: close }))
    .toMatchObject({ end: "short", last: { received: 9 } });
  expect(await call("read", body.slice(0, 9), { end: reset }))
    .toMatchObject({ end: "broken" });
});

test("a length completes an answer that ends early", async () => {
  const options = { end: reset, hasLength: true };
  expect(await call("plan", renderEvents(2), options))
    .toMatchObject({ end: "short", last: { received: 2 } });
  expect(await call("read", '{"req', options))
    .toMatchObject({ end: "short", last: { received: 5 } });
});
