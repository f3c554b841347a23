/**
 * The commands that take failure domains and hosts out and bring them back.
 */
import { Args } from "@oclif/core";
import type {
  Change,
  Configuration,
  ServiceState,
} from "../../config/configuration.ts";
import { findRefusal } from "../../config/configuration_rebase.ts";
import { ChangeCommand, type ChangeReport } from "../change_command.ts";

type Kind = "failure-domain" | "host";

abstract class ServiceStateCommand extends ChangeCommand {
  static override args = {
    name: Args.string({ required: true, description: "name in the manifest" }),
  };

  protected abstract readonly kind: Kind;
  protected abstract readonly state: ServiceState;

  async run(): Promise<ChangeReport> {
    // The parser sees only a class's own properties, so they are listed here.
    const { args: { name }, flags } = await this.parse({
      args: ServiceStateCommand.args,
      baseFlags: ServiceStateCommand.baseFlags,
      enableJsonFlag: ServiceStateCommand.enableJsonFlag,
    });
    const settings = await this.readSettings(flags);
    const { kind, state } = this;
    return this.change({
      settings,
      wait: flags.wait,
      createChange: (configuration) =>
        createStateChange(configuration, { kind, name, state }),
    });
  }
}

/** Returns no change if it holds already; an unknown name is left to fail. */
function createStateChange(
  configuration: Configuration,
  change: Extract<Change, { kind: Kind }>,
): Change | undefined {
  const { failureDomainsOut, hostsOut } = configuration;
  const out = change.kind === "host" ? hostsOut : failureDomainsOut;
  const isOut = out.includes(change.name);
  const holds = isOut === (change.state === "out");
  const isRefused = findRefusal(configuration, change) !== undefined;
  return holds && !isRefused ? undefined : change;
}

/** `cflow failure-domain take-out NAME`. */
export class FailureDomainTakeOut extends ServiceStateCommand {
  static override summary = "Give a failure domain no new work.";
  protected override readonly kind = "failure-domain";
  protected override readonly state = "out";
}

/** `cflow failure-domain bring-back NAME`. */
export class FailureDomainBringBack extends ServiceStateCommand {
  static override summary = "Let a failure domain have work again.";
  protected override readonly kind = "failure-domain";
  protected override readonly state = "in";
}

/** `cflow host take-out NAME`. */
export class HostTakeOut extends ServiceStateCommand {
  static override summary = "Give the upstreams of a host no new work.";
  protected override readonly kind = "host";
  protected override readonly state = "out";
}

/** `cflow host bring-back NAME`. */
export class HostBringBack extends ServiceStateCommand {
  static override summary = "Let the upstreams of a host have work again.";
  protected override readonly kind = "host";
  protected override readonly state = "in";
}
