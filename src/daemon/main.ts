#!/usr/bin/env node
/**
 * Entry point of `corianderflowd --settings FILE`.
 *
 * Exit codes: 0 after a graceful stop, 1 if the start failed, 2 for settings
 * that can't be used.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { formatSettingFault } from "../config/ini_sections.ts";
import {
  MIN_FLEET_KEY_LENGTH,
  readSettings,
  type Settings,
} from "../config/settings.ts";
import { type Daemon, startDaemon } from "./daemon.ts";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

function fail(message: string, code: number): never {
  process.stderr.write(`corianderflowd: ${message}\n`);
  process.exit(code);
}

function getSettingsFile(): string {
  try {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    if (values.settings !== undefined) return values.settings;
  } catch (cause) {
    fail((cause as Error).message, EXIT_USAGE);
  }
  return fail("usage: corianderflowd --settings FILE", EXIT_USAGE);
}

function readFile(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (cause) {
    return fail(`can't read ${file}: ${(cause as Error).message}`, EXIT_USAGE);
  }
}

function loadSettings(file: string): Settings {
  const settings = readSettings(readFile(file), file);
  if (settings.ok) return settings.val;
  const faults = settings.val.map(formatSettingFault);
  return fail(`${file} can't be used\n${faults.join("\n")}`, EXIT_USAGE);
}

function getFleetKey({ fleet }: Settings): string {
  if (fleet.key !== undefined) return fleet.key;
  const file = fleet.keyFile!;
  const key = readFile(file).trim();
  if (key.length >= MIN_FLEET_KEY_LENGTH) return key;
  const least = `at least ${MIN_FLEET_KEY_LENGTH} characters`;
  return fail(`the fleet key in ${file} must have ${least}`, EXIT_USAGE);
}

function stopOnSignals(daemon: Daemon): void {
  let isStopping = false;
  function stop(): void {
    if (isStopping) return;
    isStopping = true;
    void daemon.stop().then(() => process.exit(0));
  }
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

async function main(): Promise<void> {
  const settings = loadSettings(getSettingsFile());
  try {
    const daemon = await startDaemon({
      settings,
      fleetKey: getFleetKey(settings),
    });
    stopOnSignals(daemon);
    const { callers: listening } = settings.listen;
    process.stdout.write(JSON.stringify({ listening }) + "\n");
  } catch (cause) {
    fail(`can't start: ${(cause as Error).message}`, EXIT_FAILED);
  }
}

void main();
