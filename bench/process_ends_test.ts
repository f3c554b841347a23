/**
 * A short run of a fleet with a metadata store under faults that may end a
 * router's process; needs a build.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type ChaosKind,
  createChaosSchedule,
} from "../testing/chaos_schedule.ts";
import { ROUTER_END_KINDS } from "./store_chaos_end_faults.ts";
import { StoreFleet } from "./store_chaos_fleet.ts";
import {
  getStoreChaosTargets,
  runStoreChaos,
  STORE_CHAOS_KINDS,
} from "./store_chaos_run.ts";
import { findStoreChaosViolations } from "./store_chaos_verdict.ts";

const PROGRAM = "dist/src/daemon/main.js";
const DURATION_MS = 16_000;
const TEST_TIMEOUT_MS = 120_000;

async function runFaults(seed: number, kinds: readonly ChaosKind[]) {
  const directory = mkdtempSync(join(tmpdir(), "process-ends-"));
  const fleet = new StoreFleet({
    directory,
    routers: 10,
    engines: 3,
    plainServices: 3,
    program: PROGRAM,
  });
  await fleet.open();
  const schedule = createChaosSchedule({
    seed,
    durationMs: DURATION_MS,
    targets: getStoreChaosTargets(fleet),
    kinds,
    maxFaultMs: DURATION_MS / 2,
    meanGapMs: 500,
  });
  const evidence = await runStoreChaos({
    fleet,
    schedule,
    seed,
    durationMs: DURATION_MS,
    rate: 30,
  });
  expect(evidence.windows).toHaveLength(schedule.length);
  rmSync(directory, { recursive: true });
  return evidence;
}

// Guards against routers that end by themselves, or don't start, when a reader of
// their log, a port, a signal, the settings, an upstream or a caller is faulty.
test("no router ends by itself under faults around it", async () => {
  const evidence = await runFaults(43_043, ROUTER_END_KINDS);
  expect(new Set(evidence.windows.map(({ kind }) => kind)))
    .toEqual(new Set(ROUTER_END_KINDS));
  expect(evidence.reusedShare).toBeGreaterThan(0.5);
  expect(findStoreChaosViolations(evidence)).toEqual([]);
}, TEST_TIMEOUT_MS);

// Guards against the same while routers, upstreams and the store fail as well.
test("no router ends by itself under these and other faults", async () => {
  const evidence = await runFaults(43_057, [
    ...ROUTER_END_KINDS,
    ...STORE_CHAOS_KINDS,
  ]);
  expect(findStoreChaosViolations(evidence)).toEqual([]);
}, TEST_TIMEOUT_MS);
