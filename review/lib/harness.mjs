/**
 * What the cases share: a metadata store, scripted runners, routers that run as
 * processes with the command of the deploy file, callers that see raw bytes,
 * and a record of what was sent, answered and run.
 */
import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { MetadataStoreServer } from "../build/metadata_store.mjs";

export { sleep };

/** Whether the case plays the disruption; `TROUBLE=0` leaves it out. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
export const HOST = "classes.example";
export const API_KEY = "n2ctnfzs989anu6wsjnb";
export const TENANT = "studio";

const LOOPBACK = "127.0.0.1";
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;
const START_TIMEOUT_MS = 15_000;
/** A case that takes longer can't run. */
const MAX_CASE_MS = 110_000;
/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const FAILED = 2;

/** Processes that this case has started. */
const children = new Set();

for (const event of ["uncaughtException", "unhandledRejection"]) {
  process.on(event, (cause) => {
    process.stderr.write(`${cause?.stack ?? cause}\n`);
    process.exit(FAILED);
  });
}
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
setTimeout(() => process.exit(FAILED), MAX_CASE_MS).unref();

/** Bounds of the site file of the small deployment. */
const BOUNDS = {
  drainMs: 2000,
  graceS: 8,
  configApplyMs: 2000,
  revokeMs: 5000,
  retryRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 52,
  coldOverage: 1.5,
};
export const HEARTBEAT_MS = 1200;

function isPortFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}

const givenPorts = new Set();

/**
 * Finds a free port below the range of outgoing connections; each call returns
 * another one.
 */
export async function findFreePort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (givenPorts.has(port)) continue;
    givenPorts.add(port);
    if (await isPortFree(port)) return port;
  }
}

/** Renders a settings template as the platform does, as far as it is used. */
function render(template, fields) {
  const find = (path) =>
    path.split(".").reduce((value, name) => value?.[name], fields);
  return template
    .replace(
      /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs,
      (_, path, text) => find(path) === undefined ? "" : text,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path) ?? ""));
}

/** One line for each thing that was sent, answered or run. */
export class Record {
  #lines = [];
  #startedAt = performance.now();

  add(text) {
    const ms = Math.round(performance.now() - this.#startedAt);
    this.#lines.push(`${String(ms).padStart(7)} ms  ${text}`);
  }

  write(file) {
    writeFileSync(file, this.#lines.join("\n") + "\n");
  }
}

/** A router, started with the command of the deploy file. */
class RouterProcess {
  #child;
  lines = [];

  constructor({ name, address, readyAddress, settingsFile }) {
    this.name = name;
    this.address = address;
    this.readyAddress = readyAddress;
    this.settingsFile = settingsFile;
  }

  start() {
    const deployFile = readFileSync("deploy/system.toml", "utf8");
    const command = /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
    this.#child = spawn(command[0], command.slice(1), {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CORIANDERFLOW_SETTINGS: this.settingsFile,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const child = this.#child;
    children.add(child);
    this.exited = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        children.delete(child);
        resolve({ code, signal });
      });
    });
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      stream.setEncoding("utf8");
      stream.on("data", (text) => this.lines.push(text));
    }
  }

  /** Leaves what the router writes in the pipe, as a stalled reader does. */
  stopReadingLogs() {
    this.#child.stdout.pause();
  }

  /** Sends a signal, only to the process that this case started. */
  signal(name) {
    this.#child.kill(name);
  }

  get pid() {
    return this.#child.pid;
  }

  get isRunning() {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  async untilReady() {
    const until = performance.now() + START_TIMEOUT_MS;
    while (performance.now() < until) {
      try {
        const url = `http://${this.readyAddress}/corianderflow/ready`;
        if ((await fetch(url)).status === 200) return;
      } catch {
        // It does not listen yet.
      }
      await sleep(50);
    }
    throw new Error(`${this.name} is not ready: ${this.lines.join("")}`);
  }
}

/** Splits the bytes of one connection into requests. */
class RequestReader {
  #pending = Buffer.alloc(0);

  push(chunk) {
    this.#pending = Buffer.concat([this.#pending, chunk]);
    const requests = [];
    for (;;) {
      const end = this.#pending.indexOf("\r\n\r\n");
      if (end < 0) return requests;
      const head = this.#pending.subarray(0, end).toString("latin1");
      const [line, ...fields] = head.split("\r\n");
      const headers = Object.fromEntries(fields.map((field) => {
        const colon = field.indexOf(":");
        return [
          field.slice(0, colon).toLowerCase(),
          field.slice(colon + 1).trim(),
        ];
      }));
      const size = end + 4 + Number(headers["content-length"] ?? 0);
      if (this.#pending.length < size) return requests;
      const body = this.#pending.subarray(end + 4, size).toString("latin1");
      this.#pending = this.#pending.subarray(size);
      const [method, path] = line.split(" ");
      requests.push({
        id: headers["x-attempt-id"] ?? "",
        method,
        path,
        headers,
        body,
      });
    }
  }
}

/** A runner whose script writes the bytes of each answer. */
class Runner {
  #server;
  #sockets = new Set();
  /** Requests that reached it, in order. */
  arrived = [];

