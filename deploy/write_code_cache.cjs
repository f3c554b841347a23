/**
 * Writes the V8 code cache of the bundle in DIRECTORY: runs a router on free
 * loopback ports until V8 has compiled the functions that a start needs, saves
 * the compiled code and exits. DIRECTORY must hold no code cache yet.
 *
 * Usage: `node FLAGS deploy/write_code_cache.cjs DIRECTORY`, with the Node
 * flags of the routers. Exits with a code other than 0 if the router fails.
 */
const { mkdtempSync, rmSync, writeFileSync } = require("node:fs");
const { tmpdir } = require("node:os");
const { join, resolve } = require("node:path");
const process = require("node:process");
const { sealCache } = require("./code_cache.cjs");

const STARTED_LINE = "The router has started.";
/** Time in which the router does what follows its start for the first time. */
const FIRST_TASKS_MS = 200;
/** A start takes a few hundred milliseconds, and longer on a busy machine. */
const MAX_START_MS = 30_000;
const EXIT_FAILED = 1;
const FREE_LOOPBACK_ADDRESS = "127.0.0.1:0";
const SETTINGS = `[router]
name = cache
failure_domain = none
[listen]
callers = ${FREE_LOOPBACK_ADDRESS}
ready = ${FREE_LOOPBACK_ADDRESS}
peers = ${FREE_LOOPBACK_ADDRESS}
metrics = ${FREE_LOOPBACK_ADDRESS}
[store]
address = 127.0.0.1:9
`;

/** Calls `onStart` once the router logs its start on standard output. */
function watchStart(onStart) {
  const write = process.stdout.write;
  process.stdout.write = function (chunk, ...rest) {
    if (String(chunk).includes(STARTED_LINE)) {
      process.stdout.write = write;
      onStart();
    }
    return write.call(this, chunk, ...rest);
  };
}

const target = resolve(process.argv[2]);
process.argv.length = 2;
const directory = mkdtempSync(join(tmpdir(), "code-cache-"));
process.on("exit", () => rmSync(directory, { recursive: true }));
const settingsFile = join(directory, "router.ini");
writeFileSync(settingsFile, SETTINGS);
process.env["CORIANDERFLOW_SETTINGS"] = settingsFile;

setTimeout(() => {
  process.stderr.write(`no start within ${MAX_START_MS} ms\n`);
  process.exit(EXIT_FAILED);
}, MAX_START_MS).unref();
watchStart(() => {
  setTimeout(() => {
    const { script, bundle } = require(join(target, "corianderflowd.js"));
    const payload = script.createCachedData();
    writeFileSync(join(target, "bundle.cache"), sealCache(payload, { bundle }));
    process.exit(0);
  }, FIRST_TASKS_MS);
});
require(join(target, "corianderflowd.js"));
