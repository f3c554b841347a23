#!/usr/bin/env node
/**
 * Entry point of `cflow`, the operators' command line.
 *
 * Exit codes: 0 success, 1 the change was refused or conflicts with another,
 * 2 invalid command line or file, 3 the platform or the routers can't be
 * reached, 4 the outcome is unknown.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { flush, type Interfaces, run, settings } from "@oclif/core";
import { formatError, getExitCode } from "./base_command.ts";

/** Root directory of the package, relative to the compiled `dist/src/cli`. */
const PACKAGE_ROOT = join(__dirname, "../../..");

const TOPICS = {
  "failure-domain": {
    description: "Take failure domains out of service and bring them back.",
  },
  "host": { description: "Take hosts out of service and bring them back." },
  "manifest": { description: "Check, compare, apply and show manifests." },
};

/** Reads `package.json` and adds the commands and topics for oclif. */
function readPackageJson(): Interfaces.PJSON {
  const text = readFileSync(join(PACKAGE_ROOT, "package.json"), "utf8");
  const description = JSON.parse(text) as Interfaces.PJSON;
  const commands = {
    strategy: "explicit",
    target: "./dist/src/cli/command_table.js",
    identifier: "COMMANDS",
  } as const;
  return {
    ...description,
    oclif: { ...description.oclif, commands, topics: TOPICS },
  };
}

async function main(): Promise<void> {
  settings.enableAutoTranspile = false;
  try {
    const pjson = readPackageJson();
    await run(process.argv.slice(2), { root: PACKAGE_ROOT, pjson });
  } catch (error) {
    process.exitCode = getExitCode(error);
    if (process.exitCode !== 0) {
      process.stderr.write(`cflow: ${formatError(error)}\n`);
    }
  }
  await flush();
}

void main();
