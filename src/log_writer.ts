/**
 * Writes log lines to a stream without waiting for a slow reader.
 *
 * Lines above a rate limit, or while too many bytes are buffered for the
 * reader, are dropped and counted. The count is written before the next line
 * that is not dropped.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import type { Writable } from "node:stream";

/** Options for `createLogWriter`. */
export interface LogWriterOptions {
  readonly stream: Pick<Writable, "write" | "writableLength">;
  /** Returns the monotonic time in milliseconds. */
  readonly clock: () => number;
  /** Rate limit, in lines per second. */
  readonly linesPerSecond: number;
  /** Lines are dropped while the stream buffers more bytes than this. */
  readonly maxBufferedBytes?: number;
  /** Renders the line that reports how many lines were dropped. */
  readonly renderDropReport: (count: number) => string;
}

/** Writes log lines and drops those above its limits. */
export interface LogWriter {
  write(line: string): void;
  /** Number of lines dropped since the writer was created. */
  readonly droppedLines: number;
}

/** Holds a few seconds of lines at the usual rate. */
const MAX_BUFFERED_BYTES = 262_144;
/** Largest burst of lines, in seconds of the rate limit. */
const BURST_SECONDS = 2;
const MS_PER_SECOND = 1_000;

/** Creates a writer with a token-bucket rate limit. */
export function createLogWriter(
  {
    stream,
    clock,
    linesPerSecond,
    maxBufferedBytes = MAX_BUFFERED_BYTES,
    renderDropReport,
  }: LogWriterOptions,
): LogWriter {
  const maxTokens = linesPerSecond * BURST_SECONDS;
  let tokens = maxTokens;
  let lastRefillAt = clock();
  let dropped = 0;
  let unreportedDropped = 0;

  function refill(): void {
    const now = clock();
    const addedTokens = (now - lastRefillAt) / MS_PER_SECOND * linesPerSecond;
    tokens = Math.min(maxTokens, tokens + addedTokens);
    lastRefillAt = now;
  }

  return {
    get droppedLines() {
      return dropped;
    },
    write(line) {
      refill();
      if (tokens < 1 || stream.writableLength > maxBufferedBytes) {
        dropped++;
        unreportedDropped++;
        return;
      }
      tokens--;
      if (unreportedDropped > 0) {
        stream.write(renderDropReport(unreportedDropped) + "\n");
        unreportedDropped = 0;
      }
      stream.write(line + "\n");
    },
  };
}

/** Creates a writer to standard output that reports drops as JSON lines. */
export function createStdoutLogWriter(
  { router, linesPerSecond }: { router: string; linesPerSecond: number },
): LogWriter {
  return createLogWriter({
    stream: process.stdout,
    clock: () => performance.now(),
    linesPerSecond,
    renderDropReport: (count) =>
      JSON.stringify({
        at: new Date().toISOString(),
        level: "warn",
        router,
        message: "daemon: Log lines were dropped.",
        count,
      }),
  });
}
