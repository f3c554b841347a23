/**
 * A small deployment for a case: the routers are processes of the deploy file's
 * command, the metadata store and the runners are stand-ins in this process. All
 * addresses are loopback addresses.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { MetadataStoreServer } from "../../target/review_3/metadata_store.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
const LOOPBACK = "127.0.0.1";
export const HOST = "bookings.example";
const READY_PATH = "/corianderflow/ready";
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 30;
/** Limits of callers as `fleetbench wire` shows them. */
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Bounds of the users' small deployments. */
const BOUNDS = {
  "revocation_ms": 5_000,
  "grace_s": 8,
  "retry_ratio": 0.2,
  "retry_window_s": 10,
  "retry_slack": 52,
  "cold_factor": 1.5,
  "drain_ms": 2_000,
  "apply_ms": 2_000,
  "heartbeat_ms": 1_200,
};

async function findFreePort() {
  const server = createServer().listen(0, LOOPBACK);
  await once(server, "listening");
  const { port } = server.address();
  server.close();
  await once(server, "close");
  return port;
}

/** Reads the arguments of `node` in the deploy file. */
function readRunArguments() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "node (.*)"$/m.exec(text)[1].split(" ");
}

/** Renders the settings as the platform fills in the template. */
function renderSettings({ name, ports, storeAddress }) {
  const [callers, ready, peers, metrics] = ports;
  return [
    "[router]",
    `name = ${name}`,
    "failure_domain = zone-a",
    "link_mbps = 1000",
    "[listen]",
    `callers = ${LOOPBACK}:${callers}`,
    `ready = ${LOOPBACK}:${ready}`,
    `peers = ${LOOPBACK}:${peers}`,
    `metrics = ${LOOPBACK}:${metrics}`,
    "[store]",
    `address = ${storeAddress}`,
    "[bounds]",
    ...Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`),
    "[limits]",
    "memory_mb = 350",
    "; end of settings",
    "",
  ].join("\n");
}

/** A router process. */
class Router {
  callers = 0;
  /** How the process ended; undefined while it runs. */
  end;
  output = "";
  #child;
  #ready = 0;
  #settings = "";

  async start({ name, directory, storeAddress }) {
    const ports = [];
    while (ports.length < 4) ports.push(await findFreePort());
    [this.callers, this.#ready] = ports;
    this.#settings = join(directory, `${name}.ini`);
    const text = renderSettings({ name, ports, storeAddress });
    writeFileSync(this.#settings, text);
    return await this.run();
  }

  /** Starts the process, again after its end as the platform does. */
  async run() {
    const { PATH, HOME, LANG } = process.env;
    this.end = undefined;
    this.#child = spawn(process.execPath, readRunArguments(), {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CORIANDERFLOW_SETTINGS: this.#settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child.stdout.on("data", (text) => this.output += text);
    this.#child.stderr.on("data", (text) => this.output += text);
    this.#child.once("exit", (code, signal) => this.end = { code, signal });
    await this.#untilReady();
    return this;
  }

  async #untilReady() {
    const end = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < end && this.end === undefined) {
      try {
        const url = `http://${LOOPBACK}:${this.#ready}${READY_PATH}`;
        if ((await fetch(url)).status === 200) return;
      } catch {
        // It does not listen yet.
      }
      await sleep(POLL_MS);
    }
    throw new Error(`the router is not ready: ${this.output.slice(-500)}`);
  }

  get pid() {
    return this.#child.pid;
  }

  kill(signal) {
    if (this.end === undefined) this.#child.kill(signal);
  }

  async untilEnd() {
    if (this.end === undefined) await once(this.#child, "exit");
  }
}

/** A runner, which parses requests and leaves the bytes of answers to a script. */
class Runner {
  arrived = [];
  #sockets = new Set();
  #server;

  /** `script` receives each request: `{ id, path, headers, body, socket }`. */
  constructor({ id, script }) {
    this.id = id;
    this.script = script;
  }

