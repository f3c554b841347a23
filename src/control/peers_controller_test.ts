import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { findFreeAddress } from "../../testing/free_address.ts";
import { createRelay, type Relay } from "../../testing/relay.ts";
import { SILENT_LOG } from "../log.ts";
import type { Router } from "../types.ts";
import type { Heartbeat } from "./heartbeat.ts";
import {
  createPeersController,
  type PeersController,
} from "./peers_controller.ts";
import { createTaskSystem, type TaskSystem } from "./task.ts";
import { until } from "./testing/settle.ts";

const KEY = "the key of this fleet";
const HEARTBEAT_MS = 20;
const LIVENESS_MS = 300;

interface Peer {
  readonly peers: PeersController;
  readonly relay: Relay;
  readonly heartbeats: Heartbeat[];
  readonly requests: unknown[];
  readonly logLines: string[];
  readonly router: Router;
}

let startedPeers: Peer[];
let taskSystems: TaskSystem[];

beforeEach(() => {
  startedPeers = [];
  taskSystems = [];
});

afterEach(async () => {
  for (const { peers } of startedPeers) peers.close();
  for (const tasks of taskSystems) tasks.close();
  await Promise.all(startedPeers.map(({ relay }) => relay.close()));
});

function createRouter(name: string): Router {
  const address = "127.0.0.1:1";
  return {
    name,
    failureDomain: "a",
    controlAddress: address,
    forwardAddress: address,
  };
}

async function start(
  name: string,
  { key = KEY, seeds = [], version = 1 }: {
    key?: string;
    seeds?: readonly Peer[];
    version?: number;
  } = {},
): Promise<Peer> {
  const listenAddress = await findFreeAddress();
  const relay = await createRelay({ target: listenAddress });
  const router = { ...createRouter(name), controlAddress: relay.address };
  const tasks = createTaskSystem();
  taskSystems.push(tasks);
  const heartbeats: Heartbeat[] = [];
  const requests: unknown[] = [];
  const logLines: string[] = [];
  const peers = createPeersController({
    self: router,
    listenAddress,
    incarnation: `${name}-1`,
    key,
    seedPeers: seeds.map(({ router }) => router.controlAddress),
    heartbeatMs: HEARTBEAT_MS,
    livenessMs: LIVENESS_MS,
    clock: () => performance.now(),
    log: { ...SILENT_LOG, info: (line) => logLines.push(line) },
    tasks,
    hooks: {
      collectOffers: (names) => Promise.resolve(names.map(() => [])),
      onChats: () => {},
      onHeartbeat: (heartbeat) => heartbeats.push(heartbeat),
      onRequest: (method, params) => {
        requests.push([method, params]);
        return Promise.resolve({ text: `of ${name}` });
      },
      onBytes: () => {},
      getConfigurationStatus: () => ({
        version,
        routersVersion: 0,
        routersInForceMs: 0,
      }),
    },
  });
  await peers.open();
  const peer = { peers, relay, heartbeats, requests, logLines, router };
  startedPeers.push(peer);
  return peer;
}

const call = { method: "config.read", params: { after: 3 }, timeoutMs: 1_000 };

function isConnected(one: Peer, two: Peer): boolean {
  return one.peers.connectedPeers().includes(two.router.name) &&
    two.peers.connectedPeers().includes(one.router.name);
}

test("peers receive each other's versions and answer requests", async () => {
  const one = await start("r1", { version: 4 });
  const two = await start("r2", { version: 7, seeds: [one] });
  await until(() => one.heartbeats.length > 2 && two.heartbeats.length > 2);
  expect(one.peers.status()).toEqual([{ name: "r2", live: true, version: 7 }]);
  expect(two.peers.status()).toEqual([{ name: "r1", live: true, version: 4 }]);
  expect(await one.peers.request("r2", call)).toEqual({ text: "of r2" });
  expect(two.requests).toEqual([["config.read", { after: 3 }]]);
  expect(await one.peers.request("r9", call)).toBeUndefined();
});

test("a router with another fleet key exchanges no messages", async () => {
  const one = await start("r1");
  const unauthorized = await start("r2", { key: "another key", seeds: [one] });
  await until(() => one.relay.getStats().connections > 3);
  for (const { peers, heartbeats, requests, logLines } of [one, unauthorized]) {
    expect([logLines, heartbeats, requests]).toEqual([[], [], []]);
    expect(peers.isLive("r1") && peers.isLive("r2")).toBe(false);
  }
});

test("a server that accepts any key but can't prove its own is not a peer", async () => {
  let helloCount = 0;
  const server = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.on("data", (data) => {
      const { id, method } = JSON.parse(data.toString());
      const welcome = { name: "r1", nonce: "00", proof: "0".repeat(64) };
      const result = method === "hello" ? welcome : true;
      helloCount += method === "hello" ? 1 : 0;
      socket.write(`${JSON.stringify({ jsonrpc: "2.0", id, result })}\n`);
    });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const controlAddress = `127.0.0.1:${port}`;
  const router = { ...createRouter("r1"), controlAddress };
  const two = await start("r0");
  two.peers.setRouters([router, two.router]);
  // After each failed handshake the address is dialed again.
  await until(() => helloCount > 3);
  expect([two.logLines, two.heartbeats]).toEqual([[], []]);
  server.close();
});

const connectionFaults: Record<string, (relay: Relay) => Promise<unknown>> = {
  "cut": async (relay) => {
    await relay.setFaults({ cut: true });
    await relay.setFaults({ cut: false });
  },
  "silent": (relay) => relay.setFaults({ silence: true }),
};

test.each(Object.keys(connectionFaults))(
  "a connection that is %s is replaced by a new one",
  async (name) => {
    const one = await start("r1");
    const two = await start("r2");
    const routers = [one.router, two.router];
    for (const { peers } of [one, two]) peers.setRouters(routers);
    await until(() => isConnected(one, two) && two.heartbeats.length > 0);
    const { connections } = two.relay.getStats();
    await connectionFaults[name]!(two.relay);
    await until(() => two.relay.getStats().connections > connections);
    const counts = [one.heartbeats.length, two.heartbeats.length];
    await until(() =>
      isConnected(one, two) && one.heartbeats.length > counts[0]! &&
      two.heartbeats.length > counts[1]!
    );
  },
);

test("a leaving router is not live although its heartbeats still arrive", async () => {
  const one = await start("r1");
  const two = await start("r2", { seeds: [one] });
  await until(() => one.peers.isLive("r2"));
  two.peers.announceLeaving([]);
  await until(() => !one.peers.isLive("r2"));
  const { length } = one.heartbeats;
  await until(() => one.heartbeats.length > length + 2);
  expect(one.peers.isLive("r2")).toBe(false);
  expect(two.peers.isLive("r2")).toBe(false);
  // It still finishes its requests, so a repeat of one must wait for it.
  expect(one.peers.getSilenceMs("r2")).toBeLessThan(Infinity);
  expect(one.peers.getSilenceMs("r9")).toBe(Infinity);
});
