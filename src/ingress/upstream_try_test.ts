/** Tests of what a try believes of answers on kept connections. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createRefusal } from "../diagnostics.ts";
import { renderProblem } from "../transport/problem.ts";
import { REFUSAL_HEADER } from "../transport/router_hop.ts";
import { createUpstreamConnections } from "../transport/upstream_connections.ts";
import type { RelayedResponse } from "./stream_relay.ts";
import { type TryResult, UpstreamTry } from "./upstream_try.ts";

/** Returns the refusal of the request `id` by a router, as it is sent. */
function createRouterRefusal(id: string): string {
  const refusal = createRefusal("no-capacity", "All are full.");
  const { status, headers, body } = renderProblem(refusal, id);
  const lines = Object.entries({ ...headers, [REFUSAL_HEADER]: refusal.code })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} X\r\n${lines.join("")}\r\n${body.toString()}`;
}

/**
 * Sends the requests "id-1", "id-2" and so on to a router, one after the other,
 * which answers them with `answers`; returns how the tries ended.
 */
async function tryRouter(answers: readonly string[]): Promise<TryResult[]> {
  const sockets = new Set<Socket>();
  let received = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("data", () => socket.write(answers[received++]!));
    socket.on("error", () => {});
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clock = () => performance.now();
  const connections = createUpstreamConnections({ clock });
  const results: TryResult[] = [];
  for (let count = 1; count <= answers.length; count++) {
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
      requestId: `id-${count}`,
      isRepeatable: false,
      relay: {} as RelayedResponse,
      router: { lifeSignTimeoutMs: 1_000 },
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
    results.push(await attempt.result);
    // The connection becomes idle after this turn of the event loop.
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  await connections.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  return results;
}

// Guards against a late copy of a router's refusal that makes the next request
// on the connection "not run" (REFUSED).
test("a refusal of a router is believed only for the request that it names", async () => {
  const [own, next, copy] = await tryRouter([
    createRouterRefusal("id-1"),
    createRouterRefusal("id-2"),
    createRouterRefusal("id-2"),
  ]);
  expect([own?.kind, next?.kind]).toEqual(["router-refused", "router-refused"]);
  expect(copy).toMatchObject({
    kind: "ended",
    end: "no-answer",
    detail: "the answer is for id-2",
  });
});

test("a refusal of a router without an id is believed on a new connection only", async () => {
  const refusal = createRouterRefusal("").replace("x-request-id: \r\n", "");
  const [first, second] = await tryRouter([refusal, refusal]);
  expect(first?.kind).toBe("router-refused");
  expect(second).toMatchObject({ kind: "ended", end: "no-answer" });
});
