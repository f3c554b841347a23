import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { gzipSync } from "node:zlib";
import { fetchConfiguration } from "./configuration_relay.ts";

const UNPACKED_BYTES = 60_000_000;

// Guards against a small answer that fills the heap once it is unpacked.
test("a configuration that unpacks to too many bytes is not parsed", async () => {
  const text = JSON.stringify({ version: 1, more: "a".repeat(UNPACKED_BYTES) });
  const body = JSON.stringify({ gzip: gzipSync(text).toString("base64") });
  const server = createServer((_request, response) => response.end(body));
  await once(server.listen(0, "127.0.0.1"), "listening");
  const { port } = server.address() as AddressInfo;
  const answer = await fetchConfiguration(`127.0.0.1:${port}`);
  server.close();
  expect(String(answer.val)).toMatch(
    /invalid configuration from .*larger than 8388608 bytes/,
  );
});
