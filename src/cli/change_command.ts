/**
 * What the commands that change the configuration share: the commit and the
 * wait until it is in force.
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

/** What a change came to. */
export interface ChangeReport {
  /** False if the configuration was so already. */
  readonly changed: boolean;
  /** Version that holds the change. */
  readonly version: number;
  /** Id of the entry; absent if nothing was changed. */
  readonly id?: string;
  /** Absent without a wait. */
  readonly rollout?: Rollout;
}

/** A change that an operator asks for. */
export interface ChangeRequest {
  readonly settings: OperatorSettings;
  readonly wait: boolean;
  /** Version that the operator saw; the newest if absent. */
  readonly basedOn?: number;
  /** Returns the change, or undefined if it holds already. */
  readonly createChange: (configuration: Configuration) => Change | undefined;
}

/** Base of the commands that change the configuration. */
export abstract class ChangeCommand extends BaseCommand {
  static override baseFlags = {
    ...BaseCommand.baseFlags,
    wait: Flags.boolean({
      description: "wait until the routers have the change in force",
      default: true,
      allowNo: true,
    }),
  };

  protected async change(request: ChangeRequest): Promise<ChangeReport> {
    const { settings, wait } = request;
    const author = requireName(settings);
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
      this.warn("No router is named, so whether it's in force isn't known.");
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
    const details = describeRollout(rollout);
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
  const configuration = await readNewest(store);
  const change = createChange(configuration);
  const { version } = configuration;
  if (change === undefined) return { changed: false, version };
  const entry = await store.commit(author, change, {
    basedOn: basedOn ?? version,
  });
  if (entry.err) throw toCommitFailure(entry.val);
  return { changed: true, version: entry.val.version, id: entry.val.id };
}

/** Reads the newest configuration or throws the command's failure. */
export async function readNewest(
  store: ConfigurationStore,
): Promise<Configuration> {
  const configuration = await store.read(EMPTY_CONFIGURATION);
  if (configuration.err) throw toReadFailure(configuration.val);
  return configuration.val;
}

/** Writes the entries of a history without what is secret or long. */
export function summarizeEntry({ change, ...entry }: Entry) {
  return { ...entry, kind: change.kind, what: formatChange(change) };
}

function requireName({ name }: OperatorSettings): string {
  if (name !== undefined) return name;
  const message = "A change needs an author. Give --operator NAME or " +
    "--settings FILE with name under [operator].";
  throw new CommandFailure("bad-input", message);
}

function describeRollout({ behind, unreachable }: Rollout): string[] {
  return [
    ...behind.map(({ name, version }) => `${name} is at version ${version}`),
    ...unreachable.map(({ address, detail }) =>
      `${address} gave no answer: ${detail}`
    ),
  ];
}
