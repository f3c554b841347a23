/**
 * Settings of `cflow`, from flags and an INI file. Flags take precedence.
 */
import { readFile } from "node:fs/promises";
import { type Static, Type } from "@sinclair/typebox";
import { Err, Ok, type Result } from "ts-results/result";
import {
  AddressSchema,
  formatSettingFault,
  readSections,
} from "../config/ini_sections.ts";
import { CommandFailure } from "./command_failure.ts";

const strict = { additionalProperties: false };

const AddressesSchema = Type.Array(AddressSchema, {
  description: "a comma-separated list of addresses, ip:port",
});

const OperatorFileSchema = Type.Object({
  platform: Type.Object({ keyValue: AddressesSchema }, strict),
  operator: Type.Object({
    /** Author of the changes. */
    name: Type.Optional(Type.String({
      minLength: 1,
      maxLength: 128,
      description: "a name of 1 to 128 characters",
    })),
    /** Addresses at which the routers serve callers. */
    routers: AddressesSchema,
  }, strict),
}, strict);

const DEFAULTS = { platform: { keyValue: [] }, operator: { routers: [] } };

/** Flags of all commands that override keys of the settings file. */
export interface OperatorFlags {
  readonly "settings"?: string;
  readonly "key-value"?: string;
  readonly "routers"?: string;
  readonly "operator"?: string;
}

/** Validated settings of an operator. */
export interface OperatorSettings {
  /** Author of the changes; required only to make a change. */
  readonly name: string | undefined;
  /** Addresses of the key-value service, in the order to try them. */
  readonly keyValue: readonly string[];
  /** Addresses at which the routers serve callers. */
  readonly routers: readonly string[];
}

/**
 * Reads the settings file and the flags. A flag overrides the same key of the
 * file.
 */
export async function readOperatorSettings(
  flags: OperatorFlags,
): Promise<Result<OperatorSettings, CommandFailure>> {
  const file = await readSettingsFile(flags.settings);
  if (file.err) return file;
  const flagSettings = parseFlags(flags);
  if (flagSettings.err) return flagSettings;
  const { platform, operator } = file.val;
  return Ok({
    name: flags.operator ?? operator.name,
    keyValue: flags["key-value"] === undefined
      ? platform.keyValue
      : flagSettings.val.platform.keyValue,
    routers: flags.routers === undefined
      ? operator.routers
      : flagSettings.val.operator.routers,
  });
}

/** Reads a UTF-8 text file; an error is a failure of kind `bad-input`. */
export async function readTextFile(
  path: string,
): Promise<Result<string, CommandFailure>> {
  try {
    return Ok(await readFile(path, "utf8"));
  } catch (cause) {
    const { code = "unknown error" } = cause as { code?: string };
    const message = `The file ${path} can't be read: ${code}.`;
    return Err(new CommandFailure("bad-input", message));
  }
}

async function readSettingsFile(
  path: string | undefined,
): Promise<Result<Static<typeof OperatorFileSchema>, CommandFailure>> {
  if (path === undefined) return parseSections("", "");
  const text = await readTextFile(path);
  return text.err ? text : parseSections(text.val, path);
}

/** Parses the flags as an INI file, so that the same checks apply. */
function parseFlags(flags: OperatorFlags) {
  const text = [
    "[platform]",
    `key_value = ${JSON.stringify(flags["key-value"] ?? "")}`,
    "[operator]",
    `routers = ${JSON.stringify(flags.routers ?? "")}`,
  ];
  return parseSections(text.join("\n"), "flags");
}

function parseSections(
  text: string,
  fileName: string,
): Result<Static<typeof OperatorFileSchema>, CommandFailure> {
  const sections = readSections(text, {
    fileName,
    schema: OperatorFileSchema,
    defaults: DEFAULTS,
  });
  if (sections.ok) return sections;
  const details = sections.val.map(formatSettingFault);
  const message = "The settings have faults; nothing was tried.";
  return Err(new CommandFailure("bad-input", message, { details }));
}
