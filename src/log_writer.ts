/**
 * Writes log lines to a stream without ever waiting for its reader.
 *
 * Lines beyond a rate, or beyond what the reader has left unread, are dropped
 * and counted; the next line that goes out is preceded by the count.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import type { Writable } from "node:stream";

/** Options of a writer. */
export interface LogWriterOptions {
  readonly stream: Pick<Writable, "write" | "writableLength">;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Lines a second. */
  readonly linesPerSecond: number;
  /** Bytes that may wait for the reader. */
  readonly maxWaitingBytes?: number;
  /** Renders the line that says how many were dropped. */
  readonly renderDropped: (count: number) => string;
}

/** Writes lines; see the module. */
export interface LogWriter {
  write(line: string): void;
  /** Lines that were dropped so far. */
  readonly dropped: number;
}

/** A few seconds of lines at the usual rate. */
const MAX_WAITING_BYTES = 262_144;
/** Lines that may come at once, in seconds of the rate. */
const BURST_SECONDS = 2;
const MS_PER_SECOND = 1_000;

/** Creates a writer. */
export function createLogWriter(
  {
    stream,
    clock,
    linesPerSecond,
    maxWaitingBytes = MAX_WAITING_BYTES,
    renderDropped,
  }: LogWriterOptions,
): LogWriter {
  const burst = linesPerSecond * BURST_SECONDS;
  let tokens = burst;
  let refilledAt = clock();
  let dropped = 0;
  let unreported = 0;

  function refill(): void {
    const now = clock();
    const gained = (now - refilledAt) / MS_PER_SECOND * linesPerSecond;
    tokens = Math.min(burst, tokens + gained);
    refilledAt = now;
  }

  return {
    get dropped() {
      return dropped;
    },
    write(line) {
      refill();
      if (tokens < 1 || stream.writableLength > maxWaitingBytes) {
        dropped++;
        unreported++;
        return;
      }
      tokens--;
      if (unreported > 0) {
        stream.write(renderDropped(unreported) + "\n");
        unreported = 0;
      }
      stream.write(line + "\n");
    },
  };
}

/** Creates a writer of JSON lines to standard output. */
export function createStdoutLogWriter(
  { router, linesPerSecond }: { router: string; linesPerSecond: number },
): LogWriter {
  return createLogWriter({
    stream: process.stdout,
    clock: () => performance.now(),
    linesPerSecond,
    renderDropped: (count) =>
      JSON.stringify({
        at: new Date().toISOString(),
        level: "warn",
        router,
        message: "daemon: Log lines were dropped.",
        count,
      }),
  });
}
