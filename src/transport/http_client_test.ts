/** Responses without a length that are cut, as the project's own fleet reads them. */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createHttpClient } from "./http_client.ts";

function createHead(status: string): string {
  return `HTTP/1.1 ${status} X\r\nconnection: close\r\n\r\n`;
}

/** Time in which the bytes before a reset are read, in milliseconds. */
const RESET_AFTER_MS = 40;
const ROUNDS = 8;
/** More than the sockets on both sides buffer. */
const BODY_BYTES = 8_388_608;

/** Reads a response, and returns its body or that it broke off. */
async function read(
  end: (socket: Socket) => void,
  { status = "200", body }: { status?: string; body?: Buffer } = {},
): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.write(`${createHead(status)}part`);
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
      method: body === undefined ? "GET" : "POST",
      path: "/",
      headers: {},
      body,
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

// Guards against a part of an answer that counts as the whole, since the reset of
// its connection is taken for its end (MIXED).
test("a response without a length that is reset after its bytes is broken off", async () => {
  const end = (socket: Socket) =>
    void setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
  expect(await read(end)).toBe("broken off");
});

// Guards against the same while an upload is still being written.
test.each([0, 3, RESET_AFTER_MS])(
  "an early response to an upload that is reset after %d ms is broken off",
  async (resetAfterMs) => {
    const body = Buffer.alloc(BODY_BYTES);
    const end = (socket: Socket) =>
      void setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
    const texts = new Set<string>();
    for (let round = 0; round < ROUNDS; round++) {
      texts.add(await read(end, { body }));
    }
    expect([...texts]).toEqual(["broken off"]);
  },
);

// Guards against an answer with a status that HTTP doesn't have, such as that of
// an upstream in trouble, which callers get as an answer (MIXED).
test.each(["000", "099", "600", "999"])(
  "a response with status %s is a failure",
  async (status) => {
    expect(await read((socket) => socket.end(), { status })).toBe("broken off");
  },
);

// Guards against a part of an answer of a plain service that callers of the
// project's own fleet get as the whole (MIXED).
test("a response without a length that is reset with its last bytes is broken off", async () => {
  const texts = new Set<string>();
  for (let round = 0; round < ROUNDS; round++) {
    texts.add(await read((socket) => socket.resetAndDestroy()));
  }
  expect([...texts]).toEqual(["broken off"]);
});
