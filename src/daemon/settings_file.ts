/**
 * Reads a settings file that may be being written.
 */
import { readFileSync, statSync } from "node:fs";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Err, Ok, type Result } from "ts-results/result";
import {
  getSettingsStep,
  hasEndLine,
  SETTINGS_PAUSE_MS,
} from "../policy/settings_wait.ts";

/** Settings that can't be used. */
export interface SettingsFailure {
  /** Whether the file could be read. */
  readonly isReadable: boolean;
  /** Faults of the text, or why it could not be read. */
  readonly faults: string;
}

/** Options of `readSettledFile`. */
export interface SettledFileOptions<T> {
  /** Reads the settings in `text`; returns the faults on failure. */
  readonly parse: (text: string) => Promise<Result<T, string>>;
  /** Ends the wait. */
  readonly signal?: AbortSignal;
}

/** What was read from a settings file. */
export interface SettledFile<T> {
  readonly result: Result<T, SettingsFailure>;
  /** Time for which the file was read again, in milliseconds. */
  readonly waitedMs: number;
}

/**
 * Reads `file` and, while it is missing, invalid or possibly cut off, reads it
 * again for a bounded time. Valid and complete settings are returned at once.
 */
export async function readSettledFile<T>(
  file: string,
  { parse, signal }: SettledFileOptions<T>,
): Promise<SettledFile<T>> {
  const startedAt = performance.now();
  let changedAt = startedAt;
  let previous: string | undefined;
  while (true) {
    const text = readText(file);
    const now = performance.now();
    const value = text.ok ? text.val : undefined;
    if (value !== previous) changedAt = now;
    previous = value;
    const result = text.ok ? await parseText(text.val, parse) : text;
    const step = getSettingsStep({
      isValid: result.ok,
      isComplete: value !== undefined && hasEndLine(value),
      unchangedMs: Math.max(now - changedAt, getFileAgeMs(file)),
      waitedMs: now - startedAt,
    });
    const waitedMs = Math.round(now - startedAt);
    if (step !== "read-again" || !isReadAgain(file)) {
      return { result, waitedMs };
    }
    await pause(signal);
    if (signal?.aborted) return { result, waitedMs };
  }
}

function readText(file: string): Result<string, SettingsFailure> {
  try {
    return Ok(readFileSync(file, "utf8"));
  } catch (cause) {
    return Err({ isReadable: false, faults: (cause as Error).message });
  }
}

async function parseText<T>(
  text: string,
  parse: SettledFileOptions<T>["parse"],
): Promise<Result<T, SettingsFailure>> {
  const parsed = text.trim() === ""
    ? Err("the file is empty")
    : await parse(text);
  return parsed.mapErr((faults) => ({ isReadable: true, faults }));
}

/** Time since `file` was written by the wall clock; 0 if it is unknown. */
function getFileAgeMs(file: string): number {
  try {
    return Date.now() - statSync(file).mtimeMs;
  } catch {
    // The file is missing for the moment.
    return 0;
  }
}

/** Whether `file` can be read again; a pipe can't. */
function isReadAgain(file: string): boolean {
  try {
    return statSync(file).isFile();
  } catch {
    // The file is missing for the moment.
    return true;
  }
}

async function pause(signal: AbortSignal | undefined): Promise<void> {
  try {
    await sleep(SETTINGS_PAUSE_MS, undefined, signal ? { signal } : {});
  } catch {
    // Aborted; the caller checks that.
  }
}
