/**
 * Checks whether node_modules holds the locked packages for this platform, and
 * whole. npm lists what it has installed in node_modules/.package-lock.json:
 * it removes that file before it installs and writes it last. The binaries among
 * them are programs or use Node-API, so that any version of Node will do.
 *
 * Usage: `node deploy/check_packages.cjs`. Exits with 1 if packages have to be
 * installed, and names the reason.
 */
const { existsSync, readFileSync } = require("node:fs");
const { join } = require("node:path");
const process = require("node:process");

const ROOT = join(__dirname, "..");
const EXIT_UNFIT = 1;

/** Whether a list of a lock file, such as `os`, allows a value. */
function allows(list, value) {
  if (list === undefined) return true;
  if (list.includes(`!${value}`)) return false;
  return list.includes(value) || list.every((name) => name.startsWith("!"));
}

function isMeantFor({ os, cpu, libc }, host) {
  return allows(os, host.platform) && allows(cpu, host.arch) &&
    allows(libc, host.libc);
}

/**
 * Returns what is wrong with the installed packages, or undefined. `installed`
 * is undefined if no install has finished; `hasPackage` tells whether a path
 * holds a package.
 */
function findPackageFault({ lock, installed, host, hasPackage }) {
  if (installed === undefined) return "no install has finished";
  for (const [path, locked] of Object.entries(lock.packages)) {
    if (path === "" || !isMeantFor(locked, host)) continue;
    const found = installed.packages[path];
    if (found === undefined || !hasPackage(path)) return `${path} is missing`;
    if (found.integrity !== locked.integrity) {
      return `${path} is not the locked ${locked.version}`;
    }
  }
  return undefined;
}

function findLibc() {
  if (process.platform !== "linux") return undefined;
  // Look-ups of network names may take seconds.
  process.report.excludeNetwork = true;
  const { header, sharedObjects } = process.report.getReport();
  if (header.glibcVersionRuntime !== undefined) return "glibc";
  return sharedObjects.some((file) => /musl/.test(file)) ? "musl" : undefined;
}

function readInstalled() {
  try {
    const file = join(ROOT, "node_modules/.package-lock.json");
    return JSON.parse(readFileSync(file, "utf8"));
  } catch {
    // There was no install, or it was interrupted.
    return undefined;
  }
}

module.exports = { findPackageFault };

if (require.main === module) {
  const fault = findPackageFault({
    lock: JSON.parse(readFileSync(join(ROOT, "package-lock.json"), "utf8")),
    installed: readInstalled(),
    host: {
      platform: process.platform,
      arch: process.arch,
      libc: findLibc(),
    },
    hasPackage: (path) => existsSync(join(ROOT, path, "package.json")),
  });
  if (fault !== undefined) {
    process.stderr.write(`node_modules: ${fault}; installing the packages\n`);
    process.exitCode = EXIT_UNFIT;
  }
}
