/**
 * The run command of the routers, and the memory that their processes took.
 */
import { readFileSync } from "node:fs";

const SYSTEM_FILE = "deploy/system.toml";
const BYTES_PER_KB = 1_024;

/** Returns the options of Node in the run command of the routers. */
export function readNodeFlags(): string[] {
  const text = readFileSync(SYSTEM_FILE, "utf8");
  const [, command = ""] = /^run = "node (.*)"$/m.exec(text) ?? [];
  return command.split(" ").filter((part) => part.startsWith("--"));
}

/**
 * Returns the largest memory of a process so far in bytes, as the kernel counts
 * it; undefined if it has ended.
 */
export function readPeakBytes(pid: number): number | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const [, kilobytes] = /^VmHWM:\s+(\d+) kB/m.exec(status) ?? [];
    return kilobytes === undefined
      ? undefined
      : Number(kilobytes) * BYTES_PER_KB;
  } catch {
    // The process has ended.
    return undefined;
  }
}
