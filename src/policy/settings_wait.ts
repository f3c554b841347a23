/**
 * Decides whether settings that were read are used, read again, or rejected.
 *
 * Load pattern: the platform writes the settings file at the start of many
 * processes and while they run, and a process may read it empty, half written
 * or missing for a moment. Ending then costs the callers a whole restart.
 */

/** Settings as they were read. */
export interface SettingsReading {
  readonly isValid: boolean;
  /**
   * Whether the text ends with the line that marks its end. One that doesn't may
   * be the valid beginning of a longer text.
   */
  readonly isComplete: boolean;
  /** Time since the text last changed, in milliseconds. */
  readonly unchangedMs: number;
  /** Time since the first reading, in milliseconds. */
  readonly waitedMs: number;
}

/** Last line of settings that need not be read again to be complete. */
const END_LINE = "; end of settings";

/** Whether `text` ends with the line that marks its end. */
export function hasEndLine(text: string): boolean {
  return text.trimEnd().split("\n").at(-1)!.trim() === END_LINE;
}

/** What to do with settings that were read. */
export type SettingsStep = "use" | "read-again" | "reject";

/** Pause between two readings, in milliseconds. */
export const SETTINGS_PAUSE_MS = 50;
/** Time after which invalid settings are rejected, in milliseconds. */
export const MAX_SETTINGS_WAIT_MS = 2_000;
/** Longer than a writer pauses between two parts of a file, in milliseconds. */
const SETTLED_MS = 100;

/** Returns the next step. */
export function getSettingsStep(
  { isValid, isComplete, unchangedMs, waitedMs }: SettingsReading,
): SettingsStep {
  if (isValid && (isComplete || unchangedMs >= SETTLED_MS)) return "use";
  if (waitedMs < MAX_SETTINGS_WAIT_MS) return "read-again";
  return isValid ? "use" : "reject";
}
