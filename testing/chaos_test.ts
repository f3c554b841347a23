/**
 * Runs a fleet of real processes under load with injected faults, and checks its
 * invariants. Requires a build.
 */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { getChaosTargets, runChaos } from "../bench/chaos_run.ts";
import { findChaosViolations } from "../bench/chaos_verdict.ts";
import { createChaosSchedule } from "./chaos_schedule.ts";
import { type Fleet, startFleet } from "./fleet.ts";

const SEED = 11;
const DURATION_MS = 15_000;
const TEST_TIMEOUT_MS = 180_000;

describe("a fleet under faults", () => {
  let fleet: Fleet;
  const directory = mkdtempSync(join(tmpdir(), "chaos-"));

  beforeAll(async () => {
    fleet = await startFleet({
      directory,
      freePorts: true,
      hasLinks: true,
      routers: 3,
      upstreams: { assistant: 4, booking: 2 },
      settings: {
        limits: { "drain_ms": "500" },
        timing: { "hold_down_ms": "4000" },
      },
    });
  });

  afterAll(() => fleet.stopAll());

  test("violates no invariant", async () => {
    await fleet.apply();
    await fleet.waitUntilServing();
    const schedule = createChaosSchedule({
      seed: SEED,
      targets: getChaosTargets(fleet),
      durationMs: DURATION_MS,
      meanGapMs: 1_000,
    });
    const evidence = await runChaos({
      fleet,
      directory,
      schedule,
      seed: SEED,
      durationMs: DURATION_MS,
      rate: 15,
      bookingRate: 4,
      recoverySeconds: 2,
    });
    expect(evidence.windows).toHaveLength(schedule.length);
    expect(evidence.load.chats.whole).toBeGreaterThan(0);
    expect(findChaosViolations(evidence)).toEqual([]);
  }, TEST_TIMEOUT_MS);
});
