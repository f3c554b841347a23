/**
 * Structured logs with a fixed message prefix per component of the daemon.
 */
import { Logger } from "tslog";
import { createStdoutLogWriter } from "./log_writer.ts";

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
  /** Receives each JSON line; standard output with a rate limit by default. */
  write?: (line: string) => void;
}

const LEVEL_IDS: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
};

/** Lines above this rate are dropped and counted. */
const MAX_LINES_PER_SECOND = 2_000;

function createDefaultWrite(router: string): (line: string) => void {
  const linesPerSecond = MAX_LINES_PER_SECOND;
  const writer = createStdoutLogWriter({ router, linesPerSecond });
  return (line) => writer.write(line);
}

/** Creates the factory of the component logs of one router. */
export function createLogFactory(
  {
    router,
    level = "info",
    format = "json",
    write = createDefaultWrite(router),
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
      write(JSON.stringify({ at, level, router, ...rest }));
    });
  }
  return (part) => createLog(root, part);
}

function createLog(
  root: Logger<Record<string, unknown>>,
  part: LogComponent,
): Log {
  function createRecord(message: string, fields: LogFields = {}) {
    return { message: `${part}: ${message}`, ...fields };
  }
  return {
    debug: (message, fields) => root.debug(createRecord(message, fields)),
    info: (message, fields) => root.info(createRecord(message, fields)),
    warn: (message, fields) => root.warn(createRecord(message, fields)),
    error: (message, fields) => root.error(createRecord(message, fields)),
  };
}

/** Log that discards all lines. */
export const SILENT_LOG: Log = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
