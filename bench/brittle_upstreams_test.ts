/**
 * Engines that fall over if they have to reject more than so many requests in a
 * second, on fleets of router processes that get more than the engines can run;
 * needs a build.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Call } from "./store_chaos_evidence.ts";
import { openTestFleet } from "./testing/test_fleet.ts";

const ENGINES = 6;
/** With this, the engines can run about 56 requests a second. */
const EVENT_INTERVAL_MS = 100;
const CALM_PER_SECOND = 30;
const OVERLOAD_PER_SECOND = 80;
const SUBJECTS = 300;
/** Time in which the engines say that they are brittle and have room. */
const CONTACT_MS = 3_000;
const OVERLOAD_MS = 12_000;
const AFTER_MS = 3_000;
/** The users' bound: 2 and a tenth of the upstreams. */
const MAX_FALLS = 2 + ENGINES / 10;
/** Part of what the engines can run that has to be served meanwhile. */
const MIN_SERVED_PER_SECOND = 35;
const MS_PER_SECOND = 1_000;
const TEST_TIMEOUT_MS = 120_000;

interface BrittleRun {
  readonly falls: number;
  readonly overload: readonly Call[];
  readonly after: readonly Call[];
}

async function runOverload(
  { routers, brittlePerSecond, seed }: {
    routers: number;
    brittlePerSecond: number;
    seed: number;
  },
): Promise<BrittleRun> {
  const test = await openTestFleet({
    routers,
    engines: ENGINES,
    eventIntervalMs: EVENT_INTERVAL_MS,
    seed,
  });
  const { fleet, random } = test;
  const engines = fleet.upstreams.filter(({ name }) =>
    name.startsWith("engine")
  );
  function send(perSecond: number) {
    return test.sendStreams(
      perSecond,
      () => [`subject-${random.nextInteger({ min: 1, max: SUBJECTS })}`],
    );
  }
  for (const engine of engines) engine.brittlePerSecond = brittlePerSecond;
  const calm = send(CALM_PER_SECOND);
  await sleep(CONTACT_MS);
  const overloading = send(OVERLOAD_PER_SECOND - CALM_PER_SECOND);
  await sleep(OVERLOAD_MS);
  const overload = await overloading.stop();
  const falls = engines.reduce((sum, { fallCount }) => sum + fallCount, 0);
  for (const engine of engines) engine.brittlePerSecond = undefined;
  await sleep(AFTER_MS);
  const calls = await calm.stop();
  await test.close();
  const fromMs = overload[0]!.fromMs;
  const toMs = fromMs + OVERLOAD_MS;
  return {
    falls,
    overload: [...calls, ...overload]
      .filter((call) => call.fromMs >= fromMs && call.fromMs < toMs),
    after: calls.filter((call) => call.fromMs >= toMs + AFTER_MS / 2),
  };
}

describe.each([
  { routers: 6, brittlePerSecond: 4, seed: 1 },
  { routers: 12, brittlePerSecond: 3, seed: 2 },
])("$routers routers, $brittlePerSecond rejections", (options) => {
  let run: BrittleRun;

  beforeAll(async () => {
    run = await runOverload(options);
  }, TEST_TIMEOUT_MS);

  // Guards against routers that together make an upstream reject more than it
  // bears, though it says how much that is.
  test("keep brittle engines from falling over", () => {
    expect(run.falls).toBeLessThanOrEqual(MAX_FALLS);
  });

  // Guards against engines that are left idle to keep them from falling over.
  test("use what the engines can run", () => {
    const served = run.overload.filter(({ first }) => first.end === "whole");
    expect(served.length * MS_PER_SECOND / OVERLOAD_MS)
      .toBeGreaterThan(MIN_SERVED_PER_SECOND);
  });

  // Guards against callers that wait for what can't be served.
  test("refuse what they can't send", () => {
    const refused = run.overload.filter(({ first }) => first.end === "refused");
    const waits = refused.map(({ fromMs, first }) => first.toMs - fromMs)
      .sort((one, other) => one - other);
    expect(waits[Math.floor(waits.length * 0.9)] ?? 0).toBeLessThan(500);
  });

  test("serve all that engines have room for afterwards", () => {
    const served = run.after.filter(({ first }) => first.end === "whole");
    expect(served.length / run.after.length).toBeGreaterThan(0.95);
  });
});
