/**
 * Properties of streams in random fleets: routers that are behind, cut off or
 * restarted, versions that join and leave, and messages that are lost.
 */
import fc from "fast-check";
import { type Hash, loadHash } from "../policy/rendezvous.ts";
import {
  type Router,
  StreamFleet,
  type StreamFleetOptions,
} from "./testing/stream_fleet.ts";

const SEED = 370_304;
const RUNS = 800;
const MIN_STEPS = 5;
const MAX_STEPS = 30;
/** Exceeds the pause between two polls of the model. */
const POLLED_MS = 950;
/** Exceeds the time after which the model's callers come back. */
const BREAK_MS = 50;
const VERSIONS = ["v0", "v0", "v0", "v1", "v2"];

const FAULTS = [
  "end",
  "start",
  "restart-all",
  "cut-store",
  "cut-routers",
  "cut-both",
  "deaf",
  "split",
  "release",
  "heal",
] as const;
const CHANGES = [
  "join",
  "leave",
  "begin",
  "begin",
  "resume",
  "resume",
] as const;

type Kind = typeof FAULTS[number] | typeof CHANGES[number];

interface Step {
  readonly kind: Kind;
  readonly index: number;
  readonly waitMs: number;
}

let hash: Hash;
beforeAll(async () => {
  hash = await loadHash();
});

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Returns a generator of numbers in [0, 1) (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
  };
}

function arbitrarySteps(kinds: readonly Kind[]) {
  const step = fc.record({
    kind: fc.constantFrom(...kinds),
    index: fc.nat({ max: 20 }),
    waitMs: fc.oneof(fc.constant(0), fc.nat({ max: 1_500 })),
  });
  return fc.array(step, { minLength: MIN_STEPS, maxLength: MAX_STEPS });
}

/** Sets the faults of one router. */
function cut(router: Router | undefined, kind: Kind): void {
  if (router === undefined) return;
  router.isCutFromStore = kind === "cut-store" || kind === "cut-both";
  router.isCutFromRouters = kind === "cut-routers" || kind === "cut-both";
  router.isDeaf = kind === "deaf";
}

/** Leaves one router up to date, but cut off from the others. */
function split(fleet: StreamFleet, name: string, index: number): void {
  for (const other of fleet.names) {
    cut(fleet.get(other), index % 2 === 0 ? "deaf" : "cut-store");
  }
  cut(fleet.get(name), "cut-routers");
}

/** A version joins, begins streams at one router, which are resumed. */
async function release(fleet: StreamFleet, name: string, index: number) {
  fleet.join(VERSIONS[3 + index % 2]!);
  await jest.advanceTimersByTimeAsync(POLLED_MS);
  for (let each = 0; each < 4; each++) fleet.begin(name);
  await jest.advanceTimersByTimeAsync(BREAK_MS);
  const others = fleet.names.filter((other) => other !== name);
  for (const other of others) fleet.resume(other);
}

async function apply(fleet: StreamFleet, { kind, index }: Step): Promise<void> {
  const name = fleet.names[index % fleet.names.length]!;
  if (kind === "join") fleet.join(VERSIONS[index % VERSIONS.length]!);
  else if (kind === "leave") fleet.leave(index);
  else if (kind === "begin") fleet.begin(name);
  else if (kind === "resume") fleet.resume(name);
  else if (kind === "end") fleet.end(name);
  else if (kind === "start") fleet.start(name);
  else if (kind === "restart-all") {
    fleet.names.forEach((each) => fleet.start(each));
  } else if (kind === "split") split(fleet, name, index);
  else if (kind === "release") await release(fleet, name, index);
  else cut(fleet.get(name), kind);
}

async function play(
  options: Omit<StreamFleetOptions, "hash">,
  steps: readonly Step[],
): Promise<StreamFleet> {
  const fleet = new StreamFleet({ ...options, hash });
  await jest.advanceTimersByTimeAsync(2_000);
  for (const step of steps) {
    await apply(fleet, step);
    await jest.advanceTimersByTimeAsync(step.waitMs);
  }
  await jest.advanceTimersByTimeAsync(2_000);
  await fleet.close();
  jest.clearAllTimers();
  return fleet;
}

// Guards against a router that is out of step and goes on with a stream at a
// version other than the one that began it (ORDER).
test("no stream goes on at another version, whatever is behind or lost", async () => {
  const outcomes = new Map<string, number>();
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 12 }),
      fc.constantFrom(0, 0.1, 0.5, 1),
      fc.integer(),
      arbitrarySteps([...CHANGES, ...CHANGES, ...FAULTS]),
      async (routers, lossRate, seed, steps) => {
        const random = createRandom(seed);
        const fleet = await play({ routers, lossRate, random }, steps);
        for (const [outcome, count] of fleet.outcomes) {
          outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + count);
        }
        expect(fleet.violations).toEqual([]);
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  // All ways to a decision were played.
  for (
    const outcome of [
      "told",
      "sole-version",
      "several-versions",
      "view-unconfirmed",
      "too-few-answers",
    ]
  ) {
    expect(outcomes.get(outcome) ?? 0).toBeGreaterThan(20);
  }
});

// Guards against streams that are refused though routers in touch know them
// (LOST).
test("without faults, every stream goes on", async () => {
  let resumedCount = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 12 }),
      fc.integer(),
      arbitrarySteps(CHANGES),
      async (routers, seed, steps) => {
        const random = createRandom(seed);
        const fleet = await play({ routers, lossRate: 0, random }, steps);
        expect([...fleet.violations, ...fleet.refused]).toEqual([]);
        resumedCount += fleet.resumedCount;
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  expect(resumedCount).toBeGreaterThan(RUNS);
});
