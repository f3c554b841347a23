/**
 * A short run of a fleet with a metadata store under faults; needs a build. Ten
 * routers are the smallest fleet that has relays.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type ChaosKind,
  createChaosSchedule,
} from "../testing/chaos_schedule.ts";
import type { StoreChaosEvidence } from "./store_chaos_evidence.ts";
import { StoreFleet } from "./store_chaos_fleet.ts";
import {
  ANSWER_PAUSE_KINDS,
  FOREIGN_ITEM_KINDS,
  getStoreChaosTargets,
  runStoreChaos,
  STORE_CHAOS_KINDS,
  STORE_LINK_KINDS,
  STORE_RESTORE_KINDS,
  STORE_SOAK_KINDS,
  STREAM_CUT_KINDS,
} from "./store_chaos_run.ts";
import { findStoreChaosViolations } from "./store_chaos_verdict.ts";

const PROGRAM = "dist/src/daemon/main.js";
const DURATION_MS = 12_000;
const TEST_TIMEOUT_MS = 120_000;

/** Runs faults of `kinds` and returns what was seen. */
async function runFaults(
  seed: number,
  kinds: readonly ChaosKind[],
): Promise<StoreChaosEvidence> {
  const directory = mkdtempSync(join(tmpdir(), "store-chaos-"));
  const fleet = new StoreFleet({
    directory,
    routers: 10,
    engines: 3,
    plainServices: 3,
    engineVersions: ["v1", "v2"],
    program: PROGRAM,
  });
  await fleet.open();
  const schedule = createChaosSchedule({
    seed,
    durationMs: DURATION_MS,
    targets: getStoreChaosTargets(fleet),
    kinds,
    maxFaultMs: DURATION_MS / 2,
    meanGapMs: 1_000,
  });
  const evidence = await runStoreChaos({
    fleet,
    schedule,
    seed,
    durationMs: DURATION_MS,
    rate: 30,
  });
  expect(evidence.windows).toHaveLength(schedule.length);
  expect(evidence.arrivals.length).toBeGreaterThan(0);
  rmSync(directory, { recursive: true });
  return evidence;
}

test("a fleet with relays meets its guarantees under faults", async () => {
  const evidence = await runFaults(21, STORE_CHAOS_KINDS);
  expect(findStoreChaosViolations(evidence)).toEqual([]);
}, TEST_TIMEOUT_MS);

test(
  "a fleet with relays meets them while the store returns to a copy",
  async () => {
    const evidence = await runFaults(33, STORE_RESTORE_KINDS);
    expect(evidence.windows.map(({ kind }) => kind)).toContain(
      "store-restored",
    );
    expect(findStoreChaosViolations(evidence)).toEqual([]);
  },
  TEST_TIMEOUT_MS,
);

test(
  "a fleet with relays meets them while prompts crash engines",
  async () => {
    const evidence = await runFaults(41, STORE_SOAK_KINDS);
    expect(evidence.windows.map(({ kind }) => kind)).toContain(
      "prompt-crashes",
    );
    expect(findStoreChaosViolations(evidence)).toEqual([]);
  },
  TEST_TIMEOUT_MS,
);

test(
  "a fleet with relays meets them while requests crash upstreams",
  async () => {
    const evidence = await runFaults(1919, STORE_SOAK_KINDS);
    expect(evidence.windows.map(({ kind }) => kind)).toEqual(
      expect.arrayContaining(["prompt-crashes", "request-crashes"]),
    );
    expect(findStoreChaosViolations(evidence)).toEqual([]);
  },
  TEST_TIMEOUT_MS,
);

test(
  "a fleet with relays meets them while routers lose their links",
  async () => {
    const evidence = await runFaults(7, STORE_LINK_KINDS);
    expect(evidence.windows.map(({ kind }) => kind)).toEqual(
      expect.arrayContaining([expect.stringMatching(/^router-links-/)]),
    );
    expect(findStoreChaosViolations(evidence)).toEqual([]);
  },
  TEST_TIMEOUT_MS,
);

// Guards against answers that look complete and are not, and streams of two
// versions, when routers and engines end amid them (ORDER).
test(
  "a fleet with relays meets them while answers are cut off",
  async () => {
    const evidence = await runFaults(7213, STREAM_CUT_KINDS);
    expect(evidence.windows.map(({ kind }) => kind)).toEqual(
      expect.arrayContaining([
        "router-killed",
        "router-stopped",
        "engine-killed",
        "engine-upgraded",
        "answers-reset",
      ]),
    );
    expect(evidence.cuts.length).toBeGreaterThan(0);
    expect(findStoreChaosViolations(evidence)).toEqual([]);
  },
  TEST_TIMEOUT_MS,
);

// Guards against fleets that lose the store's state to items of other programs.
test(
  "a fleet with relays meets them beside items of other programs",
  async () => {
    const evidence = await runFaults(54, FOREIGN_ITEM_KINDS);
    expect(evidence.windows.map(({ kind }) => kind)).toContain("foreign-items");
    expect(findStoreChaosViolations(evidence)).toEqual([]);
  },
  TEST_TIMEOUT_MS,
);

// Guards against answers that are cut off or given up while their upstream pauses,
// though it goes on with them before callers leave (LOST).
test(
  "a fleet with relays meets them while answers pause",
  async () => {
    const evidence = await runFaults(65, ANSWER_PAUSE_KINDS);
    expect(evidence.windows.map(({ kind }) => kind)).toContain(
      "answers-paused",
    );
    expect(findStoreChaosViolations(evidence)).toEqual([]);
  },
  TEST_TIMEOUT_MS,
);
