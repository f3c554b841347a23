#!/usr/bin/env node
/**
 * Entry of `cflow`, the operators' command line.
 *
 * Exit codes: 0 fine, 1 refused or lost a race, 2 wrong command line or file,
 * 3 the platform or the routers can't be reached, 4 the outcome is unknown.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { flush, type Interfaces, run, settings } from "@oclif/core";
import { formatError, getExitCode } from "./base_command.ts";

/** The package's root, from `dist/src/cli`. */
const ROOT = join(__dirname, "../../..");

const TOPICS = {
  "failure-domain": { description: "Take failure domains out and back in." },
  "host": { description: "Take hosts out and back in." },
  "manifest": { description: "Check, compare, apply and show manifests." },
};

/** Reads the package's description, with the commands by their table. */
function readPackage(): Interfaces.PJSON {
  const text = readFileSync(join(ROOT, "package.json"), "utf8");
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
    const pjson = readPackage();
    await run(process.argv.slice(2), { root: ROOT, pjson });
  } catch (error) {
    process.exitCode = getExitCode(error);
    if (process.exitCode !== 0) {
      process.stderr.write(`cflow: ${formatError(error)}\n`);
    }
  }
  await flush();
}

void main();
