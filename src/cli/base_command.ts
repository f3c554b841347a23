/**
 * Base classes of the `cflow` commands: common flags, settings, connections and
 * the reporting of errors.
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
import { openStore } from "./store_session.ts";

const USAGE_EXIT_CODE = 2;
/** An unexpected error doesn't tell whether the command took effect. */
const UNEXPECTED_ERROR_EXIT_CODE = 4;

/** Base class of all commands; each accepts `--json` and reports its errors. */
export abstract class ReportingCommand extends Command {
  static override enableJsonFlag = true;

  protected override catch(error: Error): Promise<void> {
    process.exitCode = getExitCode(error);
    if (!this.jsonEnabled()) throw error;
    this.logJson({ error: toJson(error) });
    // oclif warns about a command that ends without a parsed command line.
    this.parsed = true;
    return Promise.resolve();
  }
}

/** Base class of the commands that use the platform or the routers. */
export abstract class BaseCommand extends ReportingCommand {
  static override baseFlags = {
    "settings": Flags.string({
      description: "INI file with sections [platform] and [operator]",
      env: "CFLOW_SETTINGS",
      helpValue: "FILE",
    }),
    "key-value": Flags.string({
      description: "addresses of the key-value service",
      helpValue: "IP:PORT,...",
    }),
    "routers": Flags.string({
      description: "addresses at which the routers serve callers",
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

  /**
   * Runs `action` with an open store and closes the connection even if it
   * throws.
   *
   * @throws CommandFailure if no address of the store is given or none answers
   */
  protected async withStore<T>(
    { keyValue }: OperatorSettings,
    action: (store: ConfigurationStore) => Promise<T>,
  ): Promise<T> {
    const session = unwrap(await openStore(keyValue));
    try {
      return await action(session.store);
    } finally {
      await session.close();
    }
  }

  /**
   * Runs `action` with a router client and closes the client even if it throws.
   *
   * @throws CommandFailure if the settings have no router address
   */
  protected async withRouters<T>(
    { routers }: OperatorSettings,
    action: (client: RouterClient) => Promise<T>,
  ): Promise<T> {
    if (routers.length === 0) {
      const message = "No router address is configured. Pass --routers " +
        "IP:PORT,... or --settings FILE with routers under [operator].";
      throw new CommandFailure("bad-input", message);
    }
    const client = createRouterClient();
    try {
      return await action(client);
    } finally {
      await client.close();
    }
  }
}

/**
 * Returns the value of a result.
 *
 * @throws CommandFailure if the result is an error
 */
export function unwrap<T>(result: Result<T, CommandFailure>): T {
  if (result.ok) return result.val;
  throw result.val;
}

/** Returns the exit code of the process for an error thrown by a command. */
export function getExitCode(error: unknown): number {
  if (error instanceof CommandFailure) return error.exitCode;
  const { oclif } = error as { oclif?: { exit?: number } };
  if (oclif?.exit === 0) return 0;
  // oclif uses several exit codes for an invalid command line.
  return oclif === undefined ? UNEXPECTED_ERROR_EXIT_CODE : USAGE_EXIT_CODE;
}

/** Formats an error thrown by a command as one or more lines of text. */
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
