import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { listen } from "./stand_in_http.ts";
import { createRelay, type Relay } from "./relay.ts";

const POLL_INTERVAL_MS = 5;
const MAX_POLLS = 1_000;
/** Longer than a byte that is not dropped takes to cross loopback. */
const TRANSIT_MS = 50;

/** A client socket with the data it has received and how it was closed. */
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

function openClient(): Client {
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

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let i = 0; i < MAX_POLLS && !condition(); i++) {
    await sleep(POLL_INTERVAL_MS);
  }
  expect(condition()).toBe(true);
}

async function openEchoed(text: string): Promise<Client> {
  const client = openClient();
  client.socket.write(text);
  await waitUntil(() => client.received === text);
  return client;
}

test("forwards delayed and undelayed bytes in order, then the end of stream", async () => {
  const client = await openEchoed("a");
  const big = "b".repeat(3_000_000);
  await relay.setFaults({ delayMs: 30 });
  client.socket.write(big);
  await sleep(TRANSIT_MS);
  await relay.setFaults({ delayMs: 0 });
  client.socket.end("c");
  await waitUntil(() => client.closed !== undefined);
  expect(client.closed).toBe("end");
  expect(client.received === `a${big}c`).toBe(true);
  expect(relay.getStats()).toEqual({
    connections: 1,
    bytesToTarget: 3_000_002,
    bytesToClient: 3_000_002,
  });
});

test("resets open connections and refuses new ones while cut", async () => {
  const client = await openEchoed("a");
  const { address } = relay;
  await relay.setFaults({ cut: true });
  await waitUntil(() => client.closed !== undefined);
  const refused = openClient();
  await waitUntil(() => refused.closed !== undefined);
  expect([client.closed, refused.closed]).toEqual([
    "ECONNRESET",
    "ECONNREFUSED",
  ]);
  await relay.setFaults({ cut: false });
  expect(relay.address).toBe(address);
  await openEchoed("b");
});

test("permanently silences open connections but not new ones", async () => {
  const silent = await openEchoed("a");
  await relay.setFaults({ silence: true });
  silent.socket.write("b");
  await openEchoed("c");
  silent.socket.end();
  await sleep(TRANSIT_MS);
  expect(received).toBe("ac");
  expect([silent.received, silent.closed]).toEqual(["a", undefined]);
});

test("drops the bytes of the cut direction and forwards the other", async () => {
  const client = await openEchoed("a");
  await relay.setFaults({ cutOneWay: "to-client" });
  client.socket.write("b");
  await waitUntil(() => received === "ab");
  await relay.setFaults({ cutOneWay: "to-target" });
  client.socket.write("c");
  await sleep(TRANSIT_MS);
  expect(received).toBe("ab");
  await relay.setFaults({ cutOneWay: "none" });
  await openEchoed("d");
  // No bytes may follow a gap in the stream.
  client.socket.write("e");
  await sleep(TRANSIT_MS);
  expect([received, client.received]).toEqual(["abd", "a"]);
});
