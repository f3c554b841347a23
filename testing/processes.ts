/**
 * Starts and stops the processes of a test or bench.
 *
 * Only for use under `testing/` and `bench/`: the system itself starts no
 * process. Each process is ended through its own handle, never by name.
 */
import type { Buffer } from "node:buffer";
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync, type WriteStream } from "node:fs";
import { basename, join } from "node:path";
import process from "node:process";

/** Options of a set of processes. */
export interface ProcessesOptions {
  /** Directory of the log files, one for each process. */
  logDirectory?: string;
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  graceMs?: number;
  /** Time in which a process must say where it listens. */
  startTimeoutMs?: number;
}

/** Options of one process. */
export interface StartOptions {
  /** Names the process and its log file; must not be in use. */
  name?: string;
  /** Added to the environment. */
  env?: Record<string, string>;
  /** Field of the announcement that holds the address; "listening" if absent. */
  addressField?: string;
}

/** A process that runs or has run. */
export interface StartedProcess {
  readonly name: string;
  readonly pid: number;
  /** `ip:port` from the first line of JSON on standard output. */
  readonly address: string;
  /** That line, for processes that say more. */
  readonly announcement: Readonly<Record<string, unknown>>;
  readonly logFile: string;
  /** Exit code, or null when a signal ended the process. */
  readonly exited: Promise<number | null>;
}

/** A process did not start as it should. */
export class ProcessError extends Error {
  constructor(name: string, reason: string) {
    super(`${name}: ${reason}`);
    this.name = "ProcessError";
  }
}

interface Entry {
  readonly child: ChildProcess;
  readonly exited: Promise<number | null>;
}

const LOG_LIMIT_BYTES = 64 * 1024 * 1024;
const TAIL_LENGTH = 2_000;

/** Writes output to a log file, up to a limit, and keeps its tail. */
class Log {
  tail = "";
  readonly #stream: WriteStream;
  #left = LOG_LIMIT_BYTES;

  constructor(path: string) {
    this.#stream = createWriteStream(path);
  }

  append(part: Buffer): void {
    this.tail = (this.tail + part.toString()).slice(-TAIL_LENGTH);
    this.#left -= part.length;
    if (this.#left >= 0) this.#stream.write(part);
  }

  close(): void {
    this.#stream.end();
  }
}

/** The processes of one test or bench. */
export class Processes {
  readonly #options: Required<ProcessesOptions>;
  readonly #entries = new Map<string, Entry>();
  #started = 0;

  constructor(
    { logDirectory = "out", graceMs = 5_000, startTimeoutMs = 20_000 }:
      ProcessesOptions = {},
  ) {
    this.#options = { logDirectory, graceMs, startTimeoutMs };
  }

  /** Starts a Node script and waits until it says where it listens. */
  async start(
    script: string,
    args: readonly string[],
    options: StartOptions = {},
  ): Promise<StartedProcess> {
    const number = this.#started++;
    const name = options.name ?? `${basename(script, ".js")}-${number}`;
    if (this.#entries.has(name)) throw new ProcessError(name, "is running");
    mkdirSync(this.#options.logDirectory, { recursive: true });
    const logFile = join(this.#options.logDirectory, `${name}.log`);
    const log = new Log(logFile);
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...options.env },
    });
    const exited = this.#follow(name, { child, log });
    const { addressField = "listening" } = options;
    const announcement = await this.#waitForAnnouncement(name, {
      child,
      log,
      addressField,
    });
    return {
      name,
      pid: child.pid ?? 0,
      address: String(announcement[addressField]),
      announcement,
      logFile,
      exited,
    };
  }

  /** Sends a signal; false when the process no longer runs. */
  signal(name: string, signal: NodeJS.Signals = "SIGTERM"): boolean {
    return this.#entries.get(name)?.child.kill(signal) ?? false;
  }

  /** Ends one process and waits for it; SIGKILL after the grace time. */
  async stop(name: string): Promise<number | null> {
    const entry = this.#entries.get(name);
    if (entry === undefined) return null;
    const { child, exited } = entry;
    child.kill("SIGTERM");
    // A process that was paused with SIGSTOP can't act on SIGTERM.
    child.kill("SIGCONT");
    const timer = setTimeout(
      () => child.kill("SIGKILL"),
      this.#options.graceMs,
    );
    const code = await exited;
    clearTimeout(timer);
    return code;
  }

  /** Ends every process that still runs. */
  async stopAll(): Promise<void> {
    const names = [...this.#entries.keys()];
    await Promise.all(names.map((name) => this.stop(name)));
  }

  #follow(
    name: string,
    { child, log }: { child: ChildProcess; log: Log },
  ): Promise<number | null> {
    child.stdout?.on("data", (part: Buffer) => log.append(part));
    child.stderr?.on("data", (part: Buffer) => log.append(part));
    const exited = new Promise<number | null>((resolve) => {
      child.once("error", () => resolve(null));
      child.once("close", (code) => resolve(code));
    }).finally(() => {
      log.close();
      this.#entries.delete(name);
    });
    this.#entries.set(name, { child, exited });
    return exited;
  }

  #waitForAnnouncement(
    name: string,
    { child, log, addressField }: {
      child: ChildProcess;
      log: Log;
      addressField: string;
    },
  ): Promise<Record<string, unknown>> {
    return new Promise((resolve, reject) => {
      let text = "";
      const fail = (reason: string) => {
        child.kill("SIGKILL");
        reject(new ProcessError(name, `${reason}: ${log.tail}`));
      };
      const timer = setTimeout(
        () => fail("did not start in time"),
        this.#options.startTimeoutMs,
      );
      child.once("close", () => {
        clearTimeout(timer);
        fail("ended before it listened");
      });
      const read = (part: Buffer) => {
        text += part.toString();
        const announcement = findAnnouncement(text, addressField);
        if (announcement === undefined) return;
        clearTimeout(timer);
        child.stdout?.off("data", read);
        resolve(announcement);
      };
      child.stdout?.on("data", read);
    });
  }
}

/** The first whole line that is JSON and says where a process listens. */
function findAnnouncement(
  text: string,
  addressField: string,
): Record<string, unknown> | undefined {
  for (const line of text.split("\n").slice(0, -1)) {
    if (!line.startsWith("{")) continue;
    try {
      const parsed = JSON.parse(line) as Record<string, unknown>;
      if (typeof parsed[addressField] === "string") return parsed;
    } catch {
      continue;
    }
  }
  return undefined;
}
