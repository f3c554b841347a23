/** Bundles the project's metadata store, which the cases start. */
import { build } from "esbuild";

await build({
  entryPoints: ["testing/metadata_store.ts"],
  outfile: "target/review_3/metadata_store.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  logLevel: "warning",
});
