/**
 * Bundles the daemon into target/corianderflowd.js: one file starts in about
 * half of the processor time that some hundred modules take.
 */
import process from "node:process";
import { build } from "esbuild";

/**
 * The parts of undici that the daemon uses. Its index also loads fetch, caches
 * and mocks, which take longer than all else.
 */
const UNDICI_PARTS = `
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
import request from "undici/lib/api/api-request.js";
Object.assign(Dispatcher.prototype, { request });
export { default as Client } from "undici/lib/dispatcher/client.js";
export { default as Agent } from "undici/lib/dispatcher/agent.js";
export { default as buildConnector } from "undici/lib/core/connect.js";
`;

const undiciParts = {
  name: "undici-parts",
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^undici$/ }, () => ({
      path: "undici-parts",
      namespace: "undici-parts",
    }));
    onLoad({ filter: /.*/, namespace: "undici-parts" }, () => ({
      contents: UNDICI_PARTS,
      resolveDir: process.cwd(),
    }));
  },
};

await build({
  entryPoints: ["src/daemon/main.ts"],
  outfile: "target/corianderflowd.js",
  bundle: true,
  platform: "node",
  target: "node20",
  mainFields: ["module", "main"],
  // Its subpath has only a module format that can't be bundled.
  alias: { "ts-results/result": "ts-results" },
  minifySyntax: true,
  minifyWhitespace: true,
  plugins: [undiciParts],
  logLevel: "warning",
});
