import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import {
  appendFileSync,
  copyFileSync,
  mkdtempSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { findFreeAddress } from "../../testing/free_address.ts";
import { MetadataStoreServer } from "../../testing/metadata_store.ts";
import { RECEIVED_SIGNALS } from "./signals.ts";

const ROOT = join(__dirname, "../..");
const BUNDLE = join(ROOT, "target/corianderflowd.js");

let directory: string;
let store: MetadataStoreServer;

beforeAll(async () => {
  execFileSync(process.execPath, ["deploy/build.mjs"], { cwd: ROOT });
  directory = mkdtempSync(join(tmpdir(), "corianderflow-"));
  store = await new MetadataStoreServer().open();
  store.put("op/config", {
    version: 1,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
});

afterAll(async () => {
  await store.close();
  rmSync(directory, { recursive: true });
});

function startBundle(
  settings: string,
): { child: ChildProcess; lines: string[] } {
  const file = join(directory, "node.ini");
  writeFileSync(file, settings);
  return startProcess(file);
}

function startProcess(
  file: string,
  program = BUNDLE,
): { child: ChildProcess; lines: string[] } {
  const child = spawn(process.execPath, [program], {
    env: { PATH: process.env["PATH"], CORIANDERFLOW_SETTINGS: file },
  });
  const lines: string[] = [];
  child.stdout!.on("data", (chunk) => lines.push(...splitLines(String(chunk))));
  child.stderr!.on("data", (chunk) => lines.push(...splitLines(String(chunk))));
  return { child, lines };
}

interface Addresses {
  readonly callers: string;
  readonly ready: string;
  readonly peers: string;
  readonly metrics: string;
}

async function findAddresses(): Promise<Addresses> {
  return {
    callers: await findFreeAddress(),
    ready: await findFreeAddress(),
    peers: await findFreeAddress(),
    metrics: await findFreeAddress(),
  };
}

function renderSettings(
  { callers, ready, peers, metrics }: Addresses,
): string {
  return `
[router]
name = r1
failure_domain = east
[listen]
callers = ${callers}
ready = ${ready}
peers = ${peers}
metrics = ${metrics}
[store]
address = ${store.address}
[bounds]
grace_s = 1
`;
}

/**
 * Starts the bundle with settings that it reads from a pipe, so that its start
 * can be held up; resolves when it has opened the pipe.
 */
async function startHeldUpBundle(): Promise<
  { child: ChildProcess; lines: string[]; settings: FileHandle }
> {
  const file = join(directory, "node.pipe");
  execFileSync("mkfifo", [file]);
  const started = startProcess(file);
  return { ...started, settings: await open(file, "w") };
}

function splitLines(text: string): string[] {
  return text.split("\n").filter((line) => line !== "");
}

async function until(isTrue: () => boolean | Promise<boolean>): Promise<void> {
  while (!await isTrue()) {
    await new Promise((resolve) => setTimeout(resolve, 30));
  }
}

async function getStatus(url: string): Promise<number> {
  try {
    return (await fetch(url)).status;
  } catch {
    // The program is not listening yet.
    return 0;
  }
}

test(
  "the bundle serves requests, reloads its settings and exits with code 0",
  async () => {
    const addresses = await findAddresses();
    const { callers, ready, metrics } = addresses;
    const { child, lines } = startBundle(renderSettings(addresses));
    const readyUrl = `http://${ready}/corianderflow/ready`;
    await until(async () => await getStatus(readyUrl) === 200);
    expect(await getStatus(`http://${callers}/none/`)).toBe(404);
    const text = await (await fetch(`http://${metrics}/metrics`)).text();
    expect(text).toMatch(/^corianderflow_configuration_version 1$/m);
    appendFileSync(join(directory, "node.ini"), "retry_slack = 7\n");
    child.kill("SIGHUP");
    await until(() => lines.some((line) => line.includes('"retrySlack":7')));
    appendFileSync(join(directory, "node.ini"), "retry_ratio = much\n");
    child.kill("SIGHUP");
    await until(() =>
      lines.some((line) => line.includes("settings are invalid"))
    );
    const ended = once(child, "exit");
    child.kill("SIGTERM");
    expect(await ended).toEqual([0, null]);
    expect(store.keys("corianderflow/routers/")).toEqual([]);
    const parsed = lines.map((line) => JSON.parse(line) as { message: string });
    expect(parsed.at(-1)?.message).toBe("daemon: The router has stopped.");
  },
  30_000,
);

test(
  "the program exits with code 2 if its settings are invalid",
  async () => {
    const { child, lines } = startBundle("[store]\naddress = nowhere\n");
    expect(await once(child, "exit")).toEqual([2, null]);
    expect(lines.join("\n")).toContain(
      "node.ini:2: [store] address must be an address, ip:port",
    );
  },
  30_000,
);

test(
  "a stop that is asked for during the start is graceful",
  async () => {
    const { child, lines, settings } = await startHeldUpBundle();
    child.kill("SIGTERM");
    await settings.writeFile(renderSettings(await findAddresses()));
    await settings.close();
    expect(await once(child, "exit")).toEqual([0, null]);
    expect(lines.join("\n")).toContain("The router has stopped.");
  },
  20_000,
);

const { sealBundle } = require("../../deploy/code_cache.cjs") as {
  sealBundle(source: string): string;
};
const ENDING_SIGNALS: readonly string[] = ["SIGTERM", "SIGINT"];

/** Starts the loader with a bundle that takes a while to load. */
function startSlowBundle(
  settings: string,
): { child: ChildProcess; lines: string[] } {
  const target = mkdtempSync(join(directory, "target-"));
  const loader = join(target, "corianderflowd.js");
  copyFileSync(BUNDLE, loader);
  const bundle = join(ROOT, "target/bundle.js");
  writeFileSync(
    join(target, "bundle.js"),
    sealBundle(`const { writeSync } = require("node:fs");
    writeSync(1, '{"message":"loading"}\\n');
    const end = Date.now() + 500;
    while (Date.now() < end);
    require(${JSON.stringify(bundle)});`),
  );
  const file = join(target, "node.ini");
  writeFileSync(file, settings);
  return startProcess(file, loader);
}

// Guards against a signal during the start ending the router.
test(
  "signals that come before the bundle is loaded do not end the router",
  async () => {
    const { child, lines } = startSlowBundle(
      renderSettings(await findAddresses()),
    );
    const ignored = RECEIVED_SIGNALS.filter((signal) =>
      !ENDING_SIGNALS.includes(signal) && signal !== "SIGHUP"
    );
    function countIgnored(): number {
      return lines.filter((line) => line.includes("A signal is ignored."))
        .length;
    }
    await until(() => lines.length > 0);
    for (const signal of [...ignored, "SIGHUP"] as const) child.kill(signal);
    await until(() => countIgnored() === ignored.length);
    await until(() => lines.some((line) => line.includes("were reloaded.")));
    for (const signal of ignored) child.kill(signal);
    await until(() => countIgnored() === 2 * ignored.length);
    child.kill("SIGHUP");
    child.kill("SIGTERM");
    child.kill("SIGHUP");
    expect(await once(child, "exit")).toEqual([0, null]);
  },
  20_000,
);

test(
  "a stop that is asked for before the bundle is loaded is graceful",
  async () => {
    const { child, lines } = startSlowBundle(
      renderSettings(await findAddresses()),
    );
    await until(() => lines.length > 0);
    child.kill("SIGTERM");
    expect(await once(child, "exit")).toEqual([0, null]);
    expect(lines.join("\n")).toContain("The router has stopped.");
  },
  20_000,
);
