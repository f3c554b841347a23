import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { createHttpJsonClient } from "./http_json.ts";

const PART_BYTES = 65_536;
const MAX_RESPONSE_BYTES = 8_388_608;
/** What the sockets on both sides buffer beyond that. */
const SOCKET_BUFFER_BYTES = 8_388_608;

let server: Server;
let writtenBytes = 0;

afterEach(() => server.close());

/** Answers each connection without end, with a text in chunks. */
async function listen(): Promise<string> {
  const part = `${PART_BYTES.toString(16)}\r\n${" ".repeat(PART_BYTES)}\r\n`;
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    function write(): void {
      while (!socket.destroyed) {
        writtenBytes += PART_BYTES;
        if (!socket.write(part)) break;
      }
    }
    socket.on("drain", write);
    write();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against an answer of the store that exhausts the heap.
test("an answer without end is given up before the heap is full", async () => {
  const client = createHttpJsonClient({ address: await listen() });
  const answer = await client.call("/x", { method: "GET" });
  expect(answer.err && answer.val.message).toBe("response is too large");
  await client.close();
  expect(writtenBytes).toBeLessThan(MAX_RESPONSE_BYTES + SOCKET_BUFFER_BYTES);
});
