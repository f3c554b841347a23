/**
 * A short run of a fleet with a metadata store under faults; needs a build. Ten
 * routers are the smallest fleet that has relays.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createChaosSchedule } from "../testing/chaos_schedule.ts";
import { StoreFleet } from "./store_chaos_fleet.ts";
import {
  getStoreChaosTargets,
  runStoreChaos,
  STORE_CHAOS_KINDS,
} from "./store_chaos_run.ts";
import { findStoreChaosViolations } from "./store_chaos_verdict.ts";

const PROGRAM = "dist/src/daemon/main.js";
const SEED = 21;
const DURATION_MS = 12_000;
const TEST_TIMEOUT_MS = 120_000;

test("a fleet with relays meets its guarantees under faults", async () => {
  const directory = mkdtempSync(join(tmpdir(), "store-chaos-"));
  const fleet = new StoreFleet({
    directory,
    routers: 10,
    engines: 3,
    plainServices: 3,
    program: PROGRAM,
  });
  await fleet.open();
  const schedule = createChaosSchedule({
    seed: SEED,
    durationMs: DURATION_MS,
    targets: getStoreChaosTargets(fleet),
    kinds: STORE_CHAOS_KINDS,
    maxFaultMs: DURATION_MS / 2,
    meanGapMs: 1_000,
  });
  const evidence = await runStoreChaos({
    fleet,
    schedule,
    seed: SEED,
    durationMs: DURATION_MS,
    rate: 30,
  });
  expect(evidence.windows).toHaveLength(schedule.length);
  expect(evidence.arrivals.length).toBeGreaterThan(0);
  expect(findStoreChaosViolations(evidence)).toEqual([]);
  rmSync(directory, { recursive: true });
}, TEST_TIMEOUT_MS);
