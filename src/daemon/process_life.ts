/**
 * Decides what ends the process. OPERATIONS lists it; nothing else that a
 * program can prevent may.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import { inspect } from "node:util";
import type { Log } from "../log.ts";
import { tolerateLostReader } from "../log_writer.ts";
import { UnhandledErrors } from "../policy/unhandled_errors.ts";
import { type ReceivedSignal, receiveSignals } from "./signals.ts";

/** After a graceful stop that was asked for. */
const EXIT_STOPPED = 0;
/** After a failed start, or a stop because of unhandled errors. */
export const EXIT_FAILED = 1;
/** After a wrong command line or invalid settings. */
export const EXIT_USAGE = 2;

/** What the process runs. */
export interface RunningDaemon {
  readonly log: Log;
  /** Counts an error that nothing handled. */
  countUnhandledError(): void;
  /** Stops gracefully. */
  stop(): Promise<void>;
}

/** Ends the process with a message on standard error. */
export function exitWithError(message: string, code: number): never {
  tolerateLostReader(process.stderr);
  process.stderr.write(`corianderflowd: ${message}\n`);
  process.exit(code);
}

/** Receives the signals and the unhandled errors of the process. */
export class ProcessLife {
  readonly #stopping = new AbortController();
  readonly #errors = new UnhandledErrors();
  #daemon: RunningDaemon | undefined;
  #reload: (() => void) | undefined;
  #isReloadDue = false;
  #exitCode: number | undefined;
  /** Signals to log when there is a log. */
  readonly #ignored: ReceivedSignal[] = [];

  /**
   * Receives signals and errors from now on, also while the daemon starts: it
   * accepts requests before its start has ended.
   */
  open(): void {
    // An unhandled rejection is reported as an uncaught exception as well.
    process.on("uncaughtException", (cause) => this.#recordError(cause));
    receiveSignals((signal) => this.#receive(signal));
  }

  /** Aborted when a stop is asked for. */
  get stopSignal(): AbortSignal {
    return this.#stopping.signal;
  }

  /** Sets the started daemon; stops it if a stop was asked for before. */
  setDaemon(daemon: RunningDaemon): void {
    this.#daemon = daemon;
    for (const signal of this.#ignored.splice(0)) this.#ignore(signal);
    if (this.#exitCode !== undefined) this.#stop();
  }

  /** Sets what SIGHUP does; does it if the signal has come before. */
  setReload(reload: () => void): void {
    this.#reload = reload;
    if (this.#isReloadDue) reload();
  }

  /** Ends the process if a stop was asked for; there is no daemon to stop. */
  exitIfStopping(): void {
    if (this.#exitCode !== undefined) process.exit(this.#exitCode);
  }

  #receive(signal: ReceivedSignal): void {
    switch (signal) {
      case "SIGTERM":
      case "SIGINT":
        this.#requestStop(EXIT_STOPPED);
        break;
      case "SIGHUP":
        this.#requestReload();
        break;
      default:
        this.#ignore(signal);
    }
  }

  #requestReload(): void {
    if (this.#reload !== undefined) this.#reload();
    // A daemon that can't reload has no use for the signal.
    else if (this.#daemon !== undefined) this.#ignore("SIGHUP");
    else this.#isReloadDue = true;
  }

  #ignore(signal: ReceivedSignal): void {
    if (this.#daemon === undefined) this.#ignored.push(signal);
    else this.#daemon.log.warn("A signal is ignored.", { signal });
  }

  #recordError(cause: unknown): void {
    const stack = inspect(cause);
    if (this.#daemon === undefined) {
      exitWithError(`cannot start: ${stack}`, EXIT_FAILED);
    }
    this.#daemon.countUnhandledError();
    this.#daemon.log.error("An error was not handled.", { stack });
    if (this.#errors.record(performance.now()) === "go-on") return;
    if (this.#exitCode !== undefined) return;
    this.#daemon.log.error("Too many errors were not handled; stopping.");
    this.#requestStop(EXIT_FAILED);
  }

  #requestStop(exitCode: number): void {
    if (this.#exitCode !== undefined) return;
    this.#exitCode = exitCode;
    this.#stopping.abort();
    if (this.#daemon !== undefined) this.#stop();
  }

  #stop(): void {
    const { log } = this.#daemon!;
    this.#daemon!.stop().then(
      () => process.exit(this.#exitCode),
      (cause: unknown) => {
        log.error("The stop failed.", { stack: inspect(cause) });
        process.exit(EXIT_FAILED);
      },
    );
  }
}
