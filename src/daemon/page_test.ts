import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { SILENT_LOG } from "../log.ts";
import { type Page, sendPage } from "./page.ts";

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
