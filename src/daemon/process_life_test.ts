import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import type { MetadataStoreServer } from "../../testing/metadata_store.ts";
import { parseAddress } from "../transport/address.ts";
import { openStore, RouterProcess } from "./testing/router_process.ts";

let store: MetadataStoreServer;
let router: RouterProcess;
/** Hold a port of the router. */
let holders: (Server | Socket)[] = [];

beforeAll(async () => {
  store = await openStore();
});

beforeEach(async () => {
  router = await new RouterProcess(store).prepare();
});

afterEach(() => {
  router.close();
  freePort();
});

afterAll(() => store.close());

// Guards against a log collector that restarts ending the router.
test("a router whose log has no reader goes on serving and counts the lost lines", async () => {
  router.start();
  await router.untilReady();
  router.child.stdout!.destroy();
  router.child.stderr!.destroy();
  for (let request = 0; request < 5; request++) {
    expect(await router.getStatus("callers", "/none/")).toBe(404);
    router.child.kill("SIGHUP");
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  const metrics = `http://${router.addresses.metrics}/metrics`;
  await router.until(async () =>
    /^corianderflow_log_lines_dropped [1-9]/m.test(
      await (await fetch(metrics)).text(),
    )
  );
  router.child.kill("SIGTERM");
  expect(await router.untilExit()).toEqual([0, null]);
});

async function takePort(port: "callers" | "ready" | "peers" | "metrics") {
  const { host, port: number } = parseAddress(router.addresses[port]);
  const server = createServer((socket) => socket.destroy());
  server.listen(number, host);
  const socket = createSocket("udp4").bind(number, host);
  holders = [server, socket];
  await Promise.all(holders.map((holder) => once(holder, "listening")));
}

function freePort(): void {
  for (const holder of holders) holder.close();
  holders = [];
}

function countLines(message: string): number {
  return router.lines.filter((line) => line.message.includes(message)).length;
}

const TAKEN = "An address is taken and tried again.";

// Guards against a port that another process still holds ending the start.
test.each(["callers", "ready"] as const)(
  "a router waits for its port of %s",
  async (port) => {
    await takePort(port);
    router.start();
    await router.untilLogged(TAKEN);
    expect(router.lines.find(({ message }) => message.includes(TAKEN)))
      .toMatchObject({
        setting: `[listen] ${port}`,
        address: router.addresses[port],
        cause: expect.stringContaining("EADDRINUSE"),
      });
    freePort();
    await router.untilReady();
    expect(await router.getStatus("callers", "/none/")).toBe(404);
    router.child.kill("SIGTERM");
    expect(await router.untilExit()).toEqual([0, null]);
  },
);

// Guards against a port that callers don't need ending the start.
test.each(["peers", "metrics"] as const)(
  "a router serves without its port of %s and takes it when it is free",
  async (port) => {
    await takePort(port);
    router.start();
    await router.untilReady();
    expect(await router.getStatus("callers", "/none/")).toBe(404);
    freePort();
    // The peers port is one of a server and one of datagrams.
    const count = port === "peers" ? 2 : 1;
    await router.until(() =>
      countLines("An address that was taken is bound.") === count
    );
    const path = port === "peers" ? "/configuration" : "/metrics";
    expect(await router.getStatus(port, path)).toBe(200);
    router.child.kill("SIGTERM");
    expect(await router.untilExit()).toEqual([0, null]);
  },
);

test("a stop while a router waits for a port is prompt and graceful", async () => {
  await takePort("callers");
  router.start();
  await router.untilLogged(TAKEN);
  const askedAt = performance.now();
  router.child.kill("SIGTERM");
  expect(await router.untilExit()).toEqual([0, null]);
  expect(performance.now() - askedAt).toBeLessThan(1_000);
  expect(store.keys("corianderflow/routers/")).toEqual([]);
});

test("a router whose port stays taken ends with code 1 and names it", async () => {
  await takePort("callers");
  router.start();
  expect(await router.untilExit()).toEqual([1, null]);
  expect(router.text).toContain(
    `cannot start: [listen] callers = ${router.addresses.callers} is tried`,
  );
  expect(store.keys("corianderflow/routers/")).toEqual([]);
});
