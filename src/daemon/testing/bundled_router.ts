/**
 * Fixture that runs a router as a process, from the bundle and with the flags
 * of deploy/system.toml, whose heap limit a test process lacks.
 */
import type { Buffer } from "node:buffer";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreeAddress } from "../../../testing/free_address.ts";
import { readNodeFlags, readPeakBytes } from "../../../testing/run_command.ts";
import { MetadataStoreServer } from "../../../testing/metadata_store.ts";
import {
  API_KEY,
  HOST,
  type ScriptedUpstream,
  startUpstream,
} from "./local_ingress.ts";

const ROOT = join(__dirname, "../../..");
const BUNDLE_INPUTS = ["src", "deploy", "node_modules", "package.json"];
const MAX_BODY_BYTES = 4_200_000;
const POLL_MS = 30;
const BYTES_PER_MB = 1_048_576;
const PROGRAM = "target/corianderflowd.js";

/** Status and time of the answer to an ordinary request. */
export interface TimedStatus {
  readonly status: number;
  readonly ms: number;
}

/** A router process with its metadata store and one upstream. */
export class BundledRouter {
  readonly store = new MetadataStoreServer();
  upstream!: ScriptedUpstream;
  #directory = "";
  #child!: ChildProcess;
  #callers = "";
  #peers = "";
  #errors = "";
  readonly #sockets = new Set<Socket>();

  /** Builds the bundle and starts it; resolves once the router is ready. */
  async start(): Promise<this> {
    this.#directory = mkdtempSync(join(tmpdir(), "corianderflow-"));
    // Another directory than ROOT, where other tests build at the same time.
    for (const name of BUNDLE_INPUTS) {
      symlinkSync(join(ROOT, name), join(this.#directory, name));
    }
    execFileSync(process.execPath, ["deploy/build.mjs"], {
      cwd: this.#directory,
    });
    await this.store.open();
    this.upstream = await startUpstream("up-0");
    this.#putEntries();
    const ready = await findFreeAddress();
    this.#callers = await findFreeAddress();
    this.#peers = await findFreeAddress();
    const settings = join(this.#directory, "node.ini");
    writeFileSync(settings, await this.#renderSettings(ready));
    this.#child = spawn(process.execPath, [...readNodeFlags(), PROGRAM], {
      cwd: this.#directory,
      env: { PATH: process.env["PATH"], CORIANDERFLOW_SETTINGS: settings },
      stdio: ["ignore", "ignore", "pipe"],
    });
    this.#child.stderr!.on("data", (text) => this.#errors += String(text));
    while (await this.#getReadyStatus(ready) !== 200) await sleep(POLL_MS);
    return this;
  }

  async close(): Promise<void> {
    if (this.isRunning) {
      const ended = once(this.#child, "exit");
      this.#child.kill("SIGKILL");
      await ended;
    }
    for (const socket of this.#sockets) socket.destroy();
    this.upstream.close();
    await this.store.close();
    rmSync(this.#directory, { recursive: true });
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** What the process wrote to standard error. */
  get errors(): string {
    return this.#errors;
  }

  /** Largest memory of the process so far, in MB. */
  getPeakMemoryMb(): number {
    return (readPeakBytes(this.#child.pid!) ?? 0) / BYTES_PER_MB;
  }

  /** Connects to the port of callers, or to that of other routers. */
  async connect(
    { to = "callers" }: { to?: "callers" | "peers" } = {},
  ): Promise<Socket> {
    const address = to === "callers" ? this.#callers : this.#peers;
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => {});
    this.#sockets.add(socket);
    await once(socket, "connect");
    return socket;
  }

  /** Sends an ordinary request on a connection of its own. */
  async ask(): Promise<TimedStatus> {
    const startedAt = performance.now();
    const socket = await this.connect();
    socket.write(createRequestHead("GET", "connection: close\r\n"));
    const { status } = await receiveAnswer(socket);
    return { status, ms: performance.now() - startedAt };
  }

  /** Sends ordinary requests one after another, for `ms` milliseconds. */
  async askFor(ms: number): Promise<TimedStatus[]> {
    const answers: TimedStatus[] = [];
    const end = performance.now() + ms;
    while (performance.now() < end) {
      answers.push(await this.ask());
      await sleep(POLL_MS);
    }
    return answers;
  }

  async #getReadyStatus(address: string): Promise<number> {
    try {
      const url = `http://${address}/corianderflow/ready`;
      return (await fetch(url)).status;
    } catch {
      // The program is not listening yet.
      return 0;
    }
  }

  #putEntries(): void {
    const { id, address } = this.upstream;
    this.store.put(`servers/${id}`, {
      service: "svc",
      address,
      zone: "east",
      version: "v1",
      slots: 4,
      state: "ready",
      coldLeftMs: 0,
      seq: 1,
    });
    this.store.put("op/config", {
      version: 1,
      routes: [{
        name: "read",
        host: HOST,
        prefix: "/read/",
        kind: "idempotent",
        timeoutMs: 8_000,
        goalMs: 2_000,
        priority: 1,
        service: "svc",
        maxAttempts: 2,
        public: false,
        sticky: false,
      }],
      services: [{ name: "svc", maxConns: 100, coldStartS: 0, coldPerS: 0 }],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: MAX_BODY_BYTES,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: "workspace", apiKeys: [API_KEY], priority: 1 }],
    });
  }

  async #renderSettings(ready: string): Promise<string> {
    return `
[router]
name = r1
failure_domain = east
[listen]
callers = ${this.#callers}
ready = ${ready}
peers = ${this.#peers}
metrics = ${await findFreeAddress()}
[store]
address = ${this.store.address}
[bounds]
grace_s = 1
`;
  }
}

let requestCount = 0;

/** Renders the head of a request; `more` holds further header lines. */
export function createRequestHead(
  method: string,
  more: string,
  { deadlineMs = 8_000 }: { deadlineMs?: number } = {},
): string {
  return `${method} /read/x HTTP/1.1\r\nhost: ${HOST}\r\n` +
    `authorization: Bearer ${API_KEY}\r\nx-attempt-id: a${++requestCount}\r\n` +
    `x-deadline-ms: ${deadlineMs}\r\n${more}\r\n`;
}

/**
 * Reads until an answer with a length is complete or the connection closes; the
 * status is 0 without a complete answer.
 */
export function receiveAnswer(
  socket: Socket,
): Promise<{ status: number; text: string }> {
  return new Promise((resolve) => {
    let text = "";
    function finish(status: number): void {
      socket.off("data", receive);
      resolve({ status, text });
    }
    function receive(chunk: Buffer): void {
      text += chunk.toString("latin1");
      const head = text.indexOf("\r\n\r\n");
      const length = /^content-length: (\d+)/im.exec(text)?.[1];
      if (head < 0 || text.length < head + 4 + Number(length)) return;
      finish(Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1]));
    }
    socket.on("data", receive);
    socket.once("close", () => finish(0));
  });
}

/** Writes `part` again and again until the connection closes. */
export function writeEndlessly(socket: Socket, part: string): void {
  function write(): void {
    while (!socket.destroyed && socket.write(part, "latin1"));
  }
  socket.on("drain", write);
  write();
}
