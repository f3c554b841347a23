/**
 * Base class of the commands that change the configuration: commits the change
 * and waits until the routers have it in force.
 */
import { Flags } from "@oclif/core";
import {
  type Change,
  type Configuration,
  EMPTY_CONFIGURATION,
  type Entry,
} from "../config/configuration.ts";
import type { ConfigurationStore } from "../config/configuration_store.ts";
import { BaseCommand } from "./base_command.ts";
import {
  CommandFailure,
  formatChange,
  toCommitFailure,
  toReadFailure,
} from "./command_failure.ts";
import type { OperatorSettings } from "./operator_settings.ts";
import { type Rollout, waitForRollout } from "./rollout.ts";

/** Result of a change. */
export interface ChangeReport {
  /** False if the configuration already had the requested state. */
  readonly changed: boolean;
  /** Version of the configuration that contains the change. */
  readonly version: number;
  /** Id of the log entry; absent if nothing was changed. */
  readonly id?: string;
  /** Absent if the command didn't wait for the routers. */
  readonly rollout?: Rollout;
}

/** A change requested by an operator. */
export interface ChangeRequest {
  readonly settings: OperatorSettings;
  /** Whether to wait until the routers have the change in force. */
  readonly wait: boolean;
  /** Version that the change is based on; the newest if absent. */
  readonly basedOn?: number;
  /** Returns the change, or undefined if the configuration needs none. */
  readonly createChange: (configuration: Configuration) => Change | undefined;
}

/** Base class of the commands that change the configuration. */
export abstract class ChangeCommand extends BaseCommand {
  static override baseFlags = {
    ...BaseCommand.baseFlags,
    wait: Flags.boolean({
      description: "wait until the change is in force at the routers",
      default: true,
      allowNo: true,
    }),
  };

  protected async change(request: ChangeRequest): Promise<ChangeReport> {
    const { settings, wait } = request;
    const author = requireAuthor(settings);
    const report = await this.withStore(
      settings,
      (store) => commitChange(store, { ...request, author }),
    );
    this.log(
      report.changed
        ? `Committed as version ${report.version}, id ${report.id}.`
        : `Nothing to change at version ${report.version}.`,
    );
    if (!wait) return report;
    if (settings.routers.length === 0) {
      this.warn(
        "No router address is configured, so it isn't known whether the change " +
          "is in force.",
      );
      return report;
    }
    const rollout = await this.#waitForRollout(settings, report);
    return { ...report, rollout };
  }

  async #waitForRollout(
    settings: OperatorSettings,
    { version, id }: ChangeReport,
  ): Promise<Rollout> {
    const { routers } = settings;
    const rollout = await this.withRouters(
      settings,
      (client) => waitForRollout({ client, routers, version }),
    );
    const details = formatUnconfirmedRouters(rollout);
    if (rollout.behind.length > 0 || rollout.inForce.length === 0) {
      const message = `Version ${version} is committed, but not known to be ` +
        "in force everywhere. Don't repeat the change; look again with: " +
        "cflow status";
      throw new CommandFailure("outcome-unknown", message, {
        details,
        data: { version, id, rollout },
      });
    }
    this.log(`In force at ${rollout.inForce.length} router(s).`);
    for (const line of details) this.warn(line);
    return rollout;
  }
}

async function commitChange(
  store: ConfigurationStore,
  { author, basedOn, createChange }: ChangeRequest & { author: string },
): Promise<ChangeReport> {
  const configuration = await readNewestConfiguration(store);
  const change = createChange(configuration);
  const { version } = configuration;
  if (change === undefined) return { changed: false, version };
  const entry = await store.commit(author, change, {
    basedOn: basedOn ?? version,
  });
  if (entry.err) throw toCommitFailure(entry.val);
  return { changed: true, version: entry.val.version, id: entry.val.id };
}

/**
 * Reads the newest configuration.
 *
 * @throws CommandFailure if the store can't be read
 */
export async function readNewestConfiguration(
  store: ConfigurationStore,
): Promise<Configuration> {
  const configuration = await store.read(EMPTY_CONFIGURATION);
  if (configuration.err) throw toReadFailure(configuration.val);
  return configuration.val;
}

/**
 * Returns a log entry for the output with its change as a short text. The
 * change itself may be long and contain keys of workspaces.
 */
export function summarizeEntry({ change, ...entry }: Entry) {
  return { ...entry, kind: change.kind, what: formatChange(change) };
}

function requireAuthor({ name }: OperatorSettings): string {
  if (name !== undefined) return name;
  const message = "A change needs an author. Pass --operator NAME or " +
    "--settings FILE with name under [operator].";
  throw new CommandFailure("bad-input", message);
}

function formatUnconfirmedRouters({ behind, unreachable }: Rollout): string[] {
  return [
    ...behind.map(({ name, version }) => `${name} is at version ${version}`),
    ...unreachable.map(({ address, detail }) =>
      `${address} gave no answer: ${detail}`
    ),
  ];
}
