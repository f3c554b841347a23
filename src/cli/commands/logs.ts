/**
 * The commands that read router logs: `trace` and `failures`.
 */
import { readFile } from "node:fs/promises";
import process from "node:process";
import { text as readText } from "node:stream/consumers";
import { Args, Flags } from "@oclif/core";
import { BaseCommand } from "../base_command.ts";
import { CommandFailure } from "../command_failure.ts";
import {
  countFailures,
  formatFailures,
  formatTrace,
  type LogLine,
  parseLog,
  traceRequest,
} from "../log_analysis.ts";

const logFlag = Flags.string({
  description: "file with router logs; standard input if absent",
  helpValue: "FILE",
  multiple: true,
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

/** `cflow trace REQUEST --log FILE`. */
export class Trace extends BaseCommand {
  static override summary =
    "Show the log lines about a request and their context.";
  static override args = {
    request: Args.string({ required: true, description: "id of the request" }),
  };
  static override flags = { log: logFlag };

  async run() {
    const { args: { request }, flags } = await this.parse(Trace);
    const trace = traceRequest(await readLogs(flags.log), request);
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

/** `cflow failures --log FILE`. */
export class Failures extends BaseCommand {
  static override summary = "Count the requests in logs that failed, by cause.";
  static override flags = { log: logFlag };

  async run() {
    const { flags } = await this.parse(Failures);
    const failures = countFailures(await readLogs(flags.log));
    this.log(formatFailures(failures));
    return { failures };
  }
}
