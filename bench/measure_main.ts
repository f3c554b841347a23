/**
 * Measures the fleet and the baselines on both deployments, with real
 * processes: `measure_main [--quick] [--seed N] [--deployment NAME]`.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { Processes } from "../testing/processes.ts";
import { BASELINE_NAMES } from "./baselines_policy.ts";
import { measureBaseline } from "./measure_baselines.ts";
import { measureFleet } from "./measure_fleet.ts";
import {
  FULL_SCHEDULE,
  QUICK_SCHEDULE,
  type Schedule,
} from "./measure_phases.ts";
import { readProcessUse } from "./measure_processes.ts";
import type { DeploymentResult, MeasureResult } from "./measure_result.ts";
import type { RunFigures } from "./measure_run.ts";
import { evaluateTargets } from "./measure_targets.ts";
import type { Deployment } from "./measure_workload.ts";
import { renderReport } from "./report_html.ts";
import {
  createVerdictRows,
  formatNumber,
  renderTable,
} from "./report_table.ts";

interface Options {
  readonly seed: number;
  readonly schedule: Schedule;
  readonly deployments: readonly Deployment[];
}

const OUTPUT_DIRECTORY = "out";
const BARE_SETTLE_MS = 500;
const NOTE = "Figures of one shared machine: processor seconds and counts " +
  "hold better than wall times.";

function readOptions(): Options {
  const { values } = parseArgs({
    options: {
      quick: { type: "boolean", default: false },
      seed: { type: "string", default: "1" },
      deployment: { type: "string" },
    },
  });
  const { deployment } = values;
  const all = values.quick ? ["rokuro"] : ["rokuro", "tuul"];
  return {
    seed: Number(values.seed),
    schedule: values.quick ? QUICK_SCHEDULE : FULL_SCHEDULE,
    deployments: (deployment ? [deployment] : all) as Deployment[],
  };
}

/** Options of all runs of one deployment. */
type RunOptions = Omit<Options, "deployments"> & {
  readonly deployment: Deployment;
  readonly directory: string;
};

/**
 * Runs each baseline except `bound` on all deployments concurrently. Their
 * figures are counts; runs that are compared by time are not concurrent.
 */
async function measureNaiveBaselines(
  runs: readonly RunOptions[],
): Promise<RunFigures[][]> {
  const byDeployment: RunFigures[][] = runs.map(() => []);
  for (const name of BASELINE_NAMES) {
    if (name === "bound") continue;
    const figures = await Promise.all(
      runs.map((options, slot) => measureBaseline({ ...options, name, slot })),
    );
    figures.forEach((each, index) => byDeployment[index]!.push(each));
  }
  return byDeployment;
}

async function measureAll(
  { deployments, ...options }: Options,
  bareBytes: number,
): Promise<DeploymentResult[]> {
  const directory = join(OUTPUT_DIRECTORY, "measure");
  const runs = deployments.map((deployment) => ({
    ...options,
    deployment,
    directory,
  }));
  const naiveRuns = await measureNaiveBaselines(runs);
  const results: DeploymentResult[] = [];
  for (const [index, run] of runs.entries()) {
    const fleet = await measureFleet(run);
    const bound = await measureBaseline({ ...run, name: "bound" });
    const baselines = [...naiveRuns[index]!, bound];
    const verdicts = evaluateTargets({ fleet, bound, bareBytes });
    const result = {
      deployment: run.deployment,
      fleet,
      baselines,
      verdicts,
    };
    print(result);
    results.push(result);
  }
  return results;
}

/** Returns the resident memory of an idle process, in bytes. */
async function measureIdleProcess(): Promise<number> {
  const processes = new Processes({
    logDirectory: join(OUTPUT_DIRECTORY, "measure"),
  });
  try {
    const bare = await processes.start("dist/bench/measure_bare_main.js", []);
    await sleep(BARE_SETTLE_MS);
    return readProcessUse(bare.pid).residentBytes;
  } finally {
    await processes.stopAll();
  }
}

function createRunRows(runs: readonly RunFigures[]): string[][] {
  const head = [
    ...["router", "reuse steady", "reuse churn", "skew p50", "skew p99"],
    "above k",
    ...["first token p50", "p99 ms", "refused", "broken", "falls"],
  ];
  const rows = runs.map(({ router, steady, churn, skew, falls, load }) => [
    router,
    formatNumber(steady.reuse),
    formatNumber(churn.reuse),
    formatNumber(skew.p50),
    formatNumber(skew.p99),
    formatNumber(skew.aboveLimitShare),
    formatNumber(steady.firstTokenMs.p50),
    formatNumber(steady.firstTokenMs.p99),
    String(
      Object.values(load.chats.refused).reduce((sum, each) => sum + each, 0),
    ),
    String(load.chats.broken),
    String(falls.falls),
  ]);
  return [head, ...rows];
}

function print({ deployment, fleet, baselines, verdicts }: DeploymentResult) {
  const runs = renderTable(createRunRows([fleet, ...baselines]));
  const targets = renderTable(createVerdictRows(verdicts));
  process.stdout.write(`\n${deployment}\n\n${runs}\n\n${targets}\n`);
}

async function main(): Promise<void> {
  const options = readOptions();
  const [before] = loadavg();
  const bareBytes = await measureIdleProcess();
  const deployments = await measureAll(options, bareBytes);
  const result: MeasureResult = {
    seed: options.seed,
    note: NOTE,
    schedule: options.schedule,
    bareBytes,
    loadAverage: [before!, loadavg()[0]!],
    deployments,
  };
  mkdirSync(OUTPUT_DIRECTORY, { recursive: true });
  writeFileSync(
    join(OUTPUT_DIRECTORY, "measure.json"),
    JSON.stringify(result, null, 1),
  );
  writeFileSync(join(OUTPUT_DIRECTORY, "measure.html"), renderReport(result));
  process.stdout.write(
    `\nLoad average ${formatNumber(before!)} before and ` +
      `${formatNumber(result.loadAverage[1])} after. ${NOTE}\n`,
  );
}

void main();