  async listen() {
    this.#server = createServer((socket) => this.#serve(socket));
    this.#server.listen(0, LOOPBACK);
    await once(this.#server, "listening");
    this.address = `${LOOPBACK}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket) {
    let pending = Buffer.alloc(0);
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.once("close", () => this.#sockets.delete(socket));
    socket.on("data", (chunk) => {
      pending = Buffer.concat([pending, chunk]);
      for (;;) {
        const request = readRequest(pending);
        if (request === undefined) return;
        pending = pending.subarray(request.length);
        this.#receive({ ...request, socket });
      }
    });
  }

  #receive(request) {
    const { headers, path } = request;
    if (path === "/corianderflow/report") {
      request.socket.write(renderHead({ status: 404 }));
      return;
    }
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      request.socket.write(renderHead({ status: 421 }));
      return;
    }
    this.arrived.push(request);
    void this.script(request, this);
  }
}

function renderHead({ status }) {
  return `HTTP/1.1 ${status} X\r\nContent-Length: 0\r\n\r\n`;
}

/** Reads a request with a length; undefined while it is not whole. */
function readRequest(bytes) {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [line, ...lines] = bytes.toString("latin1", 0, end).split("\r\n");
  const headers = Object.fromEntries(lines.map((each) => {
    const colon = each.indexOf(":");
    return [each.slice(0, colon).toLowerCase(), each.slice(colon + 1).trim()];
  }));
  const start = end + 4;
  const length = start + Number(headers["content-length"] ?? 0);
  if (bytes.length < length) return undefined;
  const [method, path] = line.split(" ");
  const body = bytes.toString("utf8", start, length);
  const id = headers["x-attempt-id"] ?? "";
  return { id, method, path, headers, body, length, at: performance.now() };
}

/** The store, the runners and the routers of a case. */
export class Fleet {
  store = new MetadataStoreServer();
  runners = [];
  routers = [];
  #directory = mkdtempSync(join(tmpdir(), "corianderflow-case-"));
  #version = 1;
  #heartbeat;

  async open() {
    await this.store.open();
    this.#heartbeat = setInterval(
      () => this.#beat(),
      BOUNDS["heartbeat_ms"],
    );
    return this;
  }

  /** Writes a configuration, as the operator does. */
  putConfiguration({ routes, services, tenants }) {
    this.store.put("op/config", {
      version: this.#version++,
      routes: routes.map((route) => ({
        host: HOST,
        timeoutMs: 3_000,
        goalMs: 300,
        priority: 1,
        maxAttempts: 2,
        public: false,
        sticky: false,
        ...route,
      })),
      services,
      limits: LIMITS,
      ...(tenants !== undefined && { tenants }),
    });
  }

  async addRunner({ id, service, slots = 8, script }) {
    const runner = new Runner({ id, script });
    await runner.listen();
    const born = Date.now() - 60_000;
    this.runners.push({ runner, service, slots, born, seq: 0 });
    this.#beat();
    return runner;
  }

  async addRouter(name) {
    const router = new Router();
    this.routers.push(router);
    return await router.start({
      name,
      directory: this.#directory,
      storeAddress: this.store.address,
    });
  }

  /** Requests that reached any runner. */
  get arrived() {
    return this.runners.flatMap(({ runner }) => runner.arrived);
  }

  async close() {
    clearInterval(this.#heartbeat);
    for (const router of this.routers) router.kill("SIGKILL");
    await Promise.all(this.routers.map((router) => router.untilEnd()));
    for (const { runner } of this.runners) runner.close();
    this.store.faults.isSilent = false;
    await this.store.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Writes the entries of the runners; while the store is down, none. */
  #beat() {
    if (this.store.faults.isSilent) return;
    for (const each of this.runners) {
      const { runner, service, slots, born } = each;
      this.store.put(`servers/${runner.id}`, {
        service,
        address: runner.address,
        zone: "zone-a",
        version: "v1",
        slots,
        state: "ready",
        coldLeftMs: 0,
        seq: ++each.seq,
        born,
      });
    }
  }
}
