/** Reads processor time and memory of child processes from `/proc`. */
import { readdirSync, readFileSync } from "node:fs";
import process from "node:process";

/** Resource use of a process since its start. */
export interface ProcessUse {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** `USER_HZ`, which is fixed in Linux's interface to user space. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
/**
 * Indexes of fields in `/proc/<pid>/stat`, counted after the process name, as
 * that may contain spaces.
 */
const PARENT_INDEX = 1;
const USER_TICKS_INDEX = 11;
const SYSTEM_TICKS_INDEX = 12;
const RESIDENT_PAGES_INDEX = 21;

/**
 * Returns the process id of the child that was started with `argument`.
 * @throws {RangeError} if there is none
 */
export function findChildPid(argument: string): number {
  for (const entry of readdirSync("/proc")) {
    const pid = Number(entry);
    if (!Number.isInteger(pid) || !isChildWith(pid, argument)) continue;
    return pid;
  }
  throw new RangeError(`no child process has the argument ${argument}`);
}

/** Reads the resource use of a process. */
export function readProcessUse(pid: number): ProcessUse {
  const fields = readStat(pid);
  const ticks = Number(fields[USER_TICKS_INDEX]) +
    Number(fields[SYSTEM_TICKS_INDEX]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(fields[RESIDENT_PAGES_INDEX]) * PAGE_BYTES,
  };
}

function isChildWith(pid: number, argument: string): boolean {
  try {
    if (Number(readStat(pid)[PARENT_INDEX]) !== process.pid) return false;
    const command = readFileSync(`/proc/${pid}/cmdline`, "utf8").split("\0");
    return command.includes(argument);
  } catch {
    // The process has ended, or its files cannot be read.
    return false;
  }
}

function readStat(pid: number): string[] {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  return text.slice(text.lastIndexOf(")") + 2).split(" ");
}