  constructor({ id, service, script, fields = {} }) {
    this.id = id;
    this.service = service;
    this.script = script;
    this.fields = fields;
  }

  async open(address) {
    this.#server = createServer((socket) => {
      const reader = new RequestReader();
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("data", (chunk) => {
        for (const request of reader.push(chunk)) {
          const received = { ...request, socket, at: performance.now() };
          this.arrived.push(received);
          this.script(received, this);
        }
      });
    });
    const port = address === undefined
      ? await findFreePort()
      : Number(address.split(":")[1]);
    this.address = `${LOOPBACK}:${port}`;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, LOOPBACK, resolve);
    });
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server?.close();
  }
}

/** Returns a complete answer to a request, as a sound runner sends it. */
export function createAnswer(
  { id },
  { status = 200, body = `booked ${id}`, more = "" } = {},
) {
  const stamp = status < 300 ? `x-response-stamp: s.${id}\r\n` : "";
  return `HTTP/1.1 ${status} X\r\nx-attempt-id: ${id}\r\n${stamp}${more}` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}

/** Returns event `index` of a stream of `count` events. */
export function renderEvent(index, count) {
  return `id: ${index}\ndata: piece ${index} of ${count}\n\n`;
}

/**
 * Answers with an event stream that has no length and ends with its connection.
 */
export async function streamWithoutLength(
  { socket, id },
  { count, intervalMs },
) {
  socket.write(
    `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-stamp: s.${id}\r\n` +
      "content-type: text/event-stream\r\nconnection: close\r\n\r\n",
  );
  for (let index = 0; index < count; index++) {
    if (socket.destroyed) return;
    socket.write(renderEvent(index, count));
    await sleep(intervalMs);
  }
  socket.end();
}

/** A store, runners and routers on loopback addresses. */
export class Fleet {
  store = new MetadataStoreServer();
  record = new Record();
  runners = [];
  routers = [];
  #directory = mkdtempSync(join(tmpdir(), "corianderflow-review-"));
  #heartbeats;
  #version = 0;
  #sequence = 0;

