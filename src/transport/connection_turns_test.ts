import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { SILENT_LOG } from "../log.ts";
import { createTurnListener, hasLaterRequest } from "./connection_turns.ts";
import {
  createCountedHandler,
  createInFlightCounter,
  type InFlightCounter,
} from "./in_flight.ts";

const REQUESTS = 60;
const REQUEST = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

let server: Server;
let socket: Socket;
let received = "";
let inFlight: InFlightCounter;
let open: ServerResponse[] = [];
let later: boolean[] = [];

beforeEach(async () => {
  inFlight = createInFlightCounter();
  open = [];
  const serve = createCountedHandler((request, response) => {
    open.push(response);
    return once(response, "finish").then(() => {
      later.push(hasLaterRequest(request));
    });
  }, { inFlight, log: SILENT_LOG });
  server = createServer(createTurnListener(serve, { inFlight }));
  await once(server.listen(0, "127.0.0.1"), "listening");
  socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  received = "";
  later = [];
  socket.on("data", (chunk) => received += String(chunk));
  socket.write(REQUEST.repeat(REQUESTS));
  await untilCounted(REQUESTS);
});

afterEach(() => {
  socket.destroy();
  server.closeAllConnections();
  server.close();
});

async function untilCounted(count: number): Promise<void> {
  while (inFlight.count !== count) await new Promise(setImmediate);
}

// Guards against a stop that closes connections on which requests wait.
test("requests that wait for their turn are in flight until answered", async () => {
  expect(open.length).toBeLessThan(REQUESTS);
  const answers = setInterval(() => open.shift()?.end("ok"));
  await inFlight.waitUntilIdle();
  clearInterval(answers);
  expect(later).toEqual([...Array(REQUESTS - 1).fill(true), false]);
  while (received.split("HTTP/1.1 200 ").length <= REQUESTS) {
    await once(socket, "data");
  }
});

// Guards against a stop that waits for requests that no one can answer.
test("requests that wait are dropped when their connection closes", async () => {
  socket.resetAndDestroy();
  // A connection that is not read shows its end when it is written to.
  for (const response of open) response.end("ok");
  while (inFlight.count > open.length) await new Promise(setImmediate);
  expect(open.length).toBeLessThan(REQUESTS);
});
