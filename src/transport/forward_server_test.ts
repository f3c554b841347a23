import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { SILENT_LOG } from "../log.ts";
import { createInFlightCounter } from "./in_flight.ts";
import { createForwardHandler } from "./forward_server.ts";

let server: Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

test("a request without the fleet's token is refused and reported as not run", async () => {
  const handle = jest.fn();
  server = createServer(createForwardHandler({
    chain: { handle },
    limits: {
      maxBodyBytes: 1,
      headerTimeoutMs: 1_000,
      requestTimeoutMs: 1_000,
      maxConnections: 1,
    },
    clock: () => 0,
    log: SILENT_LOG,
    token: "token-of-this-fleet",
    inFlight: createInFlightCounter(),
    findService: () => undefined,
    findWorkspace: () => undefined,
  }));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  const response = await request(`http://127.0.0.1:${port}/bookings`, {
    headers: { "x-cf-token": "token-of-another" },
  });
  expect(response.statusCode).toBe(403);
  expect(response.headers["x-cf-refusal"]).toBe("no-owner");
  expect(await response.body.json()).toMatchObject({ ran: "no" });
  expect(handle).not.toHaveBeenCalled();
});