  async open({ routes, services = [{ name: "engines", engine: true }] }) {
    await this.store.open();
    this.configure({ routes, services });
    this.#heartbeats = setInterval(() => {
      for (const runner of this.runners) {
        if (runner.isRegistered) this.register(runner);
      }
    }, HEARTBEAT_MS);
  }

  /** Writes a configuration, as the operator does. */
  configure(
    {
      routes,
      services = [{ name: "engines", engine: true }],
      keys = [API_KEY],
    },
  ) {
    this.#version += 3;
    this.store.put("op/config", {
      version: this.#version,
      routes: routes.map((route) => ({
        host: HOST,
        goalMs: 300,
        priority: 0,
        maxAttempts: 1,
        public: false,
        sticky: route.kind === "stream",
        ...route,
      })),
      services: services.map(({ engine, ...service }) => ({
        healthPath: "/health",
        maxConns: 360,
        coldStartS: 0,
        coldPerS: 0,
        ...(engine && { engine: {} }),
        ...service,
      })),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: TENANT, apiKeys: keys, priority: 1 }],
    });
  }

  async addRunner(options) {
    const runner = new Runner(options);
    await runner.open(options.address);
    this.runners.push(runner);
    if (options.isRegistered !== false) this.register(runner);
    return runner;
  }

  /** Writes the entry of a runner, as the runner does in each heartbeat. */
  register(runner) {
    runner.isRegistered = true;
    this.store.put(`servers/${runner.id}`, {
      service: runner.service,
      address: runner.address,
      zone: "kyushu-a",
      version: "r1",
      slots: 64,
      state: "ready",
      coldLeftMs: 0,
      seq: ++this.#sequence,
      ...runner.fields,
    });
  }

  async addRouter(name, bounds = {}) {
    const front = await findFreePort();
    const ready = await findFreePort();
    const peers = await findFreePort();
    const metrics = await findFreePort();
    const text = render(readFileSync("deploy/router.ini", "utf8"), {
      nodeName: name,
      zone: "kyushu-a",
      ip: LOOPBACK,
      portRange: [peers, peers],
      listen: {
        front: `${LOOPBACK}:${front}`,
        ready: `${LOOPBACK}:${ready}`,
      },
      limits: { linkMbps: 1000 },
      platform: { address: this.store.address },
      bounds: { ...BOUNDS, ...bounds },
      heartbeatMs: HEARTBEAT_MS,
    }).replace(/:9464$/m, `:${metrics}`);
    const settingsFile = join(this.#directory, `${name}.ini`);
    writeFileSync(settingsFile, text);
    const router = new RouterProcess({
      name,
      address: `${LOOPBACK}:${front}`,
      readyAddress: `${LOOPBACK}:${ready}`,
      settingsFile,
    });
    this.routers.push(router);
    router.start();
    await router.untilReady();
    this.record.add(`${name} is ready`);
    return router;
  }

  /** Ends everything that this case has started. */
  async close() {
    clearInterval(this.#heartbeats);
    for (const router of this.routers) {
      if (!router.isRunning) continue;
      router.signal("SIGCONT");
      router.signal("SIGKILL");
      await router.exited;
    }
    for (const runner of this.runners) runner.close();
    await this.store.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

/**
 * Sends a request on a new connection and reads until the connection ends, or
 * until a response with a length or chunks is complete, or until nothing arrives
 * for `gapMs`. Resolves with what a caller sees: the status, the head, the bytes
 * of the body and how it ended.
 */
export function ask(
  address,
  {
    id,
    method = "GET",
    path,
    headers = {},
    body = "",
    deadlineMs = 15_000,
    key = API_KEY,
    gapMs,
  },
) {
  const [host, port] = address.split(":");
  const fields = {
    host: HOST,
    "x-attempt-id": id,
    "x-deadline-ms": String(deadlineMs),
    ...(key && { authorization: `Bearer ${key}` }),
    ...(body !== "" && { "content-length": String(body.length) }),
    ...headers,
  };
  const lines = Object.entries(fields).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  const bytes = `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`;
  return new Promise((resolve) => {
    let raw = "";
    const socket = connect({ host, port: Number(port), noDelay: true });
    const timer = setTimeout(() => finish("timeout"), deadlineMs + 3_000);
    const gapTimer = gapMs && setTimeout(() => finish("gap"), gapMs);
    function finish(end) {
      clearTimeout(timer);
      clearTimeout(gapTimer);
      socket.destroy();
      resolve(parseResponse(raw, end));
    }
    socket.setEncoding("latin1");
    socket.on("connect", () => socket.write(bytes));
    socket.on("data", (text) => {
      raw += text;
      gapTimer?.refresh();
      const response = parseResponse(raw, "open");
      if (response.isWhole && response.framing !== "close") finish("whole");
    });
    socket.on("end", () => finish("FIN"));
    socket.on("error", ({ code }) => finish(code));
  });
}

function parseResponse(raw, end) {
  const split = raw.indexOf("\r\n\r\n");
  if (split < 0) return { status: 0, body: "", end, isWhole: false };
  const head = raw.slice(0, split);
  const rest = raw.slice(split + 4);
  const status = Number(head.split(" ")[1]);
  const length = /^content-length: *(\d+)$/im.exec(head)?.[1];
  if (length !== undefined) {
    const isWhole = rest.length >= Number(length);
    return { status, head, body: rest, end, framing: "length", isWhole };
  }
  if (/^transfer-encoding: *chunked$/im.test(head)) {
    const { body, isWhole } = decodeChunks(rest);
    return { status, head, body, end, framing: "chunked", isWhole };
  }
  // RFC 9112, section 6.3: the close of the connection ends the body.
  const isWhole = end === "FIN";
  return { status, head, body: rest, end, framing: "close", isWhole };
}

function decodeChunks(text) {
  let body = "";
  let rest = text;
  for (;;) {
    const line = rest.indexOf("\r\n");
    if (line < 0) return { body, isWhole: false };
    const size = parseInt(rest.slice(0, line), 16);
    if (size === 0) return { body, isWhole: true };
    if (rest.length < line + 2 + size + 2) return { body, isWhole: false };
    body += rest.slice(line + 2, line + 2 + size);
    rest = rest.slice(line + 2 + size + 2);
  }
}

/**
 * Runs a case: `play` returns the texts that say how the rule was broken, none
 * if it held. Writes the record beside the case, the module `url`, and ends the
 * process.
 */
export async function runCase(url, play) {
  const directory = fileURLToPath(new URL(".", url));
  const fleet = new Fleet();
  let code = FAILED;
  try {
    const breaks = await play(fleet);
    for (const each of breaks) fleet.record.add(`BROKEN: ${each}`);
    if (breaks.length === 0) fleet.record.add("The rule held.");
    code = breaks.length === 0 ? HELD : BROKEN;
  } catch (cause) {
    fleet.record.add(`The case could not run: ${cause.stack}`);
  }
  try {
    await fleet.close();
  } finally {
    fleet.record.write(join(directory, "record.txt"));
    process.exit(code);
  }
}
