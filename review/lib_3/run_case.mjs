/**
 * Runs a case: writes its record, and exits with 0 if the rule held, with 1 if it
 * was broken, and with 2 if the case could not run.
 */
import { writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { Fleet } from "./fleet.mjs";

const MAX_CASE_MS = 110_000;
const MS_PER_SECOND = 1_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/**
 * `play` receives the fleet, whether the disruption is played, and a function
 * that adds a line to the record; it returns the breaches that were seen.
 */
export async function runCase(url, play) {
  const isTrouble = process.env.TROUBLE !== "0";
  const startedAt = performance.now();
  const lines = [`disruption: ${isTrouble ? "yes" : "no"}`];
  const record = (text) => {
    const s = (performance.now() - startedAt) / MS_PER_SECOND;
    lines.push(`${s.toFixed(3)} s  ${text}`);
  };
  const fleet = new Fleet();
  let exitCode = EXIT_NOT_RUN;
  const isLate = new Promise((_, reject) => {
    const error = new Error("the case took too long");
    setTimeout(() => reject(error), MAX_CASE_MS).unref();
  });
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.once(signal, () => {
      for (const router of fleet.routers) router.kill("SIGKILL");
      process.exit(EXIT_NOT_RUN);
    });
  }
  try {
    await fleet.open();
    const played = play({ fleet, isTrouble, record });
    const breaches = await Promise.race([played, isLate]);
    for (const each of breaches) record(`BROKEN: ${each}`);
    record(breaches.length === 0 ? "the rule held" : "the rule was broken");
    exitCode = breaches.length === 0 ? EXIT_HELD : EXIT_BROKEN;
  } catch (cause) {
    record(`the case could not run: ${cause.stack}`);
  }
  await fleet.close().catch((cause) => record(`not closed: ${cause}`));
  const text = lines.join("\n") + "\n";
  writeFileSync(join(dirname(fileURLToPath(url)), "record.txt"), text);
  process.stdout.write(lines.slice(-4).join("\n") + "\n");
  process.exit(exitCode);
}
