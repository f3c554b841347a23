/**
 * Reads and checks a manifest file given to a command.
 */
import { Err, type Result } from "ts-results/result";
import { parseJson } from "../config/configuration_codec.ts";
import type { Manifest } from "../config/manifest.ts";
import { checkManifest } from "../config/manifest_check.ts";
import { CommandFailure } from "./command_failure.ts";
import { readTextFile } from "./operator_settings.ts";

/**
 * Reads and checks a manifest file. The failure lists all faults found in the
 * manifest.
 */
export async function readManifestFile(
  path: string,
): Promise<Result<Manifest, CommandFailure>> {
  const text = await readTextFile(path);
  if (text.err) return text;
  const document = parseJson(text.val);
  if (document.err) {
    const message = `The file ${path} is not valid JSON. Nothing was changed.`;
    return Err(new CommandFailure("bad-input", message));
  }
  const manifest = checkManifest(document.val);
  if (manifest.ok) return manifest;
  const faults = manifest.val;
  const message = `The manifest ${path} has ${faults.length} fault(s). ` +
    "Nothing was changed.";
  const details = faults.map((fault) => `${fault.path}: ${fault.message}`);
  return Err(
    new CommandFailure("bad-input", message, { details, data: { faults } }),
  );
}
