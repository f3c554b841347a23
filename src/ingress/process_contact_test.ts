/** A process that is replaced while an old connection stays open here. */
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ResponseListener } from "../transport/upstream_connections.ts";
import { createUpstreamConnections } from "../transport/upstream_connections.ts";
import type { UpstreamEntry } from "../routing/types.ts";
import { checkProcess, ProcessChecks } from "./process_check.ts";

const ENTRY: UpstreamEntry = {
  id: "up",
  service: "engine",
  address: "",
  failureDomain: "east",
  slots: 4,
  state: "ready",
  coldLeftMs: 0,
  softwareVersion: "v1",
  bornAt: 7,
};
const sockets: Socket[] = [];

/** A process whose listener can end while its connections stay. */
async function listen(bornAt: number, port = 0): Promise<Server> {
  const body = JSON.stringify({ born: bornAt });
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`;
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("data", () => socket.write(head + body));
    socket.on("error", () => {});
  });
  server.listen(port, "127.0.0.1");
  await once(server, "listening");
  return server;
}

// Guards against a host that loses power, and against a router that stood still:
// an old connection counts as open for a while, and the answers of the process
// that has started there since arrive on new ones (ORDER).
test("a connection that stayed open does not prove what answers on a new one", async () => {
  const before = await listen(7);
  const { port } = before.address() as AddressInfo;
  const entry = { ...ENTRY, address: `127.0.0.1:${port}` };
  const clock = () => performance.now();
  const connections = createUpstreamConnections({ clock });
  const processes = new ProcessChecks({
    connections,
    clock,
    getViewAgeMs: () => 0,
  });
  await processes.ask(entry.address);
  expect(processes.isProven(entry)).toBe(true);
  before.close();
  const after = await listen(8, port);
  const text = await new Promise<string>((resolve) => {
    const chunks: Buffer[] = [];
    connections.send({
      address: entry.address,
      method: "POST",
      path: "/",
      headers: [],
      body: undefined,
      // Idle for too long, as after some seconds.
      maxIdleMs: -1,
    }, {
      onHead: () => {},
      onData: (chunk) => chunks.push(chunk),
      onEnd: () => resolve(Buffer.concat(chunks).toString()),
      onFailure: (_, detail) => resolve(detail),
    });
  });
  const isProven = processes.isProven(entry);
  await connections.close();
  for (const socket of sockets) socket.destroy();
  after.close();
  expect(text).toBe('{"born":8}');
  expect(isProven).toBe(false);
});

// Guards against an engine that answers its report with an error: what is not
// stated is no proof that the process is the one that stated its start before.
test("an error in place of a report is not the process of an entry", async () => {
  const options = {
    connections: {
      isOpenSince: () => false,
      send: (_: unknown, listener: ResponseListener) => {
        setImmediate(() => {
          listener.onHead(503, {});
          listener.onEnd();
        });
        return { isReused: false, cancel() {}, pause() {}, resume() {} };
      },
    },
  };
  expect(await checkProcess({ ...ENTRY, address: "10.0.0.1:80" }, options))
    .not.toBe("same");
});
