/**
 * Runs the bundle in this file's directory, with its V8 code cache if that was
 * made of this bundle by this Node under these flags, and is whole. Without it
 * a start takes longer. A damaged bundle ends the process with code 1.
 */
const process = require("node:process");

// A signal without a listener ends the process, so they are received before
// anything else is done, and kept for src/daemon/signals.ts.
const signals = { kept: [], receive: (signal) => signals.kept.push(signal) };
globalThis[Symbol.for("corianderflow.signals")] = signals;
for (
  const name
    of "TERM INT HUP QUIT USR1 USR2 ALRM VTALRM PROF IO PWR STKFLT XCPU"
      .split(" ")
) process.on(`SIG${name}`, (signal) => signals.receive(signal));

const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");
const { openBundle, openCache } = require("./code_cache.cjs");

const BUNDLE = join(__dirname, "bundle.js");
const CACHE = join(__dirname, "bundle.cache");
/** Name in stack traces. The code cache keeps the name that it was made with. */
const SCRIPT_NAME = "target/bundle.js";
/** Parameters of the function that Node wraps around a CommonJS module. */
const WRAPPER_PARAMETERS = "exports, require, module, __filename, __dirname";
const EXIT_FAILED = 1;

/** Returns the bundle's source and hash; ends the process if it is damaged. */
function readBundle() {
  let fault;
  try {
    const bytes = readFileSync(BUNDLE);
    const opened = openBundle(bytes);
    if (opened.fault === undefined) {
      return { source: bytes.toString("utf8"), bundle: opened.bundle };
    }
    fault = `${BUNDLE} ${opened.fault}`;
  } catch (cause) {
    fault = cause.message;
  }
  process.stderr.write(
    `corianderflowd: cannot start: ${fault}; build it again\n`,
  );
  process.exit(EXIT_FAILED);
}

function readCache(bundle) {
  try {
    return openCache(readFileSync(CACHE), { bundle });
  } catch (cause) {
    return { fault: cause.message };
  }
}

const { source, bundle } = readBundle();
const { payload, fault } = readCache(bundle);
const script = new Script(`(function (${WRAPPER_PARAMETERS}) {${source}\n})`, {
  filename: SCRIPT_NAME,
  cachedData: payload,
});
/** Read by src/daemon/code_cache.ts. */
globalThis[Symbol.for("corianderflow.codeCache")] = fault ??
  (script.cachedDataRejected ? "refused by V8" : "used");
module.exports = { script, bundle };
script.runInThisContext()(exports, require, module, BUNDLE, __dirname);
