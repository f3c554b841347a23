/**
 * The commands of `cflow manifest`.
 */
import { isDeepStrictEqual } from "node:util";
import { Args, Flags } from "@oclif/core";
import { formatManifestSchema } from "../../config/manifest_schema.ts";
import { BaseCommand, unwrap } from "../base_command.ts";
import {
  ChangeCommand,
  type ChangeReport,
  readNewestConfiguration,
} from "../change_command.ts";
import {
  type Difference,
  findDifferences,
  formatDifference,
  redactKeys,
} from "../manifest_differences.ts";
import { readManifestFile } from "../manifest_file.ts";

const args = {
  file: Args.string({ required: true, description: "manifest, JSON" }),
};

/** `cflow manifest check FILE`. */
export class ManifestCheck extends BaseCommand {
  static override summary = "Check a manifest and list all errors.";
  static override args = args;

  async run() {
    const { args: { file } } = await this.parse(ManifestCheck);
    const manifest = unwrap(await readManifestFile(file));
    const services = manifest.services.length;
    const workspaces = manifest.workspaces.length;
    this.log(`${file}: ${services} service(s), ${workspaces} workspace(s).`);
    return { faults: [], services, workspaces };
  }
}

/** `cflow manifest diff FILE`. */
export class ManifestDiff extends BaseCommand {
  static override summary =
    "Show the changes that applying a manifest would make.";
  static override args = args;

  async run(): Promise<{ version: number; differences: Difference[] }> {
    const { args: { file }, flags } = await this.parse(ManifestDiff);
    const settings = await this.readSettings(flags);
    const next = unwrap(await readManifestFile(file));
    const { manifest, version } = await this.withStore(
      settings,
      readNewestConfiguration,
    );
    const differences = findDifferences(manifest, next);
    for (const difference of differences) {
      this.log(formatDifference(difference));
    }
    this.log(
      differences.length === 0
        ? `The same as at version ${version}.`
        : `Apply it with: cflow manifest apply ${file} --based-on ${version}`,
    );
    return { version, differences };
  }
}

/** `cflow manifest apply FILE`. */
export class ManifestApply extends ChangeCommand {
  static override summary = "Apply a manifest as one atomic change.";
  static override args = args;
  static override flags = {
    "based-on": Flags.integer({
      description: "refuse the change if the configuration is newer than this",
      min: 0,
      helpValue: "VERSION",
    }),
  };

  async run(): Promise<ChangeReport> {
    const { args: { file }, flags } = await this.parse(ManifestApply);
    const settings = await this.readSettings(flags);
    const manifest = unwrap(await readManifestFile(file));
    return this.change({
      settings,
      wait: flags.wait,
      basedOn: flags["based-on"],
      createChange: (configuration) =>
        isDeepStrictEqual(configuration.manifest, manifest)
          ? undefined
          : { kind: "manifest", manifest },
    });
  }
}

/** `cflow manifest show`. */
export class ManifestShow extends BaseCommand {
  static override summary = "Show the committed configuration.";
  static override flags = {
    keys: Flags.boolean({ description: "show the keys of the workspaces" }),
  };

  async run() {
    const { flags } = await this.parse(ManifestShow);
    const settings = await this.readSettings(flags);
    const configuration = await this.withStore(
      settings,
      readNewestConfiguration,
    );
    const { manifest } = configuration;
    const isHidden = manifest !== undefined && !flags.keys;
    const shown = {
      ...configuration,
      manifest: isHidden ? redactKeys(manifest) : manifest ?? null,
    };
    this.log(JSON.stringify(shown, undefined, 2));
    return shown;
  }
}

/** `cflow manifest schema`. */
export class ManifestSchema extends BaseCommand {
  static override summary = "Print the JSON schema of a manifest.";

  async run() {
    await this.parse(ManifestSchema);
    const schema = formatManifestSchema();
    this.log(schema.trimEnd());
    return JSON.parse(schema) as Record<string, unknown>;
  }
}
