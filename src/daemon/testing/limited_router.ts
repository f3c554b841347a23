/**
 * Starts the last build of a router as a process of its own, with the flags of
 * deploy/system.toml, for tests of its limits of memory.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { readNodeFlags, readPeakBytes } from "../../../testing/run_command.ts";
import type { IngressSettings } from "../../config/ingress_settings.ts";
import type { StartedDaemon } from "./local_ingress.ts";

const ROOT = join(__dirname, "../../..");
const PROGRAM = join(ROOT, "dist/src/daemon/main.js");
const STARTED_MESSAGE = "The router has started.";
const BYTES_PER_MB = 1_048_576;

/** A router in a process of its own. */
export class LimitedRouter implements StartedDaemon {
  readonly #child: ChildProcess;
  readonly #directory = mkdtempSync(join(tmpdir(), "corianderflow-"));
  #peakMb = 0;
  /** Lines of its log and of standard error. */
  readonly lines: string[] = [];

  constructor(settings: IngressSettings) {
    const file = join(this.#directory, "node.ini");
    writeFileSync(file, renderSettings(settings));
    this.#child = spawn(process.execPath, [...readNodeFlags(), PROGRAM], {
      env: { PATH: process.env["PATH"], CORIANDERFLOW_SETTINGS: file },
    });
    for (const output of [this.#child.stdout!, this.#child.stderr!]) {
      output.on(
        "data",
        (chunk) => this.lines.push(...String(chunk).split("\n")),
      );
    }
  }

  /** Resolves when the router listens; rejects if it ends before. */
  async untilStarted(): Promise<void> {
    while (!this.lines.some((line) => line.includes(STARTED_MESSAGE))) {
      if (!this.isRunning) throw new Error(this.lines.join("\n"));
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Whether the process has not ended. */
  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Highest memory so far, in MB, as the kernel counts it. */
  get peakMb(): number {
    const bytes = readPeakBytes(this.#child.pid!);
    if (bytes !== undefined) this.#peakMb = bytes / BYTES_PER_MB;
    return this.#peakMb;
  }

  async stop(): Promise<void> {
    if (this.isRunning) {
      const ended = once(this.#child, "exit");
      this.#child.kill("SIGTERM");
      await ended;
    }
    rmSync(this.#directory, { recursive: true });
  }

  reload(): void {
    throw new Error("not needed by a test yet");
  }

  rejectReload(): void {
    throw new Error("not needed by a test yet");
  }
}

function renderSettings(settings: IngressSettings): string {
  return Object.entries(settings).map(([section, values]) => {
    const lines = Object.entries(values)
      .map(([key, value]) => `${toSnakeCase(key)} = ${value}\n`);
    return `[${section}]\n${lines.join("")}`;
  }).join("");
}

function toSnakeCase(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
