/**
 * Writes log lines to a stream without waiting for a slow reader.
 *
 * Lines above a rate limit, or while too many bytes are buffered for the
 * reader, are dropped and counted. The count is written before the next line
 * that is not dropped. Lines that can't be written, because the reader is gone
 * or the disk is full, are dropped too, with all lines of the next second.
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import type { Writable } from "node:stream";

/** The part of a stream to which lines are written. */
export interface LogStream extends Pick<Writable, "writableLength"> {
  write(text: string, callback: (cause?: Error | null) => void): boolean;
}

/** Options for `createLogWriter`. */
export interface LogWriterOptions {
  readonly stream: LogStream;
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
  /**
   * Whether lines are dropped because the last ones could not be written. A
   * caller need not render a line then, and counts it by `drop`.
   */
  isReaderLost(): boolean;
  /** Counts a line that was not rendered. */
  drop(): void;
  /** Number of lines dropped since the writer was created. */
  readonly droppedLines: number;
}

/** Holds a few seconds of lines at the usual rate. */
const MAX_BUFFERED_BYTES = 262_144;
/** Largest burst of lines, in seconds of the rate limit. */
const BURST_SECONDS = 2;
/**
 * Time in which no line is written after one could not be, in milliseconds. The
 * reader of a named pipe may return, and a full disk may get room.
 */
const LOST_READER_PAUSE_MS = 1_000;
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
  let lostUntil = -Infinity;

  function refill(): void {
    const now = clock();
    const addedTokens = (now - lastRefillAt) / MS_PER_SECOND * linesPerSecond;
    tokens = Math.min(maxTokens, tokens + addedTokens);
    lastRefillAt = now;
  }

  function drop(count = 1): void {
    dropped += count;
    unreportedDropped += count;
  }

  function recordLostReader(): void {
    lostUntil = clock() + LOST_READER_PAUSE_MS;
  }

  function writeLine(line: string, onFailure: () => void): void {
    function finish(cause?: Error | null): void {
      if (!cause) return;
      recordLostReader();
      onFailure();
    }
    try {
      stream.write(line + "\n", finish);
    } catch (cause) {
      // A stream of a file may throw instead of calling back.
      finish(cause as Error);
    }
  }

  function writeDropReport(): void {
    const count = unreportedDropped;
    unreportedDropped = 0;
    writeLine(renderDropReport(count), () => {
      unreportedDropped += count;
    });
  }

  return {
    get droppedLines() {
      return dropped;
    },
    isReaderLost: () => clock() < lostUntil,
    drop: () => drop(),
    write(line) {
      refill();
      const isLost = lastRefillAt < lostUntil;
      if (
        isLost || tokens < 1 || stream.writableLength > maxBufferedBytes
      ) {
        drop();
        return;
      }
      tokens--;
      if (unreportedDropped > 0) writeDropReport();
      writeLine(line, () => drop());
    },
  };
}

/**
 * Keeps the loss of the reader of `stream` (EPIPE, EIO) from ending the
 * process. Who writes learns of it from the callback of `write`, and the
 * stream's own event has nothing to add.
 */
export function tolerateLostReader(stream: Writable): void {
  if (!stream.listeners("error").includes(ignoreLostReader)) {
    stream.on("error", ignoreLostReader);
  }
}

function ignoreLostReader(): void {}

/** Creates a writer to standard output that reports drops as JSON lines. */
export function createStdoutLogWriter(
  { router, linesPerSecond }: { router: string; linesPerSecond: number },
): LogWriter {
  tolerateLostReader(process.stdout);
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
