#!/usr/bin/env node
/**
 * Entry point of `corianderflowd --settings FILE`. Without the option the
 * path is read from the environment variable CORIANDERFLOW_SETTINGS.
 *
 * Settings with a section `[store]` start a router that discovers its fleet
 * in a metadata store; all others start a router of a fleet with pool owners.
 *
 * Exit codes: 0 after a graceful stop, 1 if the start failed, 2 for a
 * wrong command line or invalid settings.
 */
import { readFileSync, statSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import {
  formatSettingFault,
  type SettingFault,
} from "../config/ini_sections.ts";
import type { Settings } from "../config/settings.ts";
import { tolerateLostReader } from "../log_writer.ts";
import type { IngressDaemon } from "./ingress_daemon.ts";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

function exitWithError(message: string, code: number): never {
  tolerateLostReader(process.stderr);
  process.stderr.write(`corianderflowd: ${message}\n`);
  process.exit(code);
}

const SETTINGS_VARIABLE = "CORIANDERFLOW_SETTINGS";
const SETTINGS_CHECK_INTERVAL_MS = 2_000;

function getSettingsFile(): string {
  try {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    const file = values.settings ?? process.env[SETTINGS_VARIABLE];
    if (file !== undefined) return file;
  } catch (cause) {
    exitWithError((cause as Error).message, EXIT_USAGE);
  }
  return exitWithError("usage: corianderflowd --settings FILE", EXIT_USAGE);
}

function readFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (cause) {
    return exitWithError(
      `cannot read ${file}: ${(cause as Error).message}`,
      EXIT_USAGE,
    );
  }
}

function describeFaults(faults: readonly SettingFault[]): string {
  return faults.map(formatSettingFault).join("\n");
}

function exitWithFaults(file: string, faults: readonly SettingFault[]): never {
  return exitWithError(
    `invalid settings in ${file}:\n${describeFaults(faults)}`,
    EXIT_USAGE,
  );
}

function getFleetKey(
  { fleet }: Settings,
  { minLength }: { minLength: number },
): string {
  if (fleet.key !== undefined) return fleet.key;
  const file = fleet.keyFile!;
  const key = readFile(file).trim();
  if (key.length >= minLength) return key;
  const requirement = `at least ${minLength} characters`;
  return exitWithError(
    `the fleet key in ${file} must have ${requirement}`,
    EXIT_USAGE,
  );
}

/** What the process runs; it is stopped on a signal. */
interface Stoppable {
  stop(): Promise<void>;
}

/** A daemon that is starting, and the signals that arrive meanwhile. */
class SignalHandler {
  readonly #stopping = new AbortController();
  #daemon: Stoppable | undefined;
  #isStopping = false;

  /**
   * Handles SIGTERM and SIGINT from now on, also while the daemon starts: it
   * accepts requests before its start has ended.
   */
  open(): void {
    for (const signal of ["SIGTERM", "SIGINT"]) {
      process.on(signal, () => {
        if (this.#isStopping) return;
        this.#isStopping = true;
        this.#stopping.abort();
        this.#stop();
      });
    }
  }

  /** Aborted when a stop is asked for. */
  get stopSignal(): AbortSignal {
    return this.#stopping.signal;
  }

  /** Sets the daemon; stops it if a signal has arrived before. */
  setDaemon(daemon: Stoppable): void {
    this.#daemon = daemon;
    if (this.#isStopping) this.#stop();
  }

  #stop(): void {
    void this.#daemon?.stop().then(() => process.exit(0));
  }
}

function getModificationTimeMs(file: string): number {
  try {
    return statSync(file).mtimeMs;
  } catch {
    // The file is being replaced; the next check reads it.
    return 0;
  }
}

async function runPoolRouter(
  file: string,
  { text, signals }: { text: string; signals: SignalHandler },
): Promise<void> {
  const { MIN_FLEET_KEY_LENGTH, readSettings } = await import(
    "../config/settings.ts"
  );
  const { startDaemon } = await import("./daemon.ts");
  const read = readSettings(text, file);
  if (read.err) exitWithFaults(file, read.val);
  const settings = read.val as Settings;
  const fleetKey = getFleetKey(settings, { minLength: MIN_FLEET_KEY_LENGTH });
  const { stopSignal } = signals;
  signals.setDaemon(await startDaemon({ settings, fleetKey, stopSignal }));
  const { callers: listening } = settings.listen;
  tolerateLostReader(process.stdout);
  process.stdout.write(JSON.stringify({ listening }) + "\n");
}

async function runIngressRouter(
  file: string,
  { text, signals }: { text: string; signals: SignalHandler },
): Promise<void> {
  const { readIngressSettings } = await import("../config/ingress_settings.ts");
  const { startIngressDaemon } = await import("./ingress_daemon.ts");
  const read = readIngressSettings(text, file);
  if (read.err) return exitWithFaults(file, read.val);
  const daemon = await startIngressDaemon({
    settings: read.val,
    stopSignal: signals.stopSignal,
  });
  signals.setDaemon(daemon);
  watchSettings(file, { daemon, read: readIngressSettings });
}

/** Reloads the settings on SIGHUP and when the file has changed. */
function watchSettings(
  file: string,
  { daemon, read }: {
    daemon: IngressDaemon;
    read: typeof import("../config/ingress_settings.ts").readIngressSettings;
  },
): void {
  let modifiedMs = getModificationTimeMs(file);
  function reload(): void {
    modifiedMs = getModificationTimeMs(file);
    try {
      const settings = read(readFileSync(file, "utf8"), file);
      if (settings.ok) daemon.reload(settings.val);
      else daemon.rejectReload(describeFaults(settings.val));
    } catch (cause) {
      daemon.rejectReload((cause as Error).message);
    }
  }
  process.on("SIGHUP", reload);
  setInterval(() => {
    if (getModificationTimeMs(file) !== modifiedMs) reload();
  }, SETTINGS_CHECK_INTERVAL_MS).unref();
}

async function main(): Promise<void> {
  const signals = new SignalHandler();
  signals.open();
  const file = getSettingsFile();
  const text = readFile(file);
  const { isIngressSettings } = await import("../config/ingress_settings.ts");
  try {
    if (isIngressSettings(text)) {
      await runIngressRouter(file, { text, signals });
    } else await runPoolRouter(file, { text, signals });
  } catch (cause) {
    exitWithError(`cannot start: ${(cause as Error).message}`, EXIT_FAILED);
  }
}

void main();
