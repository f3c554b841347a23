import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { listen } from "./kv_http.ts";
import { createRelay, type Relay } from "./relay.ts";

const STEP_MS = 5;
const MAX_STEPS = 1_000;
/** Long enough for a byte to cross loopback, were it not dropped. */
const CROSSING_MS = 50;

/** A client socket with what it has seen. */
interface Client {
  readonly socket: Socket;
  received: string;
  closed: string | undefined;
}

let echo: Server;
let relay: Relay;
let received: string;
let clients: Client[];

beforeEach(async () => {
  received = "";
  clients = [];
  echo = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.on("data", (data) => {
      received += data;
      socket.write(data);
    });
  });
  relay = await createRelay({ target: await listen(echo, 0) });
});

afterEach(async () => {
  for (const { socket } of clients) socket.destroy();
  await relay.close();
  await new Promise((resolve) => echo.close(resolve));
});

function open(): Client {
  const [host, port] = relay.address.split(":");
  const socket = connect(Number(port), host);
  const client: Client = { socket, received: "", closed: undefined };
  socket.on("data", (data) => client.received += data);
  socket.on("error", (error: NodeJS.ErrnoException) => {
    client.closed = error.code;
  });
  socket.on("close", () => client.closed ??= "end");
  clients.push(client);
  return client;
}

async function until(condition: () => boolean): Promise<void> {
  for (let i = 0; i < MAX_STEPS && !condition(); i++) await sleep(STEP_MS);
  expect(condition()).toBe(true);
}

async function openWith(text: string): Promise<Client> {
  const client = open();
  client.socket.write(text);
  await until(() => client.received === text);
  return client;
}

test("bytes pass in order, delayed or not, and the end after them", async () => {
  const client = await openWith("a");
  const big = "b".repeat(3_000_000);
  await relay.setFaults({ delayMs: 30 });
  client.socket.write(big);
  await sleep(CROSSING_MS);
  await relay.setFaults({ delayMs: 0 });
  client.socket.end("c");
  await until(() => client.closed !== undefined);
  expect(client.closed).toBe("end");
  expect(client.received === `a${big}c`).toBe(true);
  expect(relay.getStats()).toEqual({
    connections: 1,
    bytesToTarget: 3_000_002,
    bytesToClient: 3_000_002,
  });
});

test("a cut resets what is open and refuses what is new", async () => {
  const client = await openWith("a");
  const { address } = relay;
  await relay.setFaults({ cut: true });
  await until(() => client.closed !== undefined);
  const refused = open();
  await until(() => refused.closed !== undefined);
  expect([client.closed, refused.closed]).toEqual([
    "ECONNRESET",
    "ECONNREFUSED",
  ]);
  await relay.setFaults({ cut: false });
  expect(relay.address).toBe(address);
  await openWith("b");
});

test("silence holds for the open connections for good", async () => {
  const silent = await openWith("a");
  await relay.setFaults({ silence: true });
  silent.socket.write("b");
  await openWith("c");
  silent.socket.end();
  await sleep(CROSSING_MS);
  expect(received).toBe("ac");
  expect([silent.received, silent.closed]).toEqual(["a", undefined]);
});

test("a direction that is cut loses its bytes and the other goes on", async () => {
  const client = await openWith("a");
  await relay.setFaults({ cutOneWay: "to-client" });
  client.socket.write("b");
  await until(() => received === "ab");
  await relay.setFaults({ cutOneWay: "to-target" });
  client.socket.write("c");
  await sleep(CROSSING_MS);
  expect(received).toBe("ab");
  await relay.setFaults({ cutOneWay: "none" });
  await openWith("d");
  // A stream with a gap must not go on after it.
  client.socket.write("e");
  await sleep(CROSSING_MS);
  expect([received, client.received]).toEqual(["abd", "a"]);
});
