/**
 * Runs a fleet under load while faults of a seeded schedule hit it, and judges
 * what came of it.
 *
 * `node dist/bench/chaos_main.js [--seed N] [--minutes M]` exits with 0 only if
 * everything held that must always hold. Logs are in `out/chaos-<seed>`.
 */
import { rmSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import {
  type ChaosEvent,
  createChaosSchedule,
} from "../testing/chaos_schedule.ts";
import { startFleet } from "../testing/fleet.ts";
import { renderChaos } from "./chaos_report.ts";
import { getChaosTargets, runChaos } from "./chaos_run.ts";
import { judgeChaos } from "./chaos_verdict.ts";

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

function printEvent({ atMs, kind, target, forMs }: ChaosEvent): void {
  print(`${atMs} ms: ${kind} ${target} for ${forMs} ms`);
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
    print(`Seed ${seed}: ${schedule.length} faults.`);
    const evidence = await runChaos({
      fleet,
      directory,
      schedule,
      seed,
      durationMs,
      onEvent: printEvent,
    });
    const faults = judgeChaos(evidence);
    print(`\n${renderChaos(evidence, faults)}\n`);
    print(faults.length === 0 ? "All held." : `Seed ${seed} found faults.`);
    process.exitCode = faults.length === 0 ? 0 : 1;
  } finally {
    await fleet.stopAll();
  }
}

void main();
