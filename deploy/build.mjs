/**
 * Bundles the daemon into target/: one file starts in about half of the
 * processor time that some hundred modules take, and in less with a code cache,
 * which target/corianderflowd.js loads.
 */
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
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

/**
 * A router speaks HTTP/1.1; the module takes a tenth of a start to load, and
 * undici goes on with this where there is none.
 */
const noHttp2 = {
  name: "no-http2",
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^node:http2$/ }, () => ({
      path: "no-http2",
      namespace: "no-http2",
    }));
    onLoad({ filter: /.*/, namespace: "no-http2" }, () => ({
      contents: "module.exports = { constants: {} };",
    }));
  },
};

const { outputFiles } = await build({
  entryPoints: ["src/daemon/main.ts"],
  outfile: "target/bundle.js",
  write: false,
  bundle: true,
  platform: "node",
  target: "node20",
  mainFields: ["module", "main"],
  // Its subpath has only a module format that can't be bundled.
  alias: { "ts-results/result": "ts-results" },
  minifySyntax: true,
  minifyWhitespace: true,
  plugins: [undiciParts, noHttp2],
  logLevel: "warning",
});

// The loader wraps the bundle in a function, in which no hashbang may stand.
mkdirSync("target", { recursive: true });
writeFileSync("target/bundle.js", outputFiles[0].text.replace(/^#!.*/, ""));

/** The flags with which routers run; a code cache is good for the same only. */
function readFlags() {
  const [, run] = /^run = "node (.*) \S+"$/m.exec(
    readFileSync("deploy/system.toml", "utf8"),
  );
  return run.split(" ");
}

copyFileSync("deploy/loader.cjs", "target/corianderflowd.js");
execFileSync(process.execPath, [
  ...readFlags(),
  "deploy/write_code_cache.cjs",
], { stdio: ["ignore", "ignore", "inherit"] });
