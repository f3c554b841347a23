/**
 * The published JSON schema of a manifest: the content of
 * `docs/manifest.schema.json` and the output of `cflow manifest schema`.
 */
import { ManifestSchema } from "./manifest.ts";

const DIALECT = "http://json-schema.org/draft-07/schema#";

/** Formats the JSON schema of a manifest as indented JSON. */
export function formatManifestSchema(): string {
  const schema = { $schema: DIALECT, ...ManifestSchema };
  return `${JSON.stringify(schema, undefined, 2)}\n`;
}
