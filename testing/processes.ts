/**
 * Starts and stops the processes of a test or benchmark.
 *
 * For use in `testing/` and `bench/` only: the system itself starts no processes.
 * Signals are sent through each child's own handle, never by process name.
 */
import type { Buffer } from "node:buffer";
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync, type WriteStream } from "node:fs";
import { basename, join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { readPeakBytes } from "./run_command.ts";

/** Options of a set of processes. */
export interface ProcessesOptions {
  /** Directory of the log files, one for each process. */
  logDirectory?: string;
  /** Time from SIGTERM to SIGKILL, in milliseconds; 5 s by default. */
  graceMs?: number;
  /**
   * Time in which a process must announce its address, in milliseconds; 20 s by
   * default.
   */
  startTimeoutMs?: number;
}

/** Options of one process. */
export interface StartOptions {
  /** Name of the process and its log file; must be unique while it runs. */
  name?: string;
  /** Environment variables in addition to those of this process. */
  env?: Record<string, string>;
  /** Options of Node itself, before the script. */
  nodeFlags?: readonly string[];
  /** Field of the announcement with the address; "listening" by default. */
  addressField?: string;
}

/** A process that was started and may have exited. */
export interface StartedProcess {
  readonly name: string;
  readonly pid: number;
  /** `ip:port` from the announcement. */
  readonly address: string;
  /** First JSON line on standard output that contains the address field. */
  readonly announcement: Readonly<Record<string, unknown>>;
  readonly logFile: string;
  /** Exit code, or null if a signal ended the process. */
  readonly exited: Promise<number | null>;
}

/** How a process ended. */
export interface ProcessEnd {
  readonly name: string;
  /** Null if a signal ended the process. */
  readonly exitCode: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Time since its start, in milliseconds. */
  readonly ageMs: number;
  /** Whether it was sent a signal that ends processes before. */
  readonly isAsked: boolean;
  /** Whether it had announced its address. */
  readonly hasStarted: boolean;
  /** Last lines of standard output and standard error. */
  readonly lastOutput: string;
  readonly lastErrors: string;
}

/** A process could not be started. */
export class ProcessError extends Error {
  constructor(name: string, reason: string) {
    super(`${name}: ${reason}`);
    this.name = "ProcessError";
  }
}

interface RunningProcess {
  readonly child: ChildProcess;
  readonly exited: Promise<number | null>;
  readonly startedAtMs: number;
  isAsked: boolean;
  hasStarted: boolean;
}

const MAX_LOG_BYTES = 64 * 1024 * 1024;
const MAX_TAIL_CHARS = 2_000;
/** Signals that end a process, now or after its grace time. */
const ENDING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set([
  "SIGTERM",
  "SIGKILL",
  "SIGINT",
]);

/** Writes output to a file, up to MAX_LOG_BYTES, and keeps its tails in memory. */
class LogFile {
  lastOutput = "";
  lastErrors = "";
  readonly #stream: WriteStream;
  #remainingBytes = MAX_LOG_BYTES;

  constructor(path: string) {
    this.#stream = createWriteStream(path);
  }

  appendOutput(chunk: Buffer): void {
    this.lastOutput = getTail(this.lastOutput + chunk.toString());
    this.#write(chunk);
  }

  appendErrors(chunk: Buffer): void {
    this.lastErrors = getTail(this.lastErrors + chunk.toString());
    this.#write(chunk);
  }

  #write(chunk: Buffer): void {
    this.#remainingBytes -= chunk.length;
    if (this.#remainingBytes >= 0) this.#stream.write(chunk);
  }

  /** Resolves when everything is in the file, or can't be written. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#stream.once("error", () => resolve());
      this.#stream.end(() => resolve());
    });
  }
}

function getTail(text: string): string {
  return text.slice(-MAX_TAIL_CHARS);
}

/** The processes of one test or benchmark. */
export class Processes {
  /** How each process ended, in this order. */
  readonly ends: ProcessEnd[] = [];
  readonly #options: Required<ProcessesOptions>;
  readonly #running = new Map<string, RunningProcess>();
  #startCount = 0;

  constructor(
    { logDirectory = "out", graceMs = 5_000, startTimeoutMs = 20_000 }:
      ProcessesOptions = {},
  ) {
    this.#options = { logDirectory, graceMs, startTimeoutMs };
  }

  /**
   * Starts a Node script and waits until it announces its address.
   *
   * @throws {ProcessError} If the name is in use, or the process exits or reaches
   * the start timeout before it announces its address.
   */
  async start(
    script: string,
    args: readonly string[],
    options: StartOptions = {},
  ): Promise<StartedProcess> {
    const number = this.#startCount++;
    const name = options.name ?? `${basename(script, ".js")}-${number}`;
    if (this.#running.has(name)) {
      throw new ProcessError(name, "is already running");
    }
    mkdirSync(this.#options.logDirectory, { recursive: true });
    const logFile = join(this.#options.logDirectory, `${name}.log`);
    const log = new LogFile(logFile);
    const { addressField = "listening", nodeFlags = [] } = options;
    const child = spawn(process.execPath, [...nodeFlags, script, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...options.env },
    });
    const running = this.#track(name, { child, log });
    const { exited } = running;
    const announcement = await this.#waitForAnnouncement(name, {
      child,
      log,
      addressField,
    });
    running.hasStarted = true;
    return {
      name,
      pid: child.pid ?? 0,
      address: String(announcement[addressField]),
      announcement,
      logFile,
      exited,
    };
  }

  /** Sends a signal; false if the process is not running. */
  signal(name: string, signal: NodeJS.Signals = "SIGTERM"): boolean {
    const running = this.#running.get(name);
    if (running === undefined) return false;
    if (ENDING_SIGNALS.has(signal)) running.isAsked = true;
    return running.child.kill(signal);
  }

  /** Whether a process runs and has announced its address. */
  hasStarted(name: string): boolean {
    return this.#running.get(name)?.hasStarted ?? false;
  }

  /** Closes the reader's end of the standard output of a process. */
  closeOutput(name: string): void {
    this.#running.get(name)?.child.stdout?.destroy();
  }

  /** Reads no more of the standard output of a process. */
  pauseOutput(name: string): void {
    this.#running.get(name)?.child.stdout?.pause();
  }

  /** Reads on after `pauseOutput`. */
  resumeOutput(name: string): void {
    this.#running.get(name)?.child.stdout?.resume();
  }

  /** Returns the largest memory so far of each running process, in bytes. */
  readPeakMemory(): ReadonlyMap<string, number> {
    const peaks = new Map<string, number>();
    for (const [name, { child }] of this.#running) {
      const bytes = readPeakBytes(child.pid ?? 0);
      if (bytes !== undefined) peaks.set(name, bytes);
    }
    return peaks;
  }

  /**
   * Stops a process with SIGTERM, and with SIGKILL after the grace period; returns
   * its exit code, or null if it was not running or a signal ended it.
   */
  async stop(name: string): Promise<number | null> {
    const running = this.#running.get(name);
    if (running === undefined) return null;
    const { child, exited } = running;
    running.isAsked = true;
    child.kill("SIGTERM");
    // A process paused with SIGSTOP does not handle SIGTERM until it continues.
    child.kill("SIGCONT");
    const timer = setTimeout(
      () => child.kill("SIGKILL"),
      this.#options.graceMs,
    );
    const code = await exited;
    clearTimeout(timer);
    return code;
  }

  /** Stops every running process. */
  async stopAll(): Promise<void> {
    const names = [...this.#running.keys()];
    await Promise.all(names.map((name) => this.stop(name)));
  }

  #track(
    name: string,
    { child, log }: { child: ChildProcess; log: LogFile },
  ): RunningProcess {
    child.stdout?.on("data", (chunk: Buffer) => log.appendOutput(chunk));
    child.stderr?.on("data", (chunk: Buffer) => log.appendErrors(chunk));
    // The streams of a child close only when they have been read to their end.
    child.once("exit", () => child.stdout?.resume());
    const exited = new Promise<number | null>((resolve) => {
      child.once("error", () => resolve(null));
      child.once("close", (code, signal) => {
        this.#recordEnd(running, { name, exitCode: code, signal, log });
        resolve(code);
      });
    }).finally(async () => {
      await log.close();
      this.#running.delete(name);
    });
    const running = {
      child,
      exited,
      startedAtMs: performance.now(),
      isAsked: false,
      hasStarted: false,
    };
    this.#running.set(name, running);
    return running;
  }

  #recordEnd(
    { startedAtMs, isAsked, hasStarted }: RunningProcess,
    { log: { lastOutput, lastErrors }, ...end }:
      & Pick<ProcessEnd, "name" | "exitCode" | "signal">
      & { log: LogFile },
  ): void {
    const ageMs = performance.now() - startedAtMs;
    this.ends.push({
      ...end,
      ageMs,
      isAsked,
      hasStarted,
      lastOutput,
      lastErrors,
    });
  }

  #waitForAnnouncement(
    name: string,
    { child, log, addressField }: {
      child: ChildProcess;
      log: LogFile;
      addressField: string;
    },
  ): Promise<Record<string, unknown>> {
    return new Promise((resolve, reject) => {
      let text = "";
      const fail = (reason: string) => {
        child.kill("SIGKILL");
        const tail = log.lastOutput + log.lastErrors;
        reject(new ProcessError(name, `${reason}: ${tail}`));
      };
      const timer = setTimeout(
        () => fail("did not announce its address in time"),
        this.#options.startTimeoutMs,
      );
      child.once("close", () => {
        clearTimeout(timer);
        fail("exited before it announced its address");
      });
      const readChunk = (chunk: Buffer) => {
        text += chunk.toString();
        const announcement = findAnnouncement(text, addressField);
        if (announcement === undefined) return;
        clearTimeout(timer);
        child.stdout?.off("data", readChunk);
        resolve(announcement);
      };
      child.stdout?.on("data", readChunk);
    });
  }
}

/** Finds the first complete line that is JSON and has the address field. */
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
