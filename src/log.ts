/**
 * Structured logs with a fixed message prefix per component of the daemon.
 */
import { Logger } from "tslog";
import { createStdoutLogWriter, type LogWriter } from "./log_writer.ts";

/** Component of the daemon that a log line comes from. */
export type LogComponent =
  | "daemon"
  | "config"
  | "peers"
  | "registry"
  | "pool"
  | "route"
  | "place"
  | "idempotency"
  | "upstream"
  | "hosts"
  | "rollout"
  | "invariant";

/** Severity of a log line, lowest first. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of a log line in addition to its message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes the log lines of one component. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Creates the log of a component. */
export type LogFactory = (part: LogComponent) => Log;

/** Options for `createLogFactory`. */
export interface LogOptions {
  /** Name of this router, written on each JSON line. */
  router: string;
  /** Lowest level that is written; `info` by default. */
  level?: LogLevel;
  format?: "json" | "pretty";
  /** Writes the JSON lines; standard output with a rate limit by default. */
  writer?: LineWriter;
  /** Receives each JSON line in place of a writer. */
  write?: (line: string) => void;
}

type LineWriter = Pick<LogWriter, "write" | "isReaderLost" | "drop">;

const LEVEL_IDS: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
};

/** Lines above this rate are dropped and counted. */
const MAX_LINES_PER_SECOND = 2_000;

function createDefaultWriter(router: string): LineWriter {
  const linesPerSecond = MAX_LINES_PER_SECOND;
  return createStdoutLogWriter({ router, linesPerSecond });
}

function createCallbackWriter(write: (line: string) => void): LineWriter {
  return { write, isReaderLost: () => false, drop() {} };
}

/** Creates the factory of the component logs of one router. */
export function createLogFactory(
  {
    router,
    level = "info",
    format = "json",
    write,
    writer = write === undefined
      ? createDefaultWriter(router)
      : createCallbackWriter(write),
  }: LogOptions,
): LogFactory {
  const root = new Logger<Record<string, unknown>>({
    type: format === "json" ? "hidden" : "pretty",
    hideLogPositionForProduction: true,
    minLevel: LEVEL_IDS[level],
  });
  if (format === "json") {
    root.attachTransport((record) => {
      const { _meta: meta, ...rest } = record;
      const { date, logLevelName } = meta as {
        date: Date;
        logLevelName: string;
      };
      const at = date.toISOString();
      const level = logLevelName.toLowerCase();
      writer.write(JSON.stringify({ at, level, router, ...rest }));
    });
  }
  return (part) => createLog(part, { root, writer, minLevel: level });
}

function createLog(
  part: LogComponent,
  { root, writer, minLevel }: {
    root: Logger<Record<string, unknown>>;
    writer: LineWriter;
    minLevel: LogLevel;
  },
): Log {
  function createMethod(level: LogLevel): Log[LogLevel] {
    if (LEVEL_IDS[level] < LEVEL_IDS[minLevel]) return () => {};
    return (message, fields = {}) => {
      if (writer.isReaderLost()) writer.drop();
      else root[level]({ message: `${part}: ${message}`, ...fields });
    };
  }
  return {
    debug: createMethod("debug"),
    info: createMethod("info"),
    warn: createMethod("warn"),
    error: createMethod("error"),
  };
}

/** Log that discards all lines. */
export const SILENT_LOG: Log = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
