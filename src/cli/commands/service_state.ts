/**
 * The commands that take failure domains and hosts out of service and bring
 * them back.
 */
import { Args } from "@oclif/core";
import type {
  Change,
  Configuration,
  ServiceState,
} from "../../config/configuration.ts";
import { findRefusal } from "../../config/configuration_rebase.ts";
import { ChangeCommand, type ChangeReport } from "../change_command.ts";

type TargetKind = "failure-domain" | "host";

abstract class ServiceStateCommand extends ChangeCommand {
  static override args = {
    name: Args.string({ required: true, description: "name in the manifest" }),
  };

  protected abstract readonly kind: TargetKind;
  protected abstract readonly state: ServiceState;

  async run(): Promise<ChangeReport> {
    // oclif's parser ignores inherited properties, so they are listed here.
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

/**
 * Returns undefined if the target already has the requested state. A change
 * that would be refused, such as one of an unknown name, is always returned, so
 * that the commit reports the refusal.
 */
function createStateChange(
  configuration: Configuration,
  change: Extract<Change, { kind: TargetKind }>,
): Change | undefined {
  const { failureDomainsOut, hostsOut } = configuration;
  const namesOut = change.kind === "host" ? hostsOut : failureDomainsOut;
  const isOut = namesOut.includes(change.name);
  const isInState = isOut === (change.state === "out");
  const isRefused = findRefusal(configuration, change) !== undefined;
  return isInState && !isRefused ? undefined : change;
}

/** `cflow failure-domain take-out NAME`. */
export class FailureDomainTakeOut extends ServiceStateCommand {
  static override summary = "Stop sending new requests to a failure domain.";
  protected override readonly kind = "failure-domain";
  protected override readonly state = "out";
}

/** `cflow failure-domain bring-back NAME`. */
export class FailureDomainBringBack extends ServiceStateCommand {
  static override summary = "Send new requests to a failure domain again.";
  protected override readonly kind = "failure-domain";
  protected override readonly state = "in";
}

/** `cflow host take-out NAME`. */
export class HostTakeOut extends ServiceStateCommand {
  static override summary =
    "Stop sending new requests to the upstreams of a host.";
  protected override readonly kind = "host";
  protected override readonly state = "out";
}

/** `cflow host bring-back NAME`. */
export class HostBringBack extends ServiceStateCommand {
  static override summary =
    "Send new requests to the upstreams of a host again.";
  protected override readonly kind = "host";
  protected override readonly state = "in";
}
