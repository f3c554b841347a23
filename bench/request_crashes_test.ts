/**
 * One request, sent again and again, that crashes each upstream which begins to
 * run it, on fleets of router processes; needs a build.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { CallKind } from "./store_chaos_evidence.ts";
import { STORE_CHAOS_BOUNDS } from "./store_chaos_fleet.ts";
import {
  countLaterArrivals,
  type CrashRun,
  getServedShare,
} from "./testing/crash_run.ts";
import { openTestFleet } from "./testing/test_fleet.ts";

const BODY = JSON.stringify({ crash: "always" });
const FIRST_PART = "first-part";
const ENGINES = 12;
const PLAIN_SERVICES = 12;
const SOUND_SUBJECTS = 6;
const SOUND_PER_SECOND = 40;
const CRASHING_PER_SECOND = 3;
const BEFORE_MS = 2_000;
const CRASHING_MS = 14_000;
const TEST_TIMEOUT_MS = 120_000;

/** Sends sound requests, and one of `kind` that crashes, at any router. */
async function runCrashes(
  { routers, kind, seed }: { routers: number; kind: CallKind; seed: number },
): Promise<CrashRun> {
  const test = await openTestFleet({
    routers,
    engines: ENGINES,
    plainServices: PLAIN_SERVICES,
    seed,
  });
  const { fleet, random } = test;
  const sound = test.sendCalls(SOUND_PER_SECOND, () => {
    const subject = random.nextInteger({ min: 1, max: SOUND_SUBJECTS });
    return {
      kind: random.pick(["book", "chat", "plan"] as const),
      subject: FIRST_PART,
      parts: [`subject-${subject}`],
    };
  });
  await sleep(BEFORE_MS);
  fleet.crashingBodies.add(BODY);
  const crashing = test.sendCalls(CRASHING_PER_SECOND, () => ({
    kind,
    subject: FIRST_PART,
    parts: ["subject-1"],
    body: BODY,
  }));
  await sleep(CRASHING_MS);
  const run = {
    fleet,
    crashing: await crashing.stop(),
    sound: await sound.stop(),
  };
  await test.close();
  return run;
}

// Guards against a request that ends upstream after upstream because answers
// to others with the same prompt parts clear it, or because it names no parts.
test.each(
  [
    { routers: 6, kind: "plan", seed: 1 },
    { routers: 6, kind: "book", seed: 2 },
    { routers: 12, kind: "plan", seed: 3 },
    { routers: 12, kind: "chat", seed: 4 },
  ] as const,
)(
  "a $kind that crashes upstreams is kept from them by $routers routers, and sound requests are served",
  async ({ routers, kind, seed }) => {
    const run = await runCrashes({ routers, kind, seed });
    expect(run.fleet.crashes.length).toBeGreaterThanOrEqual(3);
    const { maxRequestCrashes, faultFreeMs, maxLaterArrivals } =
      STORE_CHAOS_BOUNDS;
    const laterArrivals = countLaterArrivals(run, {
      crashCount: maxRequestCrashes,
      contactMs: faultFreeMs,
    });
    expect(laterArrivals).toBeLessThanOrEqual(maxLaterArrivals);
    const lastCrash = run.fleet.crashes.at(-1)!;
    const recoveredAtMs = lastCrash.atMs + 2 * faultFreeMs;
    expect(getServedShare(run, recoveredAtMs)).toBeGreaterThan(0.9);
  },
  TEST_TIMEOUT_MS,
);
