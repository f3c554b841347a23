/**
 * Runs the model of the capacity shares on random scenarios for a given time
 * and prints a summary.
 *
 *     node dist/bench/soak_main.js --seed 1 --minutes 1
 *
 * Exits with 1 if a scenario exceeds the limit or does not recover; the output
 * then holds that scenario, shrunk.
 */
import { parseArgs } from "node:util";
import process from "node:process";
import fc from "fast-check";
import { loadHash } from "../src/policy/rendezvous.ts";
import { arbitraryScenario } from "../src/policy/testing/arbitrary_scenario.ts";
import {
  isOutcomeCorrect,
  runScenario,
} from "../src/policy/testing/shares_model.ts";

const MS_PER_MINUTE = 60_000;

interface Totals {
  runs: number;
  admissions: number;
  sharedAdmissions: number;
  violations: number;
  peak: number;
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      minutes: { type: "string", default: "1" },
    },
  });
  const hash = await loadHash();
  const totals = {
    runs: 0,
    admissions: 0,
    sharedAdmissions: 0,
    violations: 0,
    peak: 0,
  };
  const property = fc.property(arbitraryScenario, (scenario) => {
    const outcome = runScenario(scenario, hash);
    totals.runs++;
    totals.admissions += outcome.admissions;
    totals.sharedAdmissions += outcome.sharedAdmissions;
    totals.violations += outcome.violations.length;
    totals.peak = Math.max(totals.peak, outcome.peak);
    return isOutcomeCorrect(outcome, scenario);
  });
  const details = fc.check(property, {
    seed: Number(values.seed),
    numRuns: Number.MAX_SAFE_INTEGER,
    interruptAfterTimeLimit: Number(values.minutes) * MS_PER_MINUTE,
  });
  const failed = details.counterexample !== null;
  if (failed) print(`scenario ${JSON.stringify(details.counterexample)}`);
  print(renderSummary({ failed, totals, seed: values.seed }));
  process.exitCode = failed ? 1 : 0;
}

function renderSummary(
  { failed, totals, seed }: { failed: boolean; totals: Totals; seed: string },
): string {
  const counts = Object.entries(totals)
    .map(([name, value]) => `${name}=${Number(value.toFixed(2))}`);
  return `soak: ${failed ? "FAILED" : "passed"} seed=${seed} ${
    counts.join(" ")
  }`;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

void main();
