/**
 * The commands that read router logs: `trace` and `failures`.
 */
import { readFile } from "node:fs/promises";
import process from "node:process";
import { text as readText } from "node:stream/consumers";
import { Args, Flags } from "@oclif/core";
import { ReportingCommand } from "../base_command.ts";
import { CommandFailure } from "../command_failure.ts";
import {
  countFailures,
  formatFailures,
  formatTrace,
  type LogLine,
  parseLog,
  traceRequest,
} from "../log_analysis.ts";

const LOG_FLAGS = {
  log: Flags.string({
    description: "file with router logs; the same as a FILE argument",
    helpValue: "FILE",
    multiple: true,
    aliases: ["logs"],
  }),
};
const FILE_ARGUMENT = Args.string({
  description: "files with router logs; standard input without any",
  // oclif would take what it reads there as the name of the file.
  ignoreStdin: true,
});

async function readLogs(files: readonly string[] = []): Promise<LogLine[]> {
  if (files.length === 0) return parseLog(await readText(process.stdin));
  try {
    const texts = await Promise.all(
      files.map((file) => readFile(file, "utf8")),
    );
    return texts.flatMap(parseLog);
  } catch (cause) {
    throw new CommandFailure("bad-input", (cause as Error).message);
  }
}

/** `cflow trace REQUEST [FILE...]`. */
export class Trace extends ReportingCommand {
  static override summary =
    "Show the log lines about a request and their context.";
  static override usage = "trace REQUEST [FILE...]";
  static override examples = ["cflow trace 9c41d07be2a35f68 router-1.log"];
  static override args = {
    request: Args.string({
      required: true,
      description: "id of the request",
      ignoreStdin: true,
    }),
    file: FILE_ARGUMENT,
  };
  static override flags = LOG_FLAGS;
  // Allows several files.
  static override strict = false;

  async run() {
    const { argv, flags } = await this.parse(Trace);
    const [request = "", ...files] = argv as string[];
    const lines = await readLogs([...files, ...flags.log ?? []]);
    const trace = traceRequest(lines, request);
    if (trace.length === 0) {
      throw new CommandFailure(
        "refused",
        `No log line has request id ${request}.`,
      );
    }
    this.log(formatTrace(trace));
    return { story: trace };
  }
}

/** `cflow failures [FILE...]`. */
export class Failures extends ReportingCommand {
  static override summary = "Count the requests in logs that failed, by cause.";
  static override usage = "failures [FILE...]";
  static override examples = ["cflow failures router-1.log router-2.log"];
  static override args = {
    file: FILE_ARGUMENT,
  };
  static override flags = LOG_FLAGS;
  // Allows several files.
  static override strict = false;

  async run() {
    const { argv, flags } = await this.parse(Failures);
    const files = [...argv as string[], ...flags.log ?? []];
    const failures = countFailures(await readLogs(files));
    this.log(formatFailures(failures));
    return { failures };
  }
}
