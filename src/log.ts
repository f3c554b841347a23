/**
 * Structured logs with a fixed prefix for each part of the daemon.
 */
import { Logger } from "tslog";
import { createStdoutLogWriter } from "./log_writer.ts";

/** Part of the daemon that a log line comes from. */
export type Part =
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

/** Severity of a log line, least first. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of a log line besides its sentence. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes the lines of one part. */
export interface Log {
  debug(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  error(sentence: string, fields?: LogFields): void;
}

/** Creates the log of a part. */
export type LogFactory = (part: Part) => Log;

/** Settings of the logs. */
export interface LogOptions {
  router: string;
  level?: LogLevel;
  format?: "json" | "pretty";
  write?: (line: string) => void;
}

const LEVEL_IDS: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
};

/** Lines a second beyond which lines are dropped and counted. */
const LINES_PER_SECOND = 2_000;

function createDefaultWrite(router: string): (line: string) => void {
  const linesPerSecond = LINES_PER_SECOND;
  const writer = createStdoutLogWriter({ router, linesPerSecond });
  return (line) => writer.write(line);
}

/** Creates the factory from which each part takes its log. */
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

function createLog(root: Logger<Record<string, unknown>>, part: Part): Log {
  function line(sentence: string, fields: LogFields = {}) {
    return { message: `${part}: ${sentence}`, ...fields };
  }
  return {
    debug: (sentence, fields) => root.debug(line(sentence, fields)),
    info: (sentence, fields) => root.info(line(sentence, fields)),
    warn: (sentence, fields) => root.warn(line(sentence, fields)),
    error: (sentence, fields) => root.error(line(sentence, fields)),
  };
}

/** Log that drops every line. */
export const SILENT_LOG: Log = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
