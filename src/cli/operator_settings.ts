/**
 * Settings of `cflow`: flags first, then the INI file.
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
  description: "a comma list of addresses, ip:port",
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
    /** Caller addresses of the routers. */
    routers: AddressesSchema,
  }, strict),
}, strict);

const DEFAULTS = { platform: { keyValue: [] }, operator: { routers: [] } };

/** Flags that every command takes. */
export interface OperatorFlags {
  readonly "settings"?: string;
  readonly "key-value"?: string;
  readonly "routers"?: string;
  readonly "operator"?: string;
}

/** Checked settings of an operator. */
export interface OperatorSettings {
  /** Author of the changes; a change needs one. */
  readonly name: string | undefined;
  /** Addresses of the key-value service, in the order to try them. */
  readonly keyValue: readonly string[];
  /** Caller addresses of the routers. */
  readonly routers: readonly string[];
}

/** Reads the settings; a flag goes before the same key of the file. */
export async function readOperatorSettings(
  flags: OperatorFlags,
): Promise<Result<OperatorSettings, CommandFailure>> {
  const file = await readSettingsFile(flags.settings);
  if (file.err) return file;
  const given = parseFlags(flags);
  if (given.err) return given;
  const { platform, operator } = file.val;
  return Ok({
    name: flags.operator ?? operator.name,
    keyValue: flags["key-value"] === undefined
      ? platform.keyValue
      : given.val.platform.keyValue,
    routers: flags.routers === undefined
      ? operator.routers
      : given.val.operator.routers,
  });
}

/** Reads a text file; one that can't be read is bad input. */
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

/** Checks the flags as if they stood in a file. */
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
