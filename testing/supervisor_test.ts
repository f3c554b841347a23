import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Processes } from "./processes.ts";
import { Supervisor } from "./supervisor.ts";

const LISTENING_SCRIPT = `
process.on("SIGTERM", () => process.exit(0));
console.log(JSON.stringify({ listening: "127.0.0.1:9" }));
setInterval(() => {}, 1000);
`;

function superviseScript(text: string) {
  const directory = mkdtempSync(join(tmpdir(), "supervisor-"));
  const script = join(directory, "script.js");
  writeFileSync(script, text);
  const processes = new Processes({ logDirectory: directory });
  const supervisor = new Supervisor(processes);
  return {
    processes,
    supervisor,
    start: () =>
      supervisor.start(
        "one",
        () => processes.start(script, [], { name: "one" }),
      ),
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(10);
}

test("a process that ends by itself is counted and starts again", async () => {
  const { processes, supervisor, start } = superviseScript(LISTENING_SCRIPT);
  expect(await start()).toBe(true);
  processes.signal("one", "SIGUSR2");
  await waitUntil(() => processes.ends.length === 1);
  await waitUntil(() => processes.hasStarted("one"));
  expect(await supervisor.stop("one")).toBe(0);
  expect(processes.ends).toMatchObject([
    { signal: "SIGUSR2", isAsked: false, hasStarted: true },
    { exitCode: 0, isAsked: true, hasStarted: true },
  ]);
});

test("a process that does not start is counted with its lines and tried again", async () => {
  const { processes, supervisor, start } = superviseScript(
    `console.error("no port"); process.exit(3);`,
  );
  expect(await start()).toBe(false);
  await waitUntil(() => processes.ends.length === 2);
  expect(await supervisor.stop("one")).toBeUndefined();
  expect(processes.ends[0]).toMatchObject({
    exitCode: 3,
    isAsked: false,
    hasStarted: false,
    lastErrors: "no port\n",
  });
});

test("the end of a process is seen after its output was closed or not read", async () => {
  const { processes, supervisor, start } = superviseScript(LISTENING_SCRIPT);
  await start();
  processes.pauseOutput("one");
  expect(await supervisor.stop("one")).toBe(0);
  await start();
  processes.closeOutput("one");
  expect(await supervisor.stop("one")).toBe(0);
});
