/**
 * Runs a fleet under load, injects the faults of a seeded schedule and checks
 * the result.
 *
 * `node dist/bench/chaos_main.js [--seed N] [--minutes M]` exits with 0 only if
 * every check passes. Logs are in `out/chaos-<seed>`.
 */
import { rmSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import {
  type ChaosEvent,
  createChaosSchedule,
} from "../testing/chaos_schedule.ts";
import { startFleet } from "../testing/fleet.ts";
import { renderChaosReport } from "./chaos_report.ts";
import { getChaosTargets, runChaos } from "./chaos_run.ts";
import { findChaosViolations } from "./chaos_verdict.ts";

const MS_PER_MINUTE = 60_000;
const DRAIN_MS = "1000";

const { values } = parseArgs({
  strict: true,
  options: {
    "seed": { type: "string", default: "1" },
    "minutes": { type: "string", default: "1" },
  },
});

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function printEvent(
  { atMs, kind, target, durationMs }: ChaosEvent,
): void {
  print(`${atMs} ms: ${kind} ${target} for ${durationMs} ms`);
}

async function main(): Promise<void> {
  const seed = Number(values.seed);
  const durationMs = Number(values.minutes) * MS_PER_MINUTE;
  const directory = `out/chaos-${seed}`;
  rmSync(directory, { recursive: true, force: true });
  const fleet = await startFleet({
    directory,
    freePorts: true,
    hasLinks: true,
    settings: { limits: { "drain_ms": DRAIN_MS } },
  });
  fleet.stopOnSignals();
  try {
    await fleet.apply();
    await fleet.waitUntilServing();
    const targets = getChaosTargets(fleet);
    const schedule = createChaosSchedule({ seed, targets, durationMs });
    print(`Seed ${seed}: ${schedule.length} faults scheduled.`);
    const evidence = await runChaos({
      fleet,
      directory,
      schedule,
      seed,
      durationMs,
      onEvent: printEvent,
    });
    const violations = findChaosViolations(evidence);
    print(`\n${renderChaosReport(evidence, violations)}\n`);
    print(
      violations.length === 0
        ? "All checks passed."
        : `Seed ${seed}: violations found.`,
    );
    process.exitCode = violations.length === 0 ? 0 : 1;
  } finally {
    await fleet.stopAll();
  }
}

void main();
