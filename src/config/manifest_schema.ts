/**
 * The published JSON schema of a manifest, as it stands in
 * `docs/manifest.schema.json` and as `cflow manifest schema` prints it.
 */
import { ManifestSchema } from "./manifest.ts";

const DIALECT = "http://json-schema.org/draft-07/schema#";

/** Writes the JSON schema of a manifest. */
export function formatManifestSchema(): string {
  const schema = { $schema: DIALECT, ...ManifestSchema };
  return `${JSON.stringify(schema, undefined, 2)}\n`;
}
