import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type ChildProcess, spawn } from "node:child_process";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import process from "node:process";
import {
  createUpstreamConnections,
  type UpstreamConnections,
} from "./upstream_connections.ts";

interface Upstream {
  readonly address: string;
  readonly connections: number;
  close(): void;
}

/** Starts a server that calls `respond` for each chunk it receives. */
async function startUpstream(
  respond: (socket: Socket, count: number) => void,
): Promise<Upstream> {
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer((socket) => {
    connections++;
    sockets.add(socket);
    let count = 0;
    socket.on("data", () => respond(socket, ++count));
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    get connections() {
      return connections;
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

function send(
  connections: UpstreamConnections,
  address: string,
  { isFresh = false, headers = [] }: {
    isFresh?: boolean;
    headers?: string[];
  } = {},
) {
  return new Promise<string>((resolve) => {
    const chunks: Buffer[] = [];
    connections.send({
      address,
      method: "GET",
      path: "/",
      headers,
      body: undefined,
      maxIdleMs: 1_000,
      isFresh,
    }, {
      onHead: (status) => chunks.push(Buffer.from(`${status} `)),
      onData: (chunk) => chunks.push(Buffer.from(chunk)),
      onEnd: () => resolve(Buffer.concat(chunks).toString()),
      onFailure: (failure, detail) => resolve(`${failure}: ${detail}`),
    });
  });
}

async function withUpstream(
  respond: (socket: Socket, count: number) => void,
  check: (
    upstream: Upstream,
    connections: UpstreamConnections,
  ) => Promise<void>,
): Promise<void> {
  const upstream = await startUpstream(respond);
  const connections = createUpstreamConnections({
    clock: () => performance.now(),
  });
  try {
    await check(upstream, connections);
  } finally {
    await connections.close();
    upstream.close();
  }
}

const COMPLETE_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const CLOSE_DELIMITED_RESPONSE = "HTTP/1.1 200 OK\r\n\r\npart";

test("a response without a length is incomplete if the connection is reset", async () => {
  await withUpstream((socket) => {
    socket.write(CLOSE_DELIMITED_RESPONSE);
    setTimeout(() => socket.resetAndDestroy(), 20);
  }, async ({ address }, connections) => {
    expect(await send(connections, address)).toBe(
      "broken: the connection was reset",
    );
  });
});

const RESET_RESPONSES = 50;

// Guards against a response without a length that was cut off by a reset and
// passes for a whole one, since the reset was there when its last bytes were
// read: the end of the stream is reported then, and no error.
test("a response without a length is incomplete if the reset comes with its last bytes", async () => {
  await withUpstream((socket) => {
    socket.write(CLOSE_DELIMITED_RESPONSE);
    socket.resetAndDestroy();
  }, async ({ address }, connections) => {
    const results = new Set<string>();
    for (let request = 0; request < RESET_RESPONSES; request++) {
      results.add(await send(connections, address));
    }
    expect([...results]).toEqual(["broken: the connection was reset"]);
  });
});

test("a response without a length is complete if the connection is closed", async () => {
  await withUpstream(
    (socket) => void socket.end(CLOSE_DELIMITED_RESPONSE),
    async ({ address }, connections) => {
      expect(await send(connections, address)).toBe("200 part");
    },
  );
});

test("a connection is reused unless it received bytes that belong to no request", async () => {
  await withUpstream((socket, count) => {
    socket.write(
      count === 2 ? COMPLETE_RESPONSE + COMPLETE_RESPONSE : COMPLETE_RESPONSE,
    );
  }, async (upstream, connections) => {
    for (let request = 0; request < 3; request++) {
      expect(await send(connections, upstream.address)).toBe("200 ok");
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    expect(upstream.connections).toBe(2);
  });
});

// Guards against a second try of a request on the connection of the first, where
// a late copy of the first answer has the id of the request.
test("a request that needs a new connection gets one, which others reuse", async () => {
  await withUpstream(
    (socket) => void socket.write(COMPLETE_RESPONSE),
    async (upstream, connections) => {
      for (const isFresh of [false, true, false, false]) {
        await send(connections, upstream.address, { isFresh });
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      expect(upstream.connections).toBe(2);
    },
  );
});

test("a request is reported as not sent if no connection can be opened", async () => {
  const upstream = await startUpstream(() => {});
  upstream.close();
  const connections = createUpstreamConnections({
    clock: () => performance.now(),
  });
  expect(await send(connections, upstream.address)).toMatch(/^not-sent: /);
  await connections.close();
});

// Guards against 500 for requests to an upstream whose entry has a bad address.
test.each([
  "10.0.0.1:99999",
  "999.0.0.1:80",
  "127.0.0.1:0",
  "nowhere",
])("a request to %s is reported as not sent", async (address) => {
  const connections = createUpstreamConnections({
    clock: () => performance.now(),
  });
  expect(await send(connections, address)).toMatch(/^not-sent: /);
  expect(await connections.isReachable(address)).toBe(false);
  expect(await connections.isRefusing(address)).toBeDefined();
  await connections.close();
});

test("a request with a header that can't be sent is reported as not sent", async () => {
  const connections = createUpstreamConnections({
    clock: () => performance.now(),
  });
  const header = ["x-name", "a\r\nb"];
  expect(await send(connections, "127.0.0.1:9", { headers: header })).toMatch(
    /^not-sent: /,
  );
  await connections.close();
});

/** Listens with a short queue of connections and accepts none of them. */
const DEAF_SERVER = `require("node:net").createServer()
  .listen({ port: 0, host: "127.0.0.1", backlog: 1 }, function () {
    console.log(this.address().port);
    process.kill(process.pid, "SIGSTOP");
  });`;
/** More than the queue of the server holds. */
const QUEUED_CONNECTIONS = 4;

/** Starts a server to which further connections can't be established. */
async function startDeafServer(): Promise<
  { address: string; child: ChildProcess; sockets: Socket[] }
> {
  const child = spawn(process.execPath, ["-e", DEAF_SERVER]);
  const [chunk] = await once(child.stdout, "data");
  const port = Number(String(chunk));
  const sockets = Array.from({ length: QUEUED_CONNECTIONS }, () => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    return socket;
  });
  await new Promise((resolve) => setTimeout(resolve, 100));
  return { address: `127.0.0.1:${port}`, child, sockets };
}

test("a connection that is not established in time is given up", async () => {
  const { address, child, sockets } = await startDeafServer();
  const connections = createUpstreamConnections({
    clock: () => performance.now(),
    connectTimeoutMs: 200,
  });
  const startedAt = performance.now();
  expect(await send(connections, address)).toMatch(/^not-sent: /);
  expect(performance.now() - startedAt).toBeLessThan(400);
  await connections.close();
  for (const socket of sockets) socket.destroy();
  child.kill("SIGKILL");
});

test("an idle connection tells since when the process has run", async () => {
  await withUpstream(
    (socket) => void socket.write(COMPLETE_RESPONSE),
    async ({ address }, connections) => {
      expect(connections.isOpenSince(address, performance.now())).toBe(false);
      const before = performance.now();
      await send(connections, address);
      await new Promise((resolve) => setTimeout(resolve, 20));
      expect(connections.isOpenSince(address, before)).toBe(false);
      expect(connections.isOpenSince(address, performance.now())).toBe(true);
      connections.closeIdle(address);
      expect(connections.isOpenSince(address, performance.now())).toBe(false);
    },
  );
});

/** Sends the head of a response without a length, and then `parts`. */
function sendParts(socket: Socket, parts: readonly string[]): void {
  socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
  for (const part of parts) {
    socket.write(`${part.length.toString(16)}\r\n${part}\r\n`);
  }
  socket.write("0\r\n\r\n");
}

test("a response in many small parts with enough content passes", async () => {
  const parts = Array<string>(20_000).fill("id: 100\ndata: ab\n\n");
  await withUpstream(
    (socket) => sendParts(socket, parts),
    async ({ address }, connections) => {
      const answer = await send(connections, address);
      expect(answer === `200 ${parts.join("")}`).toBe(true);
    },
  );
});

test("one response in many parts leaves the next on its connection its own", async () => {
  const parts = Array<string>(900).fill("a");
  await withUpstream(
    (socket) => sendParts(socket, parts),
    async (upstream, connections) => {
      for (let count = 0; count < 5; count++) {
        const answer = await send(connections, upstream.address);
        expect(answer).toBe(`200 ${"a".repeat(900)}`);
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
      expect(upstream.connections).toBe(1);
    },
  );
});

// Guards against fields that the parser goes on with, and fails at each, after
// the head has become too large (FAULT).
test.each([["a: b\r\n".repeat(50_000)], [`a: ${"b".repeat(17_000)}\r\n`]])(
  "a head that is too large ends the response",
  async (fields) => {
    await withUpstream(
      (socket) => {
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 0\r\n${fields}\r\n`);
      },
      async ({ address }, connections) => {
        const startedAt = performance.now();
        expect(await send(connections, address)).toMatch(/^excess: /);
        expect(performance.now() - startedAt).toBeLessThan(200);
      },
    );
  },
);
