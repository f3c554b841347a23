/**
 * What the commands of `cflow` share: flags, settings and how failures end.
 */
import process from "node:process";
import { Command, Flags } from "@oclif/core";
import type { Result } from "ts-results/result";
import type { ConfigurationStore } from "../config/configuration_store.ts";
import { CommandFailure } from "./command_failure.ts";
import {
  type OperatorFlags,
  type OperatorSettings,
  readOperatorSettings,
} from "./operator_settings.ts";
import { createRouterClient, type RouterClient } from "./router_client.ts";
import { openStore } from "./session.ts";

const USAGE_EXIT_CODE = 2;
/** A crash leaves open what has been done. */
const CRASH_EXIT_CODE = 4;

/** Base of all commands; `--json` is taken by each. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  static override baseFlags = {
    "settings": Flags.string({
      description: "INI file with [platform] and [operator]",
      env: "CFLOW_SETTINGS",
      helpValue: "FILE",
    }),
    "key-value": Flags.string({
      description: "addresses of the key-value service",
      helpValue: "IP:PORT,...",
    }),
    "routers": Flags.string({
      description: "caller addresses of the routers",
      helpValue: "IP:PORT,...",
    }),
    "operator": Flags.string({
      description: "author of the change",
      helpValue: "NAME",
    }),
  };

  protected async readSettings(
    flags: OperatorFlags,
  ): Promise<OperatorSettings> {
    return unwrap(await readOperatorSettings(flags));
  }

  /** Runs `act` on the store and closes the connection whatever happens. */
  protected async withStore<T>(
    { keyValue }: OperatorSettings,
    act: (store: ConfigurationStore) => Promise<T>,
  ): Promise<T> {
    const session = unwrap(await openStore(keyValue));
    try {
      return await act(session.store);
    } finally {
      await session.close();
    }
  }

  /** Runs `act` on the routers, of which there has to be one. */
  protected async withRouters<T>(
    { routers }: OperatorSettings,
    act: (client: RouterClient) => Promise<T>,
  ): Promise<T> {
    if (routers.length === 0) {
      const message = "No router is named. Give --routers IP:PORT,... or " +
        "--settings FILE with routers under [operator].";
      throw new CommandFailure("bad-input", message);
    }
    const client = createRouterClient();
    try {
      return await act(client);
    } finally {
      await client.close();
    }
  }

  protected override catch(error: Error): Promise<void> {
    process.exitCode = getExitCode(error);
    if (!this.jsonEnabled()) throw error;
    this.logJson({ error: toJson(error) });
    // Keeps the library from warning that the command line wasn't parsed.
    this.parsed = true;
    return Promise.resolve();
  }
}

/** Returns the value of a result or throws its failure. */
export function unwrap<T>(result: Result<T, CommandFailure>): T {
  if (result.ok) return result.val;
  throw result.val;
}

/** Exit code for what a command threw. */
export function getExitCode(error: unknown): number {
  if (error instanceof CommandFailure) return error.exitCode;
  const { oclif } = error as { oclif?: { exit?: number } };
  if (oclif?.exit === 0) return 0;
  // The library ends with several codes for a command line that is wrong.
  return oclif === undefined ? CRASH_EXIT_CODE : USAGE_EXIT_CODE;
}

/** Writes what a command threw as lines of text. */
export function formatError(error: unknown): string {
  if (error instanceof CommandFailure) {
    return [error.message, ...error.details.map((line) => `  ${line}`)]
      .join("\n");
  }
  const { oclif, message, stack } = error as Error & { oclif?: unknown };
  return oclif === undefined ? stack ?? message : message;
}

function toJson(error: Error): Record<string, unknown> {
  if (!(error instanceof CommandFailure)) {
    const kind = getExitCode(error) === USAGE_EXIT_CODE
      ? "bad-input"
      : "outcome-unknown";
    return { kind, message: error.message };
  }
  const { kind, message, details, data } = error;
  return { kind, message, details, ...data };
}
