import * as fc from "fast-check";
import {
  type Claim,
  type ClaimEffect,
  type ClaimInput,
  type ClaimStep,
  getFreeSlots,
  isClaimUsable,
  planSlots,
  SLOT_PREFIX,
  startClaim,
  stepClaim,
} from "./weight_rate.ts";

const RUNS = 2_000;
const MINUTE_MS = 60_000;
const DRIFT = 0.01;
const START_WITHIN_MS = 3_000;
const OPTIONS = {
  sendWithinMs: 4_000,
  startWithinMs: START_WITHIN_MS,
  drift: DRIFT,
};
const CALL_RESULTS = [
  ...Array<"ok">(12).fill("ok"),
  "lost",
  "dropped",
  "delayed",
  "down",
] as const;
type CallResult = (typeof CALL_RESULTS)[number];

/** Steps of one router, or the execution of one delayed write. */
interface Burst {
  /** Index of the router; a larger number executes a delayed write. */
  readonly actor: number;
  /** True time that passes before the steps; long values simulate a pause. */
  readonly waitMs: number;
  readonly callResults: readonly CallResult[];
  /** Time from the send until the engine has started to fetch. */
  readonly startMs: number;
}

interface Router {
  readonly speed: number;
  claim: Claim | undefined;
  effect: ClaimEffect | undefined;
}

/** Routers and the key-value service whose slots they claim, with own clocks. */
class Simulation {
  readonly fetches: number[] = [];
  readonly counts = { lost: 0, late: 0, void: 0 };
  readonly #rate: number;
  readonly #routers: Router[];
  readonly #kvSpeed: number;
  readonly #leases = new Map<string, number>();
  readonly #slots = new Map<string, { value: string; lease: string }>();
  readonly #delayedWrites: (() => void)[] = [];
  #time = 0;
  #nextId = 0;

