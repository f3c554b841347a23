/**
 * Runs a fleet with a metadata store under load, injects the faults of a seeded
 * schedule and checks the result.
 *
 * `node dist/bench/store_chaos_main.js [--seed N] [--seeds N] [--seconds S]
 * [--routers N] [--only-streams] [--only-ends] [--only-items] [--only-pauses]
 * [--without-pauses] [--without-items] [--without-ends] [--without-streams]
 * [--without-links] [--other-bundle PATH]` exits with 0 only if every check passes
 * for every seed. Logs are in `out/store-chaos-<seed>`.
 *
 * With `--only-streams` it draws only faults that cut off answers, twice as many,
 * with `--only-ends` only those under which a router may end by itself, with
 * `--only-items` only items of other programs in the store and what has routers
 * read it, with `--only-pauses` only answers that pause and what routers do
 * meanwhile. With `--without-pauses` a seed draws the faults that it drew before
 * there were such answers, with `--without-items` those before items of other
 * programs, with `--without-ends` those before routers that end by themselves, with
 * `--without-streams` those before answers that are reset and engines that change
 * their version, with `--without-links` those before routers without links and
 * brittle upstreams. With `--other-bundle`, a `corianderflowd.js` of another
 * commit, every second router runs that build, and each is replaced by one of the
 * other build during the run.
 */
import { rmSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import {
  type ChaosKind,
  createChaosSchedule,
} from "../testing/chaos_schedule.ts";
import { ROUTER_END_KINDS } from "./store_chaos_end_faults.ts";
import type { Call, StoreChaosEvidence } from "./store_chaos_evidence.ts";
import { StoreFleet } from "./store_chaos_fleet.ts";
import {
  ANSWER_PAUSE_KINDS,
  FOREIGN_ITEM_KINDS,
  getStoreChaosTargets,
  runStoreChaos,
  STORE_END_KINDS,
  STORE_ITEM_KINDS,
  STORE_LINK_KINDS,
  STORE_PAUSE_KINDS,
  STORE_SOAK_KINDS,
  STORE_STREAM_KINDS,
  STREAM_CUT_KINDS,
} from "./store_chaos_run.ts";
import {
  findStoreChaosViolations,
  isEndByItself,
} from "./store_chaos_verdict.ts";

const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1_048_576;
/** Streams that last for about half a second. */
const EVENT_INTERVAL_MS = 60;

const { values } = parseArgs({
  strict: true,
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "20" },
    routers: { type: "string", default: "6" },
    "only-streams": { type: "boolean", default: false },
    "only-items": { type: "boolean", default: false },
    "only-pauses": { type: "boolean", default: false },
    "without-pauses": { type: "boolean", default: false },
    "without-items": { type: "boolean", default: false },
    "only-ends": { type: "boolean", default: false },
    "without-ends": { type: "boolean", default: false },
    "without-streams": { type: "boolean", default: false },
    "other-bundle": { type: "string" },
    "without-links": { type: "boolean", default: false },
  },
});
const hasStreamFaults = !values["without-streams"] && !values["without-links"];

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function renderOutcomeCounts(calls: readonly Call[]): string {
  const counts = new Map<string, number>();
  for (const { end } of calls) counts.set(end, (counts.get(end) ?? 0) + 1);
  return [...counts].map(([end, count]) => `${count} ${end}`).join(", ");
}

function countResumptions(calls: readonly Call[]): number {
  return calls.filter(({ resumptions }) => resumptions.length > 0).length;
}

function getKinds(): readonly ChaosKind[] {
  if (values["only-streams"]) return STREAM_CUT_KINDS;
  if (values["only-ends"]) return ROUTER_END_KINDS;
  if (values["only-items"]) return FOREIGN_ITEM_KINDS;
  if (values["only-pauses"]) return ANSWER_PAUSE_KINDS;
  if (hasStreamFaults) {
    if (values["without-ends"]) return STORE_STREAM_KINDS;
    if (values["without-items"]) return STORE_END_KINDS;
    return values["without-pauses"] ? STORE_ITEM_KINDS : STORE_PAUSE_KINDS;
  }
  return values["without-links"] ? STORE_SOAK_KINDS : STORE_LINK_KINDS;
}

function countMixed(calls: readonly Call[]): number {
  return calls.filter(({ versions }) => versions.length > 1).length;
}

function renderProcesses(
  { ends, peakMemory, reusedShare }: StoreChaosEvidence,
): string {
  const own = ends.filter(isEndByItself);
  const peak = Math.max(0, ...peakMemory.values()) / BYTES_PER_MB;
  return `${own.length} of ${ends.length} ends by themselves, ` +
    `at most ${peak.toFixed()} MB, ` +
    `${(reusedShare * 100).toFixed()} % on open connections`;
}

/** Runs one seed; returns true if every check passes. */
async function runSeed(seed: number): Promise<boolean> {
  const directory = `out/store-chaos-${seed}`;
  rmSync(directory, { recursive: true, force: true });
  const otherProgram = values["other-bundle"];
  const fleet = new StoreFleet({
    directory,
    routers: Number(values.routers),
    engines: 4,
    plainServices: 3,
    engineVersions: ["v1", "v2"],
    ...(hasStreamFaults && { eventIntervalMs: EVENT_INTERVAL_MS }),
    ...(otherProgram !== undefined && { otherProgram }),
  });
  await fleet.open();
  const durationMs = Number(values.seconds) * MS_PER_SECOND;
  const schedule = createChaosSchedule({
    seed,
    durationMs,
    targets: getStoreChaosTargets(fleet),
    kinds: getKinds(),
    maxFaultMs: durationMs / 2,
    meanGapMs: values["only-streams"] ? MS_PER_SECOND / 2 : MS_PER_SECOND,
  });
  const evidence = await runStoreChaos({ fleet, schedule, seed, durationMs });
  const violations = findStoreChaosViolations(evidence);
  const { calls, recovery, crashes } = evidence;
  print(
    `Seed ${seed}: ${schedule.length} faults; ${renderOutcomeCounts(calls)}; ` +
      `${crashes.length} engine crashes; ` +
      `${countResumptions(calls)} streams taken up, ${countMixed(calls)} of ` +
      `two versions; ${renderProcesses(evidence)}; ` +
      `after the faults ${renderOutcomeCounts(recovery)}; ` +
      (violations.length === 0
        ? "all checks passed."
        : `violations found: ${violations.length}.`),
  );
  const sent = new Map(
    [...calls, ...recovery].map((call) => [call.requestId, call]),
  );
  for (const { promise, requestId, detail } of violations) {
    const call = sent.get(requestId);
    const times = call === undefined
      ? ""
      : `, ${call.kind} ${call.fromMs.toFixed()} to ${call.toMs.toFixed()}`;
    print(`  ${promise}: ${requestId} ${detail}${times}`);
  }
  if (violations.length > 0) {
    for (const { kind, target, fromMs, toMs } of evidence.windows) {
      print(`  ${kind} ${target} ${fromMs.toFixed()} to ${toMs.toFixed()}`);
    }
  }
  return violations.length === 0;
}

async function main(): Promise<void> {
  const first = Number(values.seed);
  for (let seed = first; seed < first + Number(values.seeds); seed++) {
    if (!await runSeed(seed)) process.exitCode = 1;
  }
}

void main();
