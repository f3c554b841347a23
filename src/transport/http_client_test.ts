/** Responses without a length that are cut, as the project's own fleet reads them. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createHttpClient } from "./http_client.ts";

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const ROUNDS = 8;

/** Reads a response, and returns its body or that it broke off. */
async function read(end: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(`${HEAD}part`);
      end(socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = createHttpClient();
  try {
    const sent = await client.send({
      address: `127.0.0.1:${port}`,
      method: "GET",
      path: "/",
      headers: {},
      body: undefined,
      firstByteTimeoutMs: 1_000,
      betweenBytesTimeoutMs: 1_000,
      signal: new AbortController().signal,
    });
    return sent.err ? "broken off" : await sent.val.body.text();
  } catch {
    // The test compares the outcome.
    return "broken off";
  } finally {
    await client.close();
    server.close();
  }
}

test("a response without a length that its server closes is read", async () => {
  expect(await read((socket) => socket.end())).toBe("part");
});

// Guards against a part of an answer of a plain service that callers of the
// project's own fleet get as the whole (MIXED).
test("a response without a length that is reset with its last bytes is broken off", async () => {
  const texts = new Set<string>();
  for (let round = 0; round < ROUNDS; round++) {
    texts.add(await read((socket) => socket.resetAndDestroy()));
  }
  expect([...texts]).toEqual(["broken off"]);
});
