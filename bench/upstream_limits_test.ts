/**
 * Engines that name in their answers how many requests a second they take from
 * all routers together, on fleets of router processes; needs a build.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { UpstreamArrival } from "../testing/registered_upstream.ts";
import type { Call } from "./store_chaos_evidence.ts";
import { openTestFleet } from "./testing/test_fleet.ts";

const ENGINES = 6;
const LIMITED_ENGINES = 4;
const REQUESTS_PER_SECOND = 60;
const SUBJECTS = 300;
const BEFORE_MS = 2_000;
const LIMITED_MS = 12_000;
const AFTER_MS = 5_000;
/** Time from a limit's first naming until it has to be kept. */
const CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** The limit may be exceeded by this factor and number, in each window. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;
/** Last seconds of the load, in which the limits have long ended. */
const FREED_SECONDS = 3;
const TEST_TIMEOUT_MS = 120_000;

interface LimitRun {
  readonly arrivals: readonly UpstreamArrival[];
  readonly calls: readonly Call[];
  readonly limitedIds: readonly string[];
}

async function runLimits(
  { routers, limitPerSecond, seed }: {
    routers: number;
    limitPerSecond: number;
    seed: number;
  },
): Promise<LimitRun> {
  const test = await openTestFleet({ routers, engines: ENGINES, seed });
  const { fleet, random } = test;
  const load = test.sendStreams(
    REQUESTS_PER_SECOND,
    () => [`subject-${random.nextInteger({ min: 1, max: SUBJECTS })}`],
  );
  const limited = fleet.upstreams.slice(0, LIMITED_ENGINES);
  await sleep(BEFORE_MS);
  for (const upstream of limited) upstream.limitPerSecond = limitPerSecond;
  await sleep(LIMITED_MS);
  for (const upstream of limited) upstream.limitPerSecond = undefined;
  await sleep(AFTER_MS);
  const calls = await load.stop();
  await test.close();
  const limitedIds = limited.map(({ id }) => id);
  return { arrivals: fleet.arrivals, calls, limitedIds };
}

/** Returns the most requests that a limited upstream got in any window. */
function findPeak(arrivals: readonly UpstreamArrival[]): number {
  const limited = arrivals.filter(({ limitPerSecond }) =>
    limitPerSecond !== undefined
  );
  const knownAtMs = limited[0]!.atMs + CONTACT_MS;
  const times = limited.map(({ atMs }) => atMs)
    .filter((atMs) => atMs >= knownAtMs);
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + WINDOW_MS).length
    ),
  );
}

describe.each([
  { routers: 6, limitPerSecond: 2.5, seed: 1 },
  { routers: 12, limitPerSecond: 1, seed: 2 },
])("$routers routers", (options) => {
  const { limitPerSecond } = options;
  let run: LimitRun;

  beforeAll(async () => {
    run = await runLimits(options);
  }, TEST_TIMEOUT_MS);

  function listArrivals(id: string): UpstreamArrival[] {
    return run.arrivals.filter(({ upstream }) => upstream === id);
  }

  // Guards against routers that each take the limit of an upstream for their
  // own, or do not know it.
  test("together keep the limit that engines name", () => {
    const allowed = limitPerSecond * WINDOW_MS / MS_PER_SECOND *
        TOLERATED_FACTOR + TOLERATED_REQUESTS;
    for (const id of run.limitedIds) {
      expect(findPeak(listArrivals(id))).toBeLessThanOrEqual(allowed);
    }
    const served = run.calls.filter(({ first }) =>
      first.end === "whole"
    ).length;
    expect(served / run.calls.length).toBeGreaterThan(0.9);
  });

  // Guards against a limit that goes on after its end.
  test("end the limit when engines name none", () => {
    const lastMs = run.arrivals.at(-1)!.atMs;
    for (const id of run.limitedIds) {
      const freed = listArrivals(id).filter((arrival) =>
        arrival.limitPerSecond === undefined &&
        arrival.atMs > lastMs - FREED_SECONDS * MS_PER_SECOND
      );
      expect(freed.length).toBeGreaterThan(FREED_SECONDS * limitPerSecond + 3);
    }
  });
});
