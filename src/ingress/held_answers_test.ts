/** How a try ends whose answer takes the memory that is held for all. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { HEADERS } from "../platform/names.ts";
import { MemoryBudget } from "../policy/memory_budget.ts";
import { createUpstreamConnections } from "../transport/upstream_connections.ts";
import type { RelayedResponse } from "./stream_relay.ts";
import { type TryResult, UpstreamTry } from "./upstream_try.ts";

const LIMIT_BYTES = 1_000_000;

/**
 * Tries a request whose answer has `framing` and a body of `bodyBytes`, while
 * `otherBytes` are held for an answer of another upstream.
 */
async function tryLarge(
  { framing, bodyBytes, otherBytes = 0, isRouter = false }: {
    framing: string;
    bodyBytes: number;
    otherBytes?: number;
    isRouter?: boolean;
  },
): Promise<{ result: TryResult; isOtherHeld: boolean; heldBytes: number }> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(
        `HTTP/1.1 200 OK\r\n${HEADERS.requestId}: id-1\r\n` +
          `${HEADERS.signature}: s\r\n${framing}\r\n\r\n`,
      );
      socket.end("b".repeat(bodyBytes));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clock = () => performance.now();
  const connections = createUpstreamConnections({ clock });
  const budget = new MemoryBudget({ limitBytes: LIMIT_BYTES });
  let isOtherHeld = true;
  const other = budget.open({
    kind: "answer",
    source: "other",
    onEvict: () => isOtherHeld = false,
  });
  other.resize(otherBytes);
  const attempt = new UpstreamTry({
    connections,
    clock,
    memory: { budget, source: "a" },
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
    relay: {} as RelayedResponse,
    ...(isRouter && { router: { lifeSignTimeoutMs: 1_000 } }),
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
  if (isOtherHeld) other.close();
  const { heldBytes } = budget;
  await connections.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  return { result, isOtherHeld, heldBytes };
}

// Guards against a faulty upstream, or a router in front of it, that fills the
// memory of all (FAULT).
test.each([false, true])(
  "an answer without a length that takes all is given up, from a router: %s",
  async (isRouter) => {
    const framing = "connection: close";
    const tried = { framing, bodyBytes: 3_000_000, isRouter };
    const { result, heldBytes } = await tryLarge(tried);
    expect(result).toMatchObject({
      kind: "ended",
      end: "no-answer",
      isExcess: true,
      isGivenUp: true,
    });
    expect(heldBytes).toBe(0);
  },
);

// Guards against sound upstreams that are avoided since another has filled the
// memory (FAULT).
test("an answer of a known length that doesn't fit isn't held against its upstream", async () => {
  const bodyBytes = 3_000_000;
  const framing = `content-length: ${bodyBytes}`;
  const { result } = await tryLarge({ framing, bodyBytes });
  expect(result).toMatchObject({ isExcess: false, isGivenUp: true });
});

test("the answer of the upstream that holds most is given up for another", async () => {
  const bodyBytes = 300_000;
  const framing = `content-length: ${bodyBytes}`;
  const otherBytes = 900_000;
  const tried = { framing, bodyBytes, otherBytes };
  const { result, isOtherHeld, heldBytes } = await tryLarge(tried);
  expect(isOtherHeld).toBe(false);
  expect(result.kind).toBe("answered");
  expect(heldBytes).toBe(0);
});

// Guards against a sound answer that is given up when it is whole, since its
// copy does not fit (FAULT).
test("an answer that is whole is not given up for its copy", async () => {
  const bodyBytes = 800_000;
  const framing = `content-length: ${bodyBytes}`;
  const { result, heldBytes } = await tryLarge({ framing, bodyBytes });
  expect(result.kind).toBe("answered");
  expect(heldBytes).toBe(0);
});
