/**
 * Routers that lose their links to all upstreams while callers, the store and
 * the other routers still reach them, on fleets of router processes; needs a
 * build.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Call } from "./store_chaos_evidence.ts";
import type { LinkCut, StoreRouter } from "./store_chaos_fleet.ts";
import { openTestFleet } from "./testing/test_fleet.ts";

const ENGINES = 6;
const PLAIN_SERVICES = 3;
const REQUESTS_PER_SECOND = 60;
const SUBJECTS = 30;
const BEFORE_MS = 2_000;
const CUT_MS = 9_000;
const AFTER_MS = 3_000;
/** Time from the start of a cut in which the routers may learn of it. */
const CONTACT_MS = 3_000;
/**
 * Part of the share that other routers serve at the first try which those that
 * are cut off have to reach: the users' two thirds.
 */
const MIN_SERVED_PART = 2 / 3;
/** Time after a cut in which requests are served as before it. */
const RETURN_MS = 1_000;
const MIN_RETURNED_SHARE = 0.95;
const MAX_REFUSAL_MS = 1_000;
const KINDS = ["read", "book", "chat", "plan"] as const;
const TEST_TIMEOUT_MS = 60_000;

interface CutRun {
  readonly calls: readonly Call[];
  readonly cutRouters: ReadonlySet<string>;
  readonly cutAtMs: number;
  readonly restoredAtMs: number;
  /** Ids of requests that reached an upstream, once for each arrival. */
  readonly arrivedIds: readonly string[];
}

async function runCut(
  { routers, cutCount, mode, seed }: {
    routers: number;
    cutCount: number;
    mode: LinkCut;
    seed: number;
  },
): Promise<CutRun> {
  const test = await openTestFleet({
    routers,
    engines: ENGINES,
    plainServices: PLAIN_SERVICES,
    seed,
  });
  const { fleet, random } = test;
  const load = test.sendCalls(REQUESTS_PER_SECOND, () => ({
    kind: random.pick(KINDS),
    subject: `subject-${random.nextInteger({ min: 1, max: SUBJECTS })}`,
  }));
  await sleep(BEFORE_MS);
  const cut: StoreRouter[] = fleet.routers.slice(0, cutCount);
  const cutAtMs = performance.now();
  for (const router of cut) fleet.cutLinks(router, mode);
  await sleep(CUT_MS);
  for (const router of cut) fleet.restoreLinks(router);
  const restoredAtMs = performance.now();
  await sleep(AFTER_MS);
  const calls = await load.stop();
  await test.close();
  return {
    calls,
    cutRouters: new Set(cut.map(({ name }) => name)),
    cutAtMs,
    restoredAtMs,
    arrivedIds: fleet.arrivals.filter(({ isRun }) => isRun)
      .map(({ requestId }) => requestId),
  };
}

function getServedShare(calls: readonly Call[]): number {
  return calls.filter(({ first }) => first.end === "whole").length /
    calls.length;
}

function listKnownCutCalls({ calls, cutAtMs, restoredAtMs }: CutRun): Call[] {
  return calls.filter(({ fromMs }) =>
    fromMs >= cutAtMs + CONTACT_MS && fromMs < restoredAtMs
  );
}

