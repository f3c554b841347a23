import { Buffer } from "node:buffer";
import { createSocket } from "node:dgram";
import { findFreeAddress } from "../../testing/free_address.ts";
import { createLogFactory } from "../log.ts";
import { PeerLoads } from "../policy/peer_loads.ts";
import { RelayPlan } from "../policy/relay_plan.ts";
import { loadHash } from "../policy/rendezvous.ts";
import { parseAddress } from "../transport/address.ts";
import {
  createPeerExchange,
  type SharedRoutingState,
} from "./peer_exchange.ts";
import { parsePeerMessage } from "./peer_messages.ts";

const LOADS = { router: "r", sequence: 1, counts: {} };
/** Depth at which serialization overflows the stack; fits a datagram. */
const DEPTH = 20_000;

function nest(depth: number): string {
  return "[".repeat(depth) + "]".repeat(depth);
}

function parse(text: string) {
  return parsePeerMessage(Buffer.from(text));
}

// Guards against routers that end when any program sends bytes to their port.
test.each([
  "",
  "no json",
  "null",
  "5",
  "[]",
  nest(DEPTH),
  '{"jsonrpc":"2.0","method":"ask","id":{},"params":' +
  `${JSON.stringify(LOADS)}}`,
  `{"jsonrpc":"2.0","method":"ask","id":${nest(DEPTH)},"params":` +
  `${JSON.stringify(LOADS)}}`,
])("bytes that are no message are invalid (%#)", (text) => {
  expect(parse(text)).toBeUndefined();
});

// Guards against the same, at the socket: an error there ends the process.
test("a router answers after it has received bytes that are no message", async () => {
  const address = await findFreeAddress();
  const warnings: Record<string, unknown>[] = [];
  const hash = await loadHash();
  const keeper: SharedRoutingState = {
    routers: () => new Map([["self", address]]),
    revision: undefined,
    era: 0,
    ageAt: () => Infinity,
    getStoreUpdate: () => undefined,
    receiveStoreUpdate: () => {},
    recordMissedChanges: () => {},
  };
  const exchange = createPeerExchange({
    self: "self",
    address,
    now: () => ({ steady: performance.now(), wall: Date.now() }),
    log: createLogFactory({
      router: "self",
      level: "warn",
      write: (line) => warnings.push(JSON.parse(line)),
    })("peers"),
    plan: new RelayPlan({ self: "self", hash, staleMs: 500 }),
    keeper,
    getOwnLoads: () => ({}),
    peerLoads: new PeerLoads(),
    askMs: 100,
    staleMs: 500,
  });
  await exchange.open();
  const socket = createSocket("udp4");
  try {
    const { host, port } = parseAddress(address);
    socket.send("no json", port, host);
    socket.send("null", port, host);
    const deadline = Date.now() + 5_000;
    while (warnings.at(-1)?.["count"] !== 2) {
      expect(Date.now()).toBeLessThan(deadline);
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  } finally {
    socket.close();
    exchange.close();
  }
});
