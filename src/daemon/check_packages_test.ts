interface Package {
  readonly version?: string;
  readonly integrity?: string;
  readonly os?: readonly string[];
  readonly cpu?: readonly string[];
  readonly libc?: readonly string[];
}

interface LockFile {
  readonly packages: Readonly<Record<string, Package>>;
}

const { findPackageFault } = require("../../deploy/check_packages.cjs") as {
  findPackageFault(options: {
    lock: LockFile;
    installed: LockFile | undefined;
    host: { platform: string; arch: string; libc: string | undefined };
    hasPackage: (path: string) => boolean;
  }): string | undefined;
};
const lock = require("../../package-lock.json") as LockFile;

const ARM = { platform: "linux", arch: "arm64", libc: "glibc" };
const INTEL = { platform: "linux", arch: "x64", libc: "glibc" };

/** Returns what npm lists after an install on a host. */
function install(host: typeof ARM): LockFile {
  const packages = Object.entries(lock.packages).filter(([, entry]) =>
    (entry.os ?? [host.platform]).includes(host.platform) &&
    (entry.cpu ?? [host.arch]).includes(host.arch) &&
    (entry.libc ?? [host.libc]).includes(host.libc)
  );
  return { packages: Object.fromEntries(packages) };
}

function replace(path: string, entry: Package | undefined): LockFile {
  const { [path]: _old, ...others } = install(ARM).packages;
  return {
    packages: entry === undefined ? others : { ...others, [path]: entry },
  };
}

const ESBUILD = "node_modules/esbuild";

// Packages of another platform were kept if they were newer than the lock file.
test.each<[string, LockFile | undefined, string | undefined]>([
  ["of this platform", install(ARM), undefined],
  [
    "of another architecture",
    install(INTEL),
    "node_modules/@deno/linux-arm64-glibc is missing",
  ],
  [
    "of another C library",
    install({ ...ARM, libc: "musl" }),
    "node_modules/@deno/linux-arm64-glibc is missing",
  ],
  [
    "of another operating system",
    install({ ...ARM, platform: "darwin" }),
    "node_modules/@deno/linux-arm64-glibc is missing",
  ],
  ["of no install that has finished", undefined, "no install has finished"],
  ["without one of them", replace(ESBUILD, undefined), `${ESBUILD} is missing`],
  [
    "of another lock file",
    replace(ESBUILD, { version: "0.25.11", integrity: "sha512-other" }),
    `${ESBUILD} is not the locked ${lock.packages[ESBUILD]!.version}`,
  ],
])("packages %s are recognised", (_name, installed, fault) => {
  const hasPackage = () => true;
  expect(findPackageFault({ lock, installed, host: ARM, hasPackage }))
    .toBe(fault);
});

test("a package whose files are gone is missing", () => {
  const installed = install(ARM);
  const hasPackage = (path: string) => path !== ESBUILD;
  expect(findPackageFault({ lock, installed, host: ARM, hasPackage }))
    .toBe(`${ESBUILD} is missing`);
});

test("a package that excludes this platform is not missing", () => {
  const excluding = { packages: { other: { os: ["!linux"] } } };
  const installed = { packages: {} };
  const hasPackage = () => true;
  expect(
    findPackageFault({ lock: excluding, installed, host: ARM, hasPackage }),
  )
    .toBeUndefined();
});
