import { readFileSync } from "node:fs";
import { join } from "node:path";
import { formatManifestSchema } from "./manifest_schema.ts";

test("the committed schema equals the one that validates manifests", () => {
  const path = join(__dirname, "../../docs/manifest.schema.json");
  const committed: unknown = JSON.parse(readFileSync(path, "utf8"));
  expect(committed).toEqual(JSON.parse(formatManifestSchema()));
});
