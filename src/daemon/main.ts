#!/usr/bin/env node
/**
 * Entry point of `corianderflowd --settings FILE`. Without the option the
 * path is read from the environment variable CORIANDERFLOW_SETTINGS.
 *
 * Settings with a section `[store]` start a router that discovers its fleet
 * in a metadata store; all others start a router of a fleet with pool owners.
 *
 * The process ends for these reasons, and for no other that a program can
 * prevent: SIGTERM or SIGINT (graceful, code 0); an error at the start that
 * stays after a bounded time (1); too many unhandled errors (graceful, 1); a
 * wrong command line, or settings that stay invalid after a bounded time (2).
 */
// Loaded first: it receives the signals that come while the rest is loaded.
import "./signals.ts";
import { readFileSync, statSync } from "node:fs";
import process from "node:process";
import { inspect, parseArgs } from "node:util";
import { Err, Ok, type Result } from "ts-results/result";
import {
  type IngressSettings,
  isIngressSettings,
  readIngressSettings,
} from "../config/ingress_settings.ts";
import {
  formatSettingFault,
  type SettingFault,
} from "../config/ini_sections.ts";
import type { Settings } from "../config/settings.ts";
import { tolerateLostReader } from "../log_writer.ts";
import type { IngressDaemon } from "./ingress_daemon.ts";
import {
  EXIT_FAILED,
  EXIT_USAGE,
  exitWithError,
  ProcessLife,
} from "./process_life.ts";
import { readSettledFile, type SettingsFailure } from "./settings_file.ts";

const SETTINGS_VARIABLE = "CORIANDERFLOW_SETTINGS";
const SETTINGS_CHECK_INTERVAL_MS = 2_000;

/** Settings of a router of either fleet. */
type RouterSettings =
  | { readonly kind: "ingress"; readonly settings: IngressSettings }
  | {
    readonly kind: "pool";
    readonly settings: Settings;
    readonly fleetKey: string;
  };

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

function describeFaults(faults: readonly SettingFault[]): string {
  return faults.map(formatSettingFault).join("\n");
}

function describeFailure(
  file: string,
  { isReadable, faults }: SettingsFailure,
): string {
  return isReadable
    ? `invalid settings in ${file}:\n${faults}`
    : `cannot read ${file}: ${faults}`;
}

function readFleetKey(
  { fleet }: Settings,
  { minLength }: { minLength: number },
): Result<string, string> {
  if (fleet.key !== undefined) return Ok(fleet.key);
  const file = fleet.keyFile!;
  try {
    const key = readFileSync(file, "utf8").trim();
    if (key.length >= minLength) return Ok(key);
  } catch (cause) {
    return Err(`cannot read ${file}: ${(cause as Error).message}`);
  }
  const requirement = `at least ${minLength} characters`;
  return Err(`the fleet key in ${file} must have ${requirement}`);
}

async function parsePoolSettings(
  text: string,
  file: string,
): Promise<Result<RouterSettings, string>> {
  const { MIN_FLEET_KEY_LENGTH, readSettings } = await import(
    "../config/settings.ts"
  );
  const read = readSettings(text, file);
  if (read.err) return Err(describeFaults(read.val));
  const settings = read.val as Settings;
  return readFleetKey(settings, { minLength: MIN_FLEET_KEY_LENGTH })
    .map((fleetKey) => ({ kind: "pool", settings, fleetKey }));
}

function parseIngressSettings(
  text: string,
  file: string,
): Result<IngressSettings, string> {
  return readIngressSettings(text, file).mapErr(describeFaults);
}

async function parseSettings(
  text: string,
  file: string,
): Promise<Result<RouterSettings, string>> {
  if (!isIngressSettings(text)) return await parsePoolSettings(text, file);
  return parseIngressSettings(text, file)
    .map((settings) => ({ kind: "ingress", settings }));
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
  { settings, fleetKey }: RouterSettings & { kind: "pool" },
  { life }: { life: ProcessLife },
): Promise<void> {
  const { startDaemon } = await import("./daemon.ts");
  const { stopSignal } = life;
  life.setDaemon(await startDaemon({ settings, fleetKey, stopSignal }));
  const { callers: listening } = settings.listen;
  tolerateLostReader(process.stdout);
  process.stdout.write(JSON.stringify({ listening }) + "\n");
}

async function runIngressRouter(
  { settings }: RouterSettings & { kind: "ingress" },
  { file, life, settingsWaitedMs }: {
    file: string;
    life: ProcessLife;
    settingsWaitedMs: number;
  },
): Promise<void> {
  const { startIngressDaemon } = await import("./ingress_daemon.ts");
  const daemon = await startIngressDaemon({
    settings,
    settingsWaitedMs,
    stopSignal: life.stopSignal,
  });
  life.setDaemon(daemon);
  watchSettings(file, { daemon, life });
}

/** Reloads the settings on SIGHUP and when the file has changed. */
function watchSettings(
  file: string,
  { daemon, life }: { daemon: IngressDaemon; life: ProcessLife },
): void {
  let modifiedMs = getModificationTimeMs(file);
  let isReloading = false;
  let isDueAgain = false;
  async function reload(): Promise<void> {
    modifiedMs = getModificationTimeMs(file);
    const { result } = await readSettledFile(file, {
      parse: (text) => Promise.resolve(parseIngressSettings(text, file)),
    });
    if (result.ok) daemon.reload(result.val);
    else daemon.rejectReload(result.val.faults);
  }
  async function reloadOnceAtATime(): Promise<void> {
    isDueAgain = true;
    if (isReloading) return;
    isReloading = true;
    try {
      while (isDueAgain) {
        isDueAgain = false;
        await reload();
      }
    } catch (cause) {
      daemon.rejectReload(inspect(cause));
    } finally {
      isReloading = false;
    }
  }
  life.setReload(() => void reloadOnceAtATime());
  setInterval(() => {
    if (getModificationTimeMs(file) !== modifiedMs) void reloadOnceAtATime();
  }, SETTINGS_CHECK_INTERVAL_MS).unref();
}

async function main(): Promise<void> {
  const life = new ProcessLife();
  life.open();
  const file = getSettingsFile();
  const { result, waitedMs: settingsWaitedMs } = await readSettledFile(file, {
    parse: (text) => parseSettings(text, file),
    signal: life.stopSignal,
  });
  if (result.err) {
    life.exitIfStopping();
    exitWithError(describeFailure(file, result.val), EXIT_USAGE);
  }
  const read = result.val;
  try {
    if (read.kind === "ingress") {
      await runIngressRouter(read, { file, life, settingsWaitedMs });
    } else await runPoolRouter(read, { life });
  } catch (cause) {
    exitWithError(`cannot start: ${(cause as Error).message}`, EXIT_FAILED);
  }
}

void main();
