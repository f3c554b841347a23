import { Buffer } from "node:buffer";
import { createSocket } from "node:dgram";
import { once } from "node:events";
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
import { parsePeerMessage, type PeerMessage } from "./peer_messages.ts";

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

/** Starts a router's exchange, which knows itself and `others`. */
async function startExchange(
  { others = {}, loads = {} }: {
    others?: Record<string, string>;
    loads?: Record<string, number>;
  } = {},
) {
  const address = await findFreeAddress();
  const warnings: Record<string, unknown>[] = [];
  const routers = new Map([["self", address], ...Object.entries(others)]);
  const keeper: SharedRoutingState = {
    routers: () => routers,
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
    plan: new RelayPlan({
      self: "self",
      hash: await loadHash(),
      staleMs: 500,
    }),
    keeper,
    getOwnLoads: () => loads,
    peerLoads: new PeerLoads(),
    askMs: 100,
    staleMs: 500,
  });
  await exchange.open();
  return { address, exchange, warnings };
}

async function until(isDone: () => boolean): Promise<void> {
  const deadline = Date.now() + 5_000;
  while (!isDone()) {
    expect(Date.now()).toBeLessThan(deadline);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

// Guards against the same, at the socket: an error there ends the process.
test("a router goes on after it has received bytes that are no message", async () => {
  const { address, exchange, warnings } = await startExchange();
  const socket = createSocket("udp4");
  try {
    const { host, port } = parseAddress(address);
    socket.send("no json", port, host);
    socket.send("null", port, host);
    await until(() => warnings.at(-1)?.["count"] === 2);
  } finally {
    socket.close();
    exchange.close();
  }
});

// Guards against loads that no router accepts, for each upstream of the fleet.
test.each(["constructor", "__proto__", "toString"])(
  "the loads of an upstream with the id %s are a valid message",
  async (id) => {
    const socket = createSocket("udp4");
    const answers: PeerMessage[] = [];
    let invalidCount = 0;
    socket.on("message", (bytes) => {
      const message = parsePeerMessage(bytes);
      if (message === undefined) invalidCount++;
      else answers.push(message);
    });
    socket.bind(0, "127.0.0.1");
    await once(socket, "listening");
    const { address, exchange } = await startExchange({
      others: { other: `127.0.0.1:${socket.address().port}` },
      loads: Object.fromEntries([[id, 1]]),
    });
    try {
      const params = { router: "other", sequence: 1, counts: {} };
      const ask = { jsonrpc: "2.0", id: 1, method: "ask", params };
      const { host, port } = parseAddress(address);
      socket.send(JSON.stringify(ask), port, host);
      await until(() => invalidCount + answers.length > 0);
      expect(answers).toEqual([
        expect.objectContaining({
          kind: "answer",
          answer: {
            loads: expect.objectContaining({
              counts: Object.fromEntries([[id, 1]]),
            }),
          },
        }),
      ]);
    } finally {
      socket.close();
      exchange.close();
    }
  },
);
