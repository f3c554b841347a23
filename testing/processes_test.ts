import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Processes } from "./processes.ts";

const LISTENING_SCRIPT = `
console.log("starting");
console.log(JSON.stringify({ listening: "127.0.0.1:9", control: "x" }));
setInterval(() => {}, 1000);
`;

function createScript(text: string): { script: string; directory: string } {
  const directory = mkdtempSync(join(tmpdir(), "processes-"));
  const script = join(directory, "script.js");
  writeFileSync(script, text);
  return { script, directory };
}

describe("Processes", () => {
  test("reads the address, logs the output and stops the process", async () => {
    const { script, directory } = createScript(
      `process.on("SIGTERM", () => process.exit(3));${LISTENING_SCRIPT}`,
    );
    const processes = new Processes({ logDirectory: directory });
    const started = await processes.start(script, [], { name: "one" });
    expect(started.address).toBe("127.0.0.1:9");
    expect(started.announcement["control"]).toBe("x");
    expect(await processes.stop("one")).toBe(3);
    expect(await started.exited).toBe(3);
    expect(processes.signal("one")).toBe(false);
    expect(readFileSync(started.logFile, "utf8")).toContain("starting");
  });

  test("kills a process that ignores SIGTERM", async () => {
    const { script, directory } = createScript(
      `process.on("SIGTERM", () => {});${LISTENING_SCRIPT}`,
    );
    const options = { logDirectory: directory, graceMs: 50 };
    const processes = new Processes(options);
    const started = await processes.start(script, []);
    await processes.stopAll();
    expect(await started.exited).toBeNull();
  });

  test("rejects with the output of a process that exits before it listens", async () => {
    const { script, directory } = createScript(`console.error("no port");`);
    const processes = new Processes({ logDirectory: directory });
    await expect(processes.start(script, [])).rejects.toThrow("no port");
  });
});
