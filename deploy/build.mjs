/**
 * Bundles the daemon into target/. Starting from one file takes about half of
 * the CPU time of loading several hundred modules, and less with the V8 code
 * cache that target/corianderflowd.js loads.
 *
 * Usage: `node deploy/build.mjs [DIRECTORY]`. Routers may start and other
 * builds may run meanwhile. A build without a code cache succeeds and says so.
 */
import { execFileSync } from "node:child_process";
import {
  closeSync,
  existsSync,
  fsyncSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { build } from "esbuild";
import { sealBundle } from "./code_cache.cjs";

const TARGET = process.argv[2] ?? "target";
/** Exceeds the time that deploy/write_code_cache.cjs gives the router. */
const CACHE_TIMEOUT_MS = 60_000;

/**
 * Source of the module that replaces undici in the bundle. It exports only what
 * the daemon uses: the index of undici also loads fetch, caches and mocks,
 * which take longer to load than everything else.
 */
const UNDICI_PARTS_SOURCE = `
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
import request from "undici/lib/api/api-request.js";
Object.assign(Dispatcher.prototype, { request });
export { default as Client } from "undici/lib/dispatcher/client.js";
export { default as Agent } from "undici/lib/dispatcher/agent.js";
export { default as Pool } from "undici/lib/dispatcher/pool.js";
`;

const undiciPartsPlugin = {
  name: "undici-parts",
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^undici$/ }, () => ({
      path: "undici-parts",
      namespace: "undici-parts",
    }));
    onLoad({ filter: /.*/, namespace: "undici-parts" }, () => ({
      contents: UNDICI_PARTS_SOURCE,
      resolveDir: process.cwd(),
    }));
  },
};

/**
 * Replaces node:http2, which takes a tenth of the startup time to load and
 * isn't needed, because a router speaks only HTTP/1.1. undici itself falls back
 * to this stub if node:http2 is unavailable.
 */
const noHttp2Plugin = {
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

async function bundleDaemon() {
  const { outputFiles } = await build({
    entryPoints: ["src/daemon/main.ts"],
    outfile: "bundle.js",
    write: false,
    bundle: true,
    platform: "node",
    target: "node20",
    mainFields: ["module", "main"],
    // The subpath has only a UMD build, whose imports esbuild can't follow.
    alias: { "ts-results/result": "ts-results" },
    minifySyntax: true,
    minifyWhitespace: true,
    plugins: [undiciPartsPlugin, noHttp2Plugin],
    logLevel: "warning",
  });
  // The loader wraps the bundle in a function, where a hashbang is an error.
  return sealBundle(outputFiles[0].text.replace(/^#!.*/, ""));
}

async function bundleLoader() {
  const { outputFiles } = await build({
    entryPoints: ["deploy/loader.cjs"],
    outfile: "corianderflowd.js",
    write: false,
    bundle: true,
    platform: "node",
    target: "node20",
    logLevel: "warning",
  });
  return outputFiles[0].text;
}

/**
 * Reads the Node flags of the routers' run command in deploy/system.toml. V8
 * accepts a code cache only under the flags that it was created with.
 */
function readNodeFlags() {
  const [, flags] = /^run = "node (.*) \S+"$/m.exec(
    readFileSync("deploy/system.toml", "utf8"),
  );
  return flags.split(" ");
}

function tryWriteCache(directory) {
  const file = join(directory, "bundle.cache");
  const command = [
    ...readNodeFlags(),
    "deploy/write_code_cache.cjs",
    directory,
  ];
  try {
    execFileSync(process.execPath, command, {
      stdio: ["ignore", "ignore", "inherit"],
      timeout: CACHE_TIMEOUT_MS,
      killSignal: "SIGKILL",
    });
    // A signal ends the router with code 0.
    if (!existsSync(file)) throw new Error("the router was stopped");
  } catch (cause) {
    process.stderr.write(
      `deploy/build.mjs: routers will start without a code cache: ${cause.message}\n`,
    );
    rmSync(file, { force: true });
  }
}

function sync(path) {
  const descriptor = openSync(path, "r");
  try {
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
}

/**
 * Moves the files of a build to their place, each of them whole. Routers start
 * from any mix of old and new files that this order allows. The old cache goes
 * first, because the loaders of earlier releases don't check it.
 */
function publish(directory) {
  const names = ["bundle.js", "corianderflowd.js", "bundle.cache"]
    .filter((name) => existsSync(join(directory, name)));
  for (const name of names) sync(join(directory, name));
  rmSync(join(TARGET, "bundle.cache"), { recursive: true, force: true });
  for (const name of names) {
    renameSync(join(directory, name), join(TARGET, name));
  }
  sync(TARGET);
}

mkdirSync(TARGET, { recursive: true });
const directory = mkdtempSync(join(TARGET, "build-"));
try {
  writeFileSync(join(directory, "bundle.js"), await bundleDaemon());
  writeFileSync(join(directory, "corianderflowd.js"), await bundleLoader());
  tryWriteCache(directory);
  publish(directory);
} finally {
  rmSync(directory, { recursive: true, force: true });
}
