import { appendFileSync, writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
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

// Guards against settings that are being written ending the start.
test.each(["", "[router]\nname = r1\nfailure_d", "[router]\nname = r1\n"])(
  "a router reads settings again that are cut off, %j",
  async (beginning) => {
    router.start({ settings: beginning });
    await sleep(700);
    writeFileSync(router.settingsFile, router.settings);
    await router.untilReady();
    const started = router.lines.find(({ message }) =>
      message === "daemon: The router has started."
    );
    expect(started!["settingsWaitedMs"]).toBeGreaterThan(0);
    expect(started!["startMs"]).toBeGreaterThan(0);
  },
);

test("a stop while a router waits for its settings ends it with code 0", async () => {
  router.start({ settings: "" });
  await sleep(1_000);
  router.child.kill("SIGTERM");
  expect(await router.untilExit()).toEqual([0, null]);
});

test("settings that stay empty end the start with code 2", async () => {
  router.start({ settings: "" });
  expect(await router.untilExit()).toEqual([2, null]);
  expect(router.text).toContain("router.ini:\nthe file is empty");
});

// Guards against a reload that takes a half-written file for the settings.
test("a reload reads a half-written file again and keeps the settings", async () => {
  router.start();
  await router.untilReady();
  const text = router.settings + "retry_slack = 17\n";
  writeFileSync(router.settingsFile, text.slice(0, -2));
  router.child.kill("SIGHUP");
  writeFileSync(router.settingsFile, "");
  router.child.kill("SIGHUP");
  await sleep(300);
  expect(router.text).not.toContain('"retrySlack":1,');
  writeFileSync(router.settingsFile, text);
  await router.untilLogged('"retrySlack":17');
  expect(router.text).not.toContain("settings are invalid");
});

/** Throws as many errors as the file named by the process has bytes. */
const THROW_ON_DEMAND = `
const { readFileSync } = require("node:fs");
const file = process.env.CORIANDERFLOW_SETTINGS + ".errors";
let thrown = 0;
setInterval(() => {
  let wanted = 0;
  try { wanted = readFileSync(file).length; } catch {}
  for (; thrown < wanted; thrown++) {
    if (thrown % 2 === 0) setImmediate(() => { throw new Error("fault of a test"); });
    else Promise.reject(new Error("fault of a test"));
  }
}, 20).unref();
`;

// Guards against an error of one request ending those of all callers.
test("a router goes on after errors that nothing handled, and stops after many", async () => {
  router.start({ preload: THROW_ON_DEMAND });
  await router.untilReady();
  const errors = router.settingsFile + ".errors";
  appendFileSync(errors, "xx");
  await router.until(() => countLines("An error was not handled.") === 2);
  const line = router.lines.find(({ message }) =>
    message.includes("An error was not handled.")
  );
  expect(line!["stack"]).toMatch(/Error: fault of a test\n +at /);
  expect(await router.getStatus("callers", "/none/")).toBe(404);
  const metrics = await fetch(`http://${router.addresses.metrics}/metrics`);
  expect(await metrics.text()).toMatch(
    /^corianderflow_unhandled_errors_total 2$/m,
  );
  appendFileSync(errors, "x".repeat(18));
  expect(await router.untilExit()).toEqual([1, null]);
  expect(router.text).toContain("The router has stopped.");
});

test("an error that nothing handled ends a start with its stack and code 1", async () => {
  router.start({
    settings: "",
    preload: 'setTimeout(() => { throw new Error("fault of a test"); }, 900);',
  });
  expect(await router.untilExit()).toEqual([1, null]);
  expect(router.text).toMatch(/cannot start: Error: fault of a test\n +at /);
});

// Guards against the fleet with pool owners following another rule.
test("a router of a fleet with pool owners waits for its port and outlives its log and SIGHUP", async () => {
  await takePort("callers");
  router.start({ settings: router.poolSettings });
  await router.untilLogged(TAKEN);
  freePort();
  await router.untilLogged('{"listening":');
  router.child.kill("SIGHUP");
  router.child.kill("SIGUSR2");
  await router.until(() => countLines("A signal is ignored.") === 2);
  router.child.stdout!.destroy();
  router.child.stderr!.destroy();
  router.child.kill("SIGHUP");
  await sleep(100);
  router.child.kill("SIGHUP");
  await sleep(100);
  expect(await router.getStatus("callers", "/healthz")).toBe(200);
  const status = await router.getStatus("callers", "/metrics");
  expect(status).toBe(200);
  router.child.kill("SIGTERM");
  expect(await router.untilExit()).toEqual([0, null]);
});

test("a stop while a router of that fleet waits for a port ends it with code 0", async () => {
  await takePort("callers");
  router.start({ settings: router.poolSettings });
  await router.untilLogged(TAKEN);
  router.child.kill("SIGTERM");
  expect(await router.untilExit()).toEqual([0, null]);
});
