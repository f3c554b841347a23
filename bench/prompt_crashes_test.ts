/**
 * Requests with one part in their prompts that crash each engine which answers
 * them, on fleets of router processes; needs a build.
 */
import { setTimeout as sleep } from "node:timers/promises";
import {
  countLaterArrivals,
  type CrashRun,
  getServedShare,
} from "./testing/crash_run.ts";
import { openTestFleet } from "./testing/test_fleet.ts";

const PART = "crashing-part";
const FIRST_PART = "first-part";
const ENGINES = 12;
const SOUND_SUBJECTS = 20;
const SOUND_PER_SECOND = 40;
const CRASHING_PER_SECOND = 8;
const BEFORE_MS = 2_000;
const CRASHING_MS = 14_000;
/** Crashes after which the fleet has to know the part. */
const KNOWN_AFTER_CRASHES = 5;
/** Time from the last of these until every router has to act on it. */
const CONTACT_MS = 3_000;
/** Requests with the part that may reach an engine after that. */
const MAX_LATER_ARRIVALS = 3;
const TEST_TIMEOUT_MS = 120_000;

/** Sends sound and crashing requests at any router. */
async function runCrashes(
  { routers, seed }: { routers: number; seed: number },
): Promise<CrashRun> {
  const test = await openTestFleet({ routers, engines: ENGINES, seed });
  const { fleet, random } = test;
  const sound = test.sendStreams(SOUND_PER_SECOND, () => {
    const session = random.nextInteger({ min: 1, max: SOUND_SUBJECTS });
    return [FIRST_PART, `session-${session}`];
  });
  await sleep(BEFORE_MS);
  fleet.crashingParts.add(PART);
  const crashing = test.sendStreams(
    CRASHING_PER_SECOND,
    () => [FIRST_PART, PART],
  );
  await sleep(CRASHING_MS);
  const run = {
    fleet,
    crashing: await crashing.stop(),
    sound: await sound.stop(),
  };
  await test.close();
  return run;
}

// Guards against prompts that crash engine after engine, because each router
// sends the next one on to an engine that still runs.
test.each([
  { routers: 6, seed: 1 },
  { routers: 12, seed: 2 },
])(
  "a prompt part that crashes engines is kept from them by $routers routers, and sound requests are served",
  async ({ routers, seed }) => {
    const run = await runCrashes({ routers, seed });
    const laterArrivals = countLaterArrivals(run, {
      crashCount: KNOWN_AFTER_CRASHES,
      contactMs: CONTACT_MS,
    });
    expect(laterArrivals).toBeLessThanOrEqual(MAX_LATER_ARRIVALS);
    const lastCrash = run.fleet.crashes.at(-1)!;
    const recoveredAtMs = lastCrash.atMs + 2 * CONTACT_MS;
    expect(getServedShare(run, recoveredAtMs)).toBeGreaterThan(0.9);
  },
  TEST_TIMEOUT_MS,
);
