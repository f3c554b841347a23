/**
 * A router as a process of its own, and the store that it reads, for tests of
 * how processes start and end.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreeAddress } from "../../../testing/free_address.ts";
import { MetadataStoreServer } from "../../../testing/metadata_store.ts";

const MAIN = join(__dirname, "../../../dist/src/daemon/main.js");
const POLL_MS = 20;

/** Ports of a router, `ip:port` each. */
export interface RouterAddresses {
  readonly callers: string;
  readonly ready: string;
  readonly peers: string;
  readonly metrics: string;
}

/** A log line. */
export type LoggedLine = Readonly<Record<string, unknown>> & {
  readonly message: string;
};

/** Starts a router of the last build and reads what it writes. */
export class RouterProcess {
  readonly directory = mkdtempSync(join(tmpdir(), "corianderflow-"));
  readonly settingsFile = join(this.directory, "router.ini");
  addresses!: RouterAddresses;
  settings = "";
  child!: ChildProcess;
  text = "";

  constructor(readonly store: MetadataStoreServer) {}

  /** Chooses the ports and renders the settings; writes no file. */
  async prepare(): Promise<this> {
    const [callers, ready, peers, metrics] = [
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
    ];
    this.addresses = { callers, ready, peers, metrics };
    this.settings = `[router]
name = r1
failure_domain = east
[listen]
callers = ${callers}
ready = ${ready}
peers = ${peers}
metrics = ${metrics}
[store]
address = ${this.store.address}
[bounds]
grace_s = 1
`;
    return this;
  }

  /** Settings of a router of the fleet with pool owners, on these ports. */
  get poolSettings(): string {
    const { callers, ready, peers, metrics } = this.addresses;
    return `[router]
name = r1
failure_domain = east
host = entry-1
[listen]
callers = ${callers}
control = ${ready}
forward = ${peers}
[platform]
key_value = ${metrics}
host_list = ${metrics}
[fleet]
key = a key of sixteen characters
[limits]
drain_ms = 0
`;
  }

  /** Starts the process; `preload` is the text of a module to run before it. */
  start(
    { settings = this.settings, preload = "" }: {
      settings?: string | undefined;
      preload?: string;
    } = {},
  ): this {
    writeFileSync(this.settingsFile, settings);
    const preloadFile = join(this.directory, "preload.cjs");
    writeFileSync(preloadFile, preload);
    this.child = spawn(process.execPath, ["--require", preloadFile, MAIN], {
      env: {
        PATH: process.env["PATH"],
        CORIANDERFLOW_SETTINGS: this.settingsFile,
      },
    });
    for (const stream of [this.child.stdout!, this.child.stderr!]) {
      stream.on("data", (chunk) => this.text += String(chunk));
    }
    return this;
  }

  /** The log lines written so far, which begin with their time. */
  get lines(): LoggedLine[] {
    return this.text.split("\n").filter((line) => line.startsWith('{"at"'))
      .map((line) => JSON.parse(line) as LoggedLine);
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Resolves with the end of the process, `[code, signal]`. */
  async untilExit(): Promise<unknown[]> {
    if (this.isRunning) await once(this.child, "exit");
    return [this.child.exitCode, this.child.signalCode];
  }

  /** Status of the answer to a request, 0 without one. */
  async getStatus(port: keyof RouterAddresses, path: string): Promise<number> {
    try {
      return (await fetch(`http://${this.addresses[port]}${path}`)).status;
    } catch {
      // The router isn't listening.
      return 0;
    }
  }

  /** Resolves once `isTrue` holds; rejects if the process ends before. */
  async until(isTrue: () => boolean | Promise<boolean>): Promise<void> {
    while (!await isTrue()) {
      if (!this.isRunning) throw new Error(`the router ended: ${this.text}`);
      await sleep(POLL_MS);
    }
  }

  untilReady(): Promise<void> {
    return this.until(async () =>
      await this.getStatus("ready", "/corianderflow/ready") === 200
    );
  }

  untilLogged(message: string): Promise<void> {
    return this.until(() => this.text.includes(message));
  }

  close(): void {
    if (this.isRunning) this.child.kill("SIGKILL");
    rmSync(this.directory, { recursive: true });
  }
}

/** Opens a store with a configuration without routes. */
export async function openStore(): Promise<MetadataStoreServer> {
  const store = await new MetadataStoreServer().open();
  store.put("op/config", {
    version: 1,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
  return store;
}
