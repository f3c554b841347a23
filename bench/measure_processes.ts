/** Processor time and memory of processes that this bench started. */
import { readdirSync, readFileSync } from "node:fs";
import process from "node:process";

/** What a process has used so far. */
export interface ProcessUse {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** `USER_HZ`, which Linux fixes for user space. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;
/** Fields of `/proc/<pid>/stat` after the name, which may hold spaces. */
const PARENT_FIELD = 1;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;
const RESIDENT_FIELD = 21;

/** Finds the child of this process whose arguments contain `argument`. */
export function findChild(argument: string): number {
  for (const entry of readdirSync("/proc")) {
    const pid = Number(entry);
    if (!Number.isInteger(pid) || !isChildWith(pid, argument)) continue;
    return pid;
  }
  throw new RangeError(`no child runs with ${argument}`);
}

/** Reads what a process has used. */
export function readUse(pid: number): ProcessUse {
  const fields = readStat(pid);
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(fields[RESIDENT_FIELD]) * PAGE_BYTES,
  };
}

function isChildWith(pid: number, argument: string): boolean {
  try {
    if (Number(readStat(pid)[PARENT_FIELD]) !== process.pid) return false;
    const command = readFileSync(`/proc/${pid}/cmdline`, "utf8").split("\0");
    return command.includes(argument);
  } catch {
    // The process has ended.
    return false;
  }
}

function readStat(pid: number): string[] {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  return text.slice(text.lastIndexOf(")") + 2).split(" ");
}
