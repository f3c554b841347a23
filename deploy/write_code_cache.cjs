/**
 * Writes the code cache of the bundle: starts a router on free ports of
 * loopback, so that what a start needs is compiled, and ends it.
 *
 * `node FLAGS deploy/write_code_cache.cjs`, with the flags that the
 * router runs with.
 */
const { mkdtempSync, rmSync, writeFileSync } = require("node:fs");
const { tmpdir } = require("node:os");
const { join } = require("node:path");
const process = require("node:process");

/** A start takes a few hundred milliseconds; a busy machine, some more. */
const START_MS = 2_000;
const ANY_PORT = "127.0.0.1:0";

const directory = mkdtempSync(join(tmpdir(), "code-cache-"));
const settings = join(directory, "router.ini");
writeFileSync(
  settings,
  `[router]
name = cache
failure_domain = none
[listen]
callers = ${ANY_PORT}
ready = ${ANY_PORT}
peers = ${ANY_PORT}
metrics = ${ANY_PORT}
[store]
address = 127.0.0.1:9
`,
);
process.env["CORIANDERFLOW_SETTINGS"] = settings;
const { script, CACHE } = require("../target/corianderflowd.js");
setTimeout(() => {
  writeFileSync(CACHE, script.createCachedData());
  rmSync(directory, { recursive: true });
  process.exit(0);
}, START_MS);
