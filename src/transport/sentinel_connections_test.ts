/** Tests of connections that show whether a process still runs. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { SentinelConnections } from "./sentinel_connections.ts";

const MAX_AGE_MS = 300;
/** Exceeds the time in which a connection is opened or replaced. */
const SETTLED_MS = 150;
/** Exceeds the age, the interval between checks, and the time to replace it. */
const REPLACED_MS = 1_700;

/** A process that listens, and can end and start again. */
class Process {
  readonly sockets = new Set<Socket>();
  readonly #server = createServer((socket) => {
    this.opened++;
    this.sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => this.sockets.delete(socket));
  });
  opened = 0;
  #port = 0;

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  async start(): Promise<void> {
    this.#server.listen(this.#port, "127.0.0.1");
    await once(this.#server, "listening");
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  end(): void {
    this.#server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

let upstream: Process;
let sentinels: SentinelConnections;
const clock = () => performance.now();

beforeEach(async () => {
  upstream = new Process();
  await upstream.start();
  sentinels = new SentinelConnections({
    clock,
    onOpen: () => {},
    connectTimeoutMs: 400,
    maxAgeMs: MAX_AGE_MS,
    lingerMs: MAX_AGE_MS,
  });
});

afterEach(() => {
  sentinels.close();
  upstream.end();
});

test("a process that was replaced is not the one of before", async () => {
  sentinels.hold(upstream.address);
  await sleep(SETTLED_MS);
  const before = clock();
  expect(sentinels.isOpenSince(upstream.address, before)).toBe(true);
  upstream.end();
  await upstream.start();
  await sleep(SETTLED_MS);
  expect(sentinels.isOpenSince(upstream.address, before)).toBe(false);
  sentinels.hold(upstream.address);
  await sleep(SETTLED_MS);
  expect(sentinels.isOpenSince(upstream.address, before)).toBe(false);
  expect(sentinels.isOpenSince(upstream.address, clock())).toBe(true);
});

// Guards against a whole answer that lasts longer than upstreams keep idle
// connections, and that nothing proves to be whole.
test("a connection that is replaced proves as much as the one before", async () => {
  const release = sentinels.hold(upstream.address);
  await sleep(SETTLED_MS);
  const before = clock();
  await sleep(REPLACED_MS);
  expect(upstream.opened).toBeGreaterThan(1);
  expect(upstream.sockets.size).toBe(1);
  expect(sentinels.isOpenSince(upstream.address, before)).toBe(true);
  release();
  await sleep(REPLACED_MS);
  expect(upstream.sockets.size).toBe(0);
  expect(sentinels.isOpenSince(upstream.address, before)).toBe(false);
});
