/**
 * Formats of the bundle and of its V8 code cache. Both begin with a line that
 * tells whether the rest is whole. V8 itself compares little more than the
 * length of the source: code of another bundle, or damaged code, is run as it
 * is or ends the process.
 */
const { createHash } = require("node:crypto");
const { statSync } = require("node:fs");
const process = require("node:process");

const BUNDLE_HEAD = /^\/\/ sha256 ([0-9a-f]{64})\n$/;
/** Length of `// sha256 `, the hash and the end of the line. */
const BUNDLE_HEAD_BYTES = 75;
const MAX_CACHE_HEAD_BYTES = 4_096;
const LINE_FEED = 0x0a;

function hash(bytes) {
  return createHash("sha256").update(bytes).digest("hex");
}

/** Returns the source of a bundle with the line that `openBundle` checks. */
function sealBundle(source) {
  return `// sha256 ${hash(source)}\n${source}`;
}

/**
 * Checks the bytes of a sealed bundle. Returns the hash of its source, or the
 * fault.
 */
function openBundle(bytes) {
  const head = bytes.toString("latin1", 0, BUNDLE_HEAD_BYTES);
  const expected = BUNDLE_HEAD.exec(head)?.[1];
  if (expected === undefined) return { fault: "has no checksum" };
  const found = hash(bytes.subarray(BUNDLE_HEAD_BYTES));
  if (found === expected) return { bundle: found };
  return { fault: `has checksum ${found}, not ${expected}` };
}

/**
 * Returns what a code cache depends on. Builds of Node of the same version may
 * differ in the heap snapshot that compiled code refers to, which their size
 * tells.
 */
function describeOrigin(bundle) {
  return {
    bundle,
    node: process.version,
    v8: process.versions.v8,
    platform: process.platform,
    arch: process.arch,
    execArgv: process.execArgv,
    executableBytes: statSync(process.execPath).size,
  };
}

/** Returns the code cache of a bundle in the form that `openCache` checks. */
function sealCache(payload, { bundle }) {
  const head = {
    ...describeOrigin(bundle),
    length: payload.length,
    sha256: hash(payload),
  };
  return Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), payload]);
}

function readCacheHead(bytes) {
  const end = bytes.subarray(0, MAX_CACHE_HEAD_BYTES).indexOf(LINE_FEED);
  try {
    const head = JSON.parse(bytes.toString("utf8", 0, Math.max(0, end)));
    return { head, payload: bytes.subarray(end + 1) };
  } catch {
    // Not a cache, or one of a build without heads.
    return {};
  }
}

/**
 * Checks the bytes of a sealed code cache. Returns what V8 may be given, or
 * the fault.
 */
function openCache(bytes, { bundle }) {
  const { head, payload } = readCacheHead(bytes);
  if (typeof head !== "object" || head === null) return { fault: "no head" };
  for (const [name, value] of Object.entries(describeOrigin(bundle))) {
    if (JSON.stringify(head[name]) === JSON.stringify(value)) continue;
    return { fault: `made for ${name} ${JSON.stringify(head[name])}` };
  }
  if (payload.length !== head.length) {
    return { fault: `has ${payload.length} bytes, not ${head.length}` };
  }
  if (hash(payload) !== head.sha256) return { fault: "wrong checksum" };
  return { payload };
}

module.exports = { openBundle, openCache, sealBundle, sealCache };