  constructor(rate: number, speeds: readonly number[]) {
    this.#rate = rate;
    this.#kvSpeed = speeds[0]!;
    this.#routers = speeds.slice(1).map((speed) => ({
      speed,
      claim: undefined,
      effect: undefined,
    }));
  }

  run({ actor, waitMs, callResults, startMs }: Burst): void {
    this.#time += waitMs;
    const router = this.#routers[actor];
    if (router !== undefined) {
      const offset = actor * 7;
      for (const callResult of callResults) {
        this.#step(router, { callResult, startMs, offset });
      }
      return;
    }
    if (this.#delayedWrites.length > 0) this.counts.late++;
    this.#delayedWrites.shift()?.();
  }

  #step(
    router: Router,
    { callResult, startMs, offset }: {
      callResult: CallResult;
      startMs: number;
      offset: number;
    },
  ): void {
    if (router.claim === undefined) {
      const plan = planSlots(this.#rate, OPTIONS);
      return this.#applyStep(router, startClaim(`${this.#nextId++}`, plan));
    }
    if (router.effect !== undefined) {
      const input = this.#execute(router.effect, callResult);
      const now = this.#time * router.speed;
      const step = stepClaim(router.claim, input, { now, offset });
      return this.#applyStep(router, step);
    }
    // The check and the send run in one turn; the fetch starts `startMs` later.
    const mayFetch = isClaimUsable(router.claim, this.#time * router.speed);
    if (mayFetch) this.fetches.push(this.#time + startMs);
    else if (router.claim.outcome === "claimed") this.counts.void++;
    router.claim = undefined;
  }

  /** Returns the maximum number of fetches within any minute. */
  getPeak(): number {
    const times = this.fetches.toSorted((a, b) => a - b);
    const counts = times.map((from) =>
      times.filter((at) => at >= from && at < from + MINUTE_MS).length
    );
    return Math.max(0, ...counts);
  }

  #applyStep(router: Router, { claim, effect }: ClaimStep): void {
    router.claim = claim;
    router.effect = effect;
  }

  #execute(effect: ClaimEffect, callResult: CallResult): ClaimInput {
    if (callResult === "down") {
      return { kind: "failed", failure: "unavailable" };
    }
    this.#expire();
    if (effect.kind === "list") {
      return { kind: "listed", keys: [...this.#slots.keys()] };
    }
    if (effect.kind === "read") {
      return { kind: "read", value: this.#slots.get(effect.key)?.value };
    }
    if (effect.kind === "grant") {
      const lease = `${this.#leases.size}`;
      const ttlMs = effect.ttlSeconds * 1_000 / this.#kvSpeed;
      this.#leases.set(lease, this.#time + ttlMs);
      return { kind: "granted", lease };
    }
    const unknown = { kind: "failed", failure: "unknown" } as const;
    if (callResult === "delayed") {
      this.#delayedWrites.push(() => void this.#create(effect));
    }
    if (callResult === "dropped" || callResult === "delayed") return unknown;
    const written = this.#create(effect);
    if (callResult === "lost") this.counts.lost++;
    return callResult === "lost" ? unknown : written;
  }

  #create(effect: ClaimEffect & { kind: "create" }): ClaimInput {
    this.#expire();
    const { key, value, lease } = effect;
    const current = this.#slots.get(key);
    if (current !== undefined) {
      return { kind: "conflict", value: current.value };
    }
    const isLive = this.#leases.get(lease)! > this.#time;
    if (!isLive) return { kind: "failed", failure: "refused" };
    this.#slots.set(key, { value, lease });
    return { kind: "written" };
  }

  #expire(): void {
    for (const [key, { lease }] of this.#slots) {
      if (this.#leases.get(lease)! <= this.#time) this.#slots.delete(key);
    }
  }
}

const speed = fc.constantFrom(1 - DRIFT, 1, 1 + DRIFT);
const script = fc.record({
  rate: fc.constantFrom(1, 2, 3, 5),
  speeds: fc.array(speed, { minLength: 2, maxLength: 6 }),
  bursts: fc.array(
    fc.record({
      actor: fc.nat(5),
      waitMs: fc.constantFrom(0, 0, 5, 500, 3_900, 9_000),
      callResults: fc.array(fc.constantFrom(...CALL_RESULTS), {
        minLength: 1,
        maxLength: 7,
        size: "max",
      }),
      startMs: fc.constantFrom(0, 0, START_WITHIN_MS),
    }),
    { minLength: 40, maxLength: 120, size: "max" },
  ),
});

test("never starts more fetches in a minute than the rate", () => {
  const totals = { fetches: 0, full: 0, lost: 0, late: 0, void: 0 };
  fc.assert(
    fc.property(script, ({ rate, speeds, bursts }) => {
      const simulation = new Simulation(rate, speeds);
      for (const burst of bursts) simulation.run(burst);
      const peak = simulation.getPeak();
      expect(peak).toBeLessThanOrEqual(rate);
      totals.fetches += simulation.fetches.length;
      if (peak === rate) totals.full++;
      totals.lost += simulation.counts.lost;
      totals.late += simulation.counts.late;
      totals.void += simulation.counts.void;
    }),
    { seed: 23, numRuns: RUNS },
  );
  expect(totals).toMatchSnapshot();
});

test("computes the slots of a rate", () => {
  expect(planSlots(60)).toMatchObject({ count: 60, ttlSeconds: 71 });
  expect(planSlots(2.9)).toMatchObject({ count: 2 });
  expect(planSlots(0.5)).toMatchObject({ count: 1, ttlSeconds: 131 });
  expect(planSlots(0)).toMatchObject({ count: 0 });
  expect(startClaim("a", planSlots(0)).claim.outcome).toBe("none-free");
  const keys = [`${SLOT_PREFIX}1`, `${SLOT_PREFIX}7`];
  expect(getFreeSlots(planSlots(3), keys)).toEqual([0, 2]);
});
