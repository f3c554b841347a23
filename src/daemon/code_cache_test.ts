import { execFile, spawn } from "node:child_process";
import {
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { promisify } from "node:util";

const ROOT = join(__dirname, "../..");
/** The Node flags of the routers' run command. */
const FLAGS = /^run = "node (.*) \S+"$/m.exec(
  readFileSync(join(ROOT, "deploy/system.toml"), "utf8"),
)![1]!.split(" ");
const { sealBundle } = require("../../deploy/code_cache.cjs") as {
  sealBundle(source: string): string;
};
const HEAD_BYTES = sealBundle("").length;
const FREE_ADDRESS = "127.0.0.1:0";
const SETTINGS = `[router]
name = r1
failure_domain = east
[listen]
callers = ${FREE_ADDRESS}
ready = ${FREE_ADDRESS}
peers = ${FREE_ADDRESS}
metrics = ${FREE_ADDRESS}
[store]
address = 127.0.0.1:9
`;

let directory: string;
let built: string;

async function build(target: string, env = process.env): Promise<string> {
  const command = ["deploy/build.mjs", target];
  const options = { cwd: ROOT, env };
  return (await promisify(execFile)(process.execPath, command, options)).stderr;
}

beforeAll(async () => {
  directory = mkdtempSync(join(tmpdir(), "corianderflow-"));
  built = join(directory, "built");
  writeFileSync(join(directory, "router.ini"), SETTINGS);
  expect(await build(built)).toBe("");
}, 60_000);

afterAll(() => rmSync(directory, { recursive: true }));

/**
 * Starts the program of a directory and ends it once it has started. Returns
 * the state of the code cache in the line of its start, or how it ended.
 */
function start(target: string, flags = FLAGS): Promise<string> {
  const child = spawn(
    process.execPath,
    [...flags, join(target, "corianderflowd.js")],
    {
      env: {
        PATH: process.env["PATH"],
        CORIANDERFLOW_SETTINGS: join(directory, "router.ini"),
      },
    },
  );
  let output = "";
  let errors = "";
  child.stderr.on("data", (chunk) => errors += String(chunk));
  return new Promise((resolve) => {
    child.stdout.on("data", (chunk) => {
      output += String(chunk);
      const line = /^.*The router has started.*$/m.exec(output)?.[0];
      if (line === undefined) return;
      child.kill("SIGKILL");
      resolve((JSON.parse(line) as { codeCache: string }).codeCache);
    });
    child.on("close", (code, signal) => {
      resolve(`ended with ${code ?? signal}: ${errors}`);
    });
  });
}

let copies = 0;

/** Copies the build and lets `change` change a file of the copy. */
function copyBuild(
  name: string,
  change: (bytes: Buffer, file: string) => Buffer | void,
): string {
  const copy = join(directory, `copy-${++copies}`);
  cpSync(built, copy, { recursive: true });
  const file = join(copy, name);
  const bytes = readFileSync(file);
  rmSync(file);
  const changed = change(bytes, file);
  if (changed !== undefined) writeFileSync(file, changed);
  return copy;
}

function flip(bytes: Buffer, at: number, length = 1): Buffer {
  for (let i = at; i < at + length; i++) bytes[i]! ^= 0x5a;
  return bytes;
}

function findPayload(cache: Buffer): number {
  return cache.indexOf("\n") + 1;
}

function changeHead(name: string, value: unknown): (b: Buffer) => Buffer {
  return (cache) => {
    const at = findPayload(cache);
    const head = JSON.parse(cache.toString("utf8", 0, at)) as object;
    const line = JSON.stringify({ ...head, [name]: value }) + "\n";
    return Buffer.concat([Buffer.from(line), cache.subarray(at)]);
  };
}

type CacheCase = [
  name: string,
  change: (bytes: Buffer, file: string) => Buffer | void,
  state: string | RegExp,
];

// V8 ended by SIGSEGV or SIGTRAP, or ran wrong code, at every start beside a
// damaged cache.
test.each<CacheCase>([
  ["whole", (bytes) => bytes, "used"],
  ["with another first byte", (b) => flip(b, findPayload(b)), "wrong checksum"],
  ...[0.1, 0.4, 0.8].map((part): CacheCase => [
    `with 512 other bytes at ${part}`,
    (bytes) => flip(bytes, Math.floor(bytes.length * part), 512),
    "wrong checksum",
  ]),
  ["with another last byte", (b) => flip(b, b.length - 1), "wrong checksum"],
  [
    "with 5,000 zero bytes at its end",
    (bytes) => bytes.fill(0, bytes.length - 5_000),
    "wrong checksum",
  ],
  ["cut in half", (b) => b.subarray(0, b.length / 2), /^has \d+ bytes, not/],
  ["with a byte more", (b) => Buffer.concat([b, b.subarray(0, 1)]), /^has/],
  ["cut in its head", (bytes) => bytes.subarray(0, 60), "no head"],
  ["without a head", (b) => b.subarray(findPayload(b)), "no head"],
  ["with a head that is no object", () => Buffer.from("null\n"), "no head"],
  ["empty", () => Buffer.alloc(0), "no head"],
  ["missing", () => undefined, /^ENOENT/],
  ["a folder", (_, file) => void mkdirSync(file), /^EISDIR/],
  ["unreadable", (_, file) => symlinkSync("bundle.cache", file), /^ELOOP/],
  ["of another Node", changeHead("node", "v20.0.0"), /^made for node "v20.0.0/],
  ["of another V8", changeHead("v8", "11.3.0"), /^made for v8 "11.3.0"/],
  ["of another platform", changeHead("platform", "aix"), /^made for platform/],
  ["of another architecture", changeHead("arch", "ia32"), /^made for arch/],
  ["of other flags", changeHead("execArgv", []), /^made for execArgv/],
  ["of a head without flags", changeHead("execArgv", undefined), /^made for e/],
  [
    "of another build of this Node",
    changeHead("executableBytes", 1),
    /^made for executableBytes 1/,
  ],
  ["of another length", changeHead("length", 1), /^has \d+ bytes, not 1$/],
])("a router starts beside a code cache %s", async (_name, change, state) => {
  const expected = typeof state === "string" ? state : expect.stringMatching(
    state,
  );
  expect(await start(copyBuild("bundle.cache", change))).toEqual(expected);
});

// The code of the bundle before was run: V8 compares no more than the length.
test("a router does not use the code cache of a bundle of the same length", async () => {
  const target = copyBuild("bundle.js", (bytes) => {
    const source = bytes.toString("utf8", HEAD_BYTES);
    const changed = source.replace(
      "router has started.",
      "router has started!",
    );
    expect(changed).not.toBe(source);
    return Buffer.from(sealBundle(changed));
  });
  expect(await start(target)).toMatch(/^made for bundle "[0-9a-f]{64}"$/);
});

test("a router under other flags starts without the code cache", async () => {
  expect(await start(built, [...FLAGS, "--max-lazy"])).toMatch(
    /^made for execArgv/,
  );
});

// Damaged code was run as far as it could be parsed.
test.each<[string, (bytes: Buffer) => Buffer | void, RegExp]>([
  ["with another byte", (bytes) => flip(bytes, 1_000_000), /has checksum/],
  ["cut in half", (b) => b.subarray(0, b.length / 2), /has checksum/],
  ["empty", () => Buffer.alloc(0), /has no checksum/],
  ["without a checksum", (b) => b.subarray(HEAD_BYTES), /has no checksum/],
  ["missing", () => undefined, /ENOENT/],
])("a bundle %s is named and ends the start", async (_name, change, fault) => {
  const target = copyBuild("bundle.js", change);
  const end = await start(target);
  expect(end).toMatch(/^ended with 1: corianderflowd: cannot start: /);
  expect(end).toMatch(fault);
  expect(end).toContain(join(target, "bundle.js"));
});

// A build wrote its files in place and loaded the old cache to make the new one.
test("routers start while two builds replace a damaged one", async () => {
  const target = copyBuild("bundle.cache", (b) => flip(b, 100_000, 512));
  let isBuilding = true;
  const builds = Promise.all([build(target), build(target)]).finally(() => {
    isBuilding = false;
  });
  const states = new Set<string>();
  while (isBuilding) states.add(await start(target));
  expect(await builds).toEqual(["", ""]);
  states.add(await start(target));
  expect([...states].filter((state) => state.startsWith("ended"))).toEqual([]);
  expect(await start(target)).toBe("used");
  expect(readdirSync(target).toSorted()).toEqual([
    "bundle.cache",
    "bundle.js",
    "corianderflowd.js",
  ]);
}, 60_000);

// A code cache that could not be made failed the build or left the old one.
test("a build succeeds without a code cache and says so", async () => {
  const target = copyBuild("bundle.cache", (bytes) => bytes);
  const env = { ...process.env, TMPDIR: join(directory, "none") };
  expect(await build(target, env)).toContain(
    "deploy/build.mjs: routers will start without a code cache: ",
  );
  expect(existsSync(join(target, "bundle.cache"))).toBe(false);
  expect(await start(target)).toMatch(/^ENOENT/);
}, 60_000);
