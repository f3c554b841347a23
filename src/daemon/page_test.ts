import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { SILENT_LOG } from "../log.ts";
import { createPageServer, type Page, sendPage } from "./page.ts";

let server: Server;

afterEach(() => server.close());

async function serve(render: () => Promise<Page>): Promise<string> {
  server = createServer((_request, response) => {
    void sendPage(response, { render, log: SILENT_LOG });
  });
  await once(server.listen(0, "127.0.0.1"), "listening");
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
}

// Guards against a page that fails ending the router.
test("a page that can't be rendered is answered with 500", async () => {
  const url = await serve(() => Promise.reject(new Error("a bad gauge")));
  expect((await fetch(url)).status).toBe(500);
});

// Guards against bodies without end that take the thread from the callers.
test("a request for a page with a body is answered and closed", async () => {
  server = createPageServer((_request, response) => response.end("page"));
  await once(server.listen(0, "127.0.0.1"), "listening");
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  let text = "";
  socket.on("data", (chunk) => text += String(chunk));
  socket.on("error", () => {});
  socket.write(
    "GET / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
  );
  const timer = setInterval(() => socket.write("1\r\nb\r\n"), 5);
  await once(socket, "close");
  clearInterval(timer);
  expect(text).toContain("200 OK");
});
