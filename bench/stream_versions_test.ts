/**
 * Streams of engines with two versions of their software, on fleets of router
 * processes; needs a build. Routers and engines end while callers take up the
 * streams that are cut.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Call } from "./store_chaos_evidence.ts";
import { STORE_CHAOS_BOUNDS } from "./store_chaos_fleet.ts";
import { openTestFleet, type TestFleet } from "./testing/test_fleet.ts";

const ENGINES = 10;
const ENGINE_VERSIONS = ["v1", "v2"];
const EVENT_INTERVAL_MS = 100;
const STREAMS_PER_SECOND = 50;
const SUBJECTS = 20;
const BEFORE_MS = 2_000;
const ROUNDS = 4;
const ROUND_MS = 2_500;
const ROUTERS_KILLED = 2;
const TEST_TIMEOUT_MS = 120_000;

/** Ends routers and an engine at a time; the engine returns with any version. */
async function runRound({ fleet, random }: TestFleet, round: number) {
  const engine = fleet.upstreams[round * 2]!;
  await engine.kill();
  const routers = fleet.routers.slice(0, ROUTERS_KILLED);
  for (const router of routers) fleet.signal(router, "SIGKILL");
  await Promise.all(routers.map((router) => fleet.stop(router)));
  engine.softwareVersion = random.pick(ENGINE_VERSIONS);
  await engine.start({ keepsId: round % 2 === 0 });
  await Promise.all(routers.map((router) => fleet.start(router)));
  await sleep(ROUND_MS);
}

async function runStreams(
  { routers, seed }: { routers: number; seed: number },
): Promise<Call[]> {
  const test = await openTestFleet({
    routers,
    engines: ENGINES,
    engineVersions: ENGINE_VERSIONS,
    eventIntervalMs: EVENT_INTERVAL_MS,
    seed,
  });
  const streams = test.sendCalls(STREAMS_PER_SECOND, () => ({
    kind: "chat",
    subject: `subject-${test.random.nextInteger({ min: 1, max: SUBJECTS })}`,
  }));
  await sleep(BEFORE_MS);
  for (let round = 0; round < ROUNDS; round++) await runRound(test, round);
  const calls = await streams.stop();
  await test.close();
  return calls;
}

// Guards against streams that go on at another software version than the one
// that began them, within an answer or when a caller takes them up (ORDER), and
// against streams that could go on and are refused (LOST).
test.each([
  { routers: 6, seed: 1 },
  { routers: 12, seed: 2 },
])(
  "streams keep their version and go on while $routers routers and engines end",
  async ({ routers, seed }) => {
    const calls = await runStreams({ routers, seed });
    const { maxMixedStreams, minResumptions, minResumedShare } =
      STORE_CHAOS_BOUNDS;
    const resumptions = calls.flatMap((call) => call.resumptions)
      .filter(({ servingCount }) => servingCount >= 2);
    expect(resumptions.length).toBeGreaterThanOrEqual(minResumptions);
    const mixed = calls.filter(({ versions }) => versions.length > 1);
    expect(mixed.length).toBeLessThanOrEqual(maxMixedStreams);
    const gone = resumptions.filter(({ hasGoneOn }) => hasGoneOn);
    const begun = calls.filter(({ versions }) => versions.length > 0);
    expect(gone.length / resumptions.length).toBeGreaterThanOrEqual(
      minResumedShare * begun.length / calls.length,
    );
  },
  TEST_TIMEOUT_MS,
);