describe.each(
  [
    { routers: 6, cutCount: 3, mode: "refused", seed: 1 },
    { routers: 6, cutCount: 3, mode: "hung", seed: 2 },
    { routers: 6, cutCount: 4, mode: "new-refused", seed: 3 },
    { routers: 12, cutCount: 8, mode: "refused", seed: 4 },
  ] as const,
)("$cutCount of $routers routers, links $mode", (options) => {
  let run: CutRun;

  beforeAll(async () => {
    run = await runCut(options);
  }, TEST_TIMEOUT_MS);

  // Guards against routers that refuse what other routers could serve while
  // their own links to the upstreams are cut (RECOVER).
  test("serve requests through other routers", () => {
    const known = listKnownCutCalls(run);
    const cut = known.filter(({ router }) => run.cutRouters.has(router));
    const sound = known.filter(({ router }) => !run.cutRouters.has(router));
    expect(cut.length).toBeGreaterThan(20);
    expect(getServedShare(cut))
      .toBeGreaterThan(getServedShare(sound) * MIN_SERVED_PART);
  });

  // Guards against sound routers that refuse or avoid sound upstreams because
  // the routers that are cut off report these as gone.
  test("leave the other routers as they were", () => {
    const sound = run.calls.filter(({ router, fromMs }) =>
      !run.cutRouters.has(router) && fromMs >= run.cutAtMs
    );
    expect(getServedShare(sound)).toBeGreaterThan(MIN_RETURNED_SHARE);
  });

  // Guards against a second run of a request that one router has passed on to
  // another.
  test("run what may not repeat once", () => {
    const kinds = new Map(
      run.calls.map(({ requestId, kind }) => [requestId, kind]),
    );
    const once = run.arrivedIds.filter((id) =>
      kinds.get(id) === "book" || kinds.get(id) === "plan"
    );
    expect(new Set(once).size).toBe(once.length);
  });

  // Guards against routers that still serve few requests when their links are
  // back, such as by taking all upstreams for cold.
  test("serve as before once the links are back", () => {
    const after = run.calls.filter(({ fromMs }) =>
      fromMs >= run.restoredAtMs + RETURN_MS
    );
    expect(getServedShare(after)).toBeGreaterThan(MIN_RETURNED_SHARE);
  });
});

// Guards against requests that go from router to router, or wait, while no
// router reaches an upstream.
test("all routers cut off refuse at once", async () => {
  const run = await runCut({
    routers: 6,
    cutCount: 6,
    mode: "refused",
    seed: 5,
  });
  const known = listKnownCutCalls(run);
  expect(known.filter(({ first }) => first.end === "refused").length)
    .toBe(known.length);
  const slowest = Math.max(
    ...known.map(({ fromMs, first }) => first.toMs - fromMs),
  );
  expect(slowest).toBeLessThan(MAX_REFUSAL_MS);
}, TEST_TIMEOUT_MS);

const PAUSED_ENGINES = 3;
/** Shorter than the time after which callers abandon a stream. */
const PAUSE_MS = 1_800;
/** Time of the load before a pause, in which requests reach the upstreams. */
const BUSY_MS = 500;
/** Requests at that router that reach an upstream, at the least. */
const MIN_PAUSED_CALLS = 5;

// Guards against an answer that is cut off at either router while it pauses, after
// another router was asked for it (LOST).
test("answers that pause are whole at a router without links", async () => {
  const test = await openTestFleet({
    routers: 3,
    engines: PAUSED_ENGINES,
    plainServices: PLAIN_SERVICES,
    seed: 6,
  });
  const { fleet, random } = test;
  const [cut] = fleet.routers;
  fleet.cutLinks(cut!, "refused");
  await sleep(CONTACT_MS);
  const load = test.sendCalls(REQUESTS_PER_SECOND, () => ({
    kind: random.pick(KINDS),
    subject: `subject-${random.nextInteger({ min: 1, max: SUBJECTS })}`,
  }));
  await sleep(BUSY_MS);
  const paused = fleet.upstreams[0]!;
  for (const each of fleet.upstreams) each.isFull = each !== paused;
  for (const each of fleet.upstreams) {
    each.pausedUntilMs = performance.now() + PAUSE_MS;
  }
  await sleep(PAUSE_MS);
  for (const each of fleet.upstreams) each.isFull = false;
  const calls = await load.stop();
  await test.close();
  const ran = new Set(
    fleet.arrivals.filter(({ isRun }) => isRun).map((each) => each.requestId),
  );
  const reached = calls.filter(({ requestId }) => ran.has(requestId));
  const atCut = reached.filter(({ router }) => router === cut!.name);
  expect(atCut.length).toBeGreaterThan(MIN_PAUSED_CALLS);
  expect(reached.filter(({ first }) => first.end !== "whole")).toEqual([]);
}, TEST_TIMEOUT_MS);
