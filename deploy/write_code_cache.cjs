/**
 * Writes the V8 code cache of the bundle: runs a router on free loopback ports
 * until V8 has compiled the functions that a start needs, saves the compiled
 * code and exits.
 *
 * Usage: `node FLAGS deploy/write_code_cache.cjs`, with the Node flags of the
 * routers.
 */
const { mkdtempSync, rmSync, writeFileSync } = require("node:fs");
const { tmpdir } = require("node:os");
const { join } = require("node:path");
const process = require("node:process");

/**
 * Time after which the router counts as started. A start takes a few hundred
 * milliseconds, and longer on a busy machine.
 */
const STARTUP_WAIT_MS = 2_000;
const FREE_LOOPBACK_ADDRESS = "127.0.0.1:0";

const directory = mkdtempSync(join(tmpdir(), "code-cache-"));
const settingsFile = join(directory, "router.ini");
writeFileSync(
  settingsFile,
  `[router]
name = cache
failure_domain = none
[listen]
callers = ${FREE_LOOPBACK_ADDRESS}
ready = ${FREE_LOOPBACK_ADDRESS}
peers = ${FREE_LOOPBACK_ADDRESS}
metrics = ${FREE_LOOPBACK_ADDRESS}
[store]
address = 127.0.0.1:9
`,
);
process.env["CORIANDERFLOW_SETTINGS"] = settingsFile;
const { script, CACHE } = require("../target/corianderflowd.js");
setTimeout(() => {
  writeFileSync(CACHE, script.createCachedData());
  rmSync(directory, { recursive: true });
  process.exit(0);
}, STARTUP_WAIT_MS);
