import * as fc from "fast-check";
import type { Item } from "../store/key_value.ts";
import { startOrder, stepOrder } from "./order_fencing.ts";
import type {
  OrderAttempt,
  OrderEffect,
  OrderInput,
  OrderOutcome,
  OrderStep,
} from "./order_fencing_attempt.ts";

const SCRIPT_COUNT = 10_000;
const DRIFT = 0.1;
/** Lease of each router; a short lease may follow a long one. */
const LEASES_MS = [1_000, 1_000, 400];
const TRANSIT_MS = 600;
const CARRY_OUT_MS = 300;
/** Delay value that represents a send that is cancelled in transit. */
const CANCELLED_MS = 15;
const FAULTS = [
  ...Array<"ok">(20).fill("ok"),
  "lost",
  "dropped",
  "delayed",
  "unavailable",
  "lease-end",
  "lease-end",
  "lease-end",
  "kill",
] as const;
type Fault = (typeof FAULTS)[number];
/** A router's next step; the steps of one burst run without interruption. */
interface Action {
  readonly fault: Fault;
  readonly delayMs: number;
}

interface Burst {
  /** Index of a router; a larger number applies delayed writes. */
  readonly actor: number;
  /** True time that passes before the burst. */
  readonly waitMs: number;
  readonly actions: readonly Action[];
}

interface Router {
  /** Speed of its clock against true time, within the drift. */
  readonly speed: number;
  attempt: OrderAttempt | undefined;
  effect: OrderEffect | undefined;
  pendingInput: OrderInput | undefined;
}

interface Delivery {
  readonly at: number;
  readonly fence: number;
  readonly id: string;
}

/** Simulates routers that send orders to one upstream, using one key. */
class Simulation {
  readonly outcomes: OrderOutcome[] = [];
  /** Orders that the upstream accepted, in order of arrival. */
  readonly taken: Delivery[] = [];
  readonly counters = { orders: 0, repeats: 0 };
  readonly #routers: Router[];
  readonly #checksFencing: boolean;
  readonly #delayedWrites: (() => void)[] = [];
  #inTransit: Delivery[] = [];
  #item: Item | undefined;
  #revision = 0;
  #time = 0;

  constructor(checksFencing: boolean, speeds: readonly number[]) {
    this.#checksFencing = checksFencing;
    const idle = { attempt: undefined, effect: undefined };
    this.#routers = speeds.map((speed) => ({
      speed,
      ...idle,
      pendingInput: undefined,
    }));
  }

  runBurst({ actor, waitMs, actions }: Burst): void {
    this.#advance(this.#time + waitMs);
    const router = this.#routers[actor];
    for (const action of actions) {
      if (router === undefined) this.#delayedWrites.shift()?.();
      else this.#runAction(router, action);
    }
  }

  #runAction(router: Router, { fault, delayMs }: Action): void {
    if (router.attempt === undefined) {
      // Only for one of the delays, since each start takes over the record.
      if (delayMs === 0) this.#start(router);
      return;
    }
    if (fault === "kill") {
      router.attempt = router.effect = router.pendingInput = undefined;
      return;
    }
    if (fault === "lease-end") {
      const lastValidTime =
        Math.floor(router.attempt.validUntil / router.speed) - 1;
      if (lastValidTime > this.#time) this.#advance(lastValidTime);
    }
    const { effect, pendingInput } = router;
    if (pendingInput !== undefined) {
      router.pendingInput = undefined;
      const now = this.#time * router.speed;
      this.#applyStep(
        router,
        stepOrder(router.attempt, pendingInput, now),
        delayMs,
      );
    } else if (effect !== undefined) {
      router.effect = undefined;
      router.pendingInput = this.#performEffect(router, effect, fault);
    }
  }

  #advance(time: number): void {
    this.#time = time;
    const arrived = this.#inTransit.filter(({ at }) => at <= time);
    this.#inTransit = this.#inTransit.filter(({ at }) => at > time);
    for (const delivery of arrived.sort((a, b) => a.at - b.at)) {
      const newest = this.taken.at(-1)?.fence ?? 0;
      if (this.#checksFencing && delivery.fence < newest) continue;
      this.taken.push(delivery);
    }
  }

  #start(router: Router): void {
    const id = `${this.counters.orders++}`;
    const order = { id, kind: "load-model" } as const;
    this.#applyStep(
      router,
      startOrder(order, id, {
        checksFencing: this.#checksFencing,
        leaseMs: LEASES_MS[this.#routers.indexOf(router)]!,
        drift: DRIFT,
        transitMs: TRANSIT_MS,
        carryOutMs: CARRY_OUT_MS,
        pollMs: 100,
      }),
      0,
    );
  }

  /** Sends in the turn of the check; the order arrives within `TRANSIT_MS`. */
  #applyStep(router: Router, { attempt, effect }: OrderStep, delayMs: number) {
    router.attempt = attempt;
    router.effect = effect;
    if (attempt.outcome !== undefined) {
      this.outcomes.push(attempt.outcome);
      router.attempt = undefined;
    }
    if (effect?.kind !== "send") return;
    if (attempt.sends > 1) this.counters.repeats++;
    const { fence } = effect;
    const at = this.#time + delayMs;
    if (delayMs === CANCELLED_MS) return;
    this.#inTransit.push({ at, fence, id: attempt.id });
  }

  #performEffect(router: Router, effect: OrderEffect, fault: Fault) {
    if (effect.kind === "wait") {
      this.#advance(Math.max(this.#time, effect.until / router.speed + 0.001));
      return { kind: "elapsed" } as const;
    }
    if (effect.kind === "send") return this.#getSendInput(router);
    if (effect.kind === "list-orders") {
      if (fault !== "ok" && fault !== "lease-end") {
        return { kind: "list-failed" } as const;
      }
      const listed = this.taken.filter(({ at }) =>
        at + CARRY_OUT_MS <= this.#time
      );
      const ids = listed.map(({ id }) => id);
      return { kind: "listed", ids } as const;
    }
    if (fault === "unavailable") {
      return { kind: "failed", failure: "unavailable" } as const;
    }
    if (effect.kind === "read") {
      return { kind: "read", item: this.#item } as const;
    }
    const unknown = { kind: "failed", failure: "unknown" } as const;
    if (fault === "dropped") return unknown;
    if (fault === "delayed") {
      this.#delayedWrites.push(() => this.#write(effect));
      return unknown;
    }
    const written = this.#write(effect);
    return fault === "lost" ? unknown : written;
  }

  /** Returns the response to a send; `unclear` while it is in transit. */
  #getSendInput({ attempt }: Router): OrderInput {
    const own = this.taken.some(({ id }) => id === attempt!.id);
    const newest = this.taken.at(-1)?.fence ?? 0;
    const isOld = newest > attempt!.own!.holder.fence;
    if (this.#checksFencing && isOld && !own) return { kind: "fenced" };
    return own && Math.floor(this.#time) % 2 === 0
      ? { kind: "accepted" }
      : { kind: "unclear" };
  }

  #write(effect: OrderEffect): OrderInput {
    const expected = effect.kind === "replace" ? effect.revision : undefined;
    if (this.#item?.revision !== expected) {
      return { kind: "conflict", current: this.#item };
    }
    const revision = ++this.#revision;
    const value = "value" in effect ? effect.value : "";
    this.#item = { key: "k", value, revision };
    return { kind: "written", revision };
  }
}

const speed = fc.constantFrom(1 - DRIFT, 1, 1 + DRIFT);
const script = fc.record({
  speeds: fc.tuple(speed, speed, speed),
  bursts: fc.array(
    fc.record({
      actor: fc.constantFrom(0, 0, 0, 1, 1, 1, 2, 3),
      waitMs: fc.constantFrom(0, 0, 0, 0, 20, 900),
      actions: fc.array(
        fc.record({
          fault: fc.constantFrom(...FAULTS),
          delayMs: fc.constantFrom(0, CANCELLED_MS, TRANSIT_MS),
        }),
        { minLength: 1, maxLength: 10, size: "max" },
      ),
    }),
    { minLength: 10, maxLength: 50, size: "max" },
  ),
});

test.each([[false, 2], [true, 2], [false, 3]])(
  "orders arrive by ascending fencing number (checked: %p, %i routers)",
  (checksFencing, routers) => {
    const totals = { taken: 0, handovers: 0, repeats: 0, outcomes: {} };
    const counts: Record<string, number> = totals.outcomes;
    fc.assert(
      fc.property(script, ({ speeds, bursts }) => {
        const simulation = new Simulation(
          checksFencing,
          speeds.slice(0, routers),
        );
        for (const burst of bursts) simulation.runBurst(burst);
        const fences = simulation.taken.map(({ fence }) => fence);
        expect(fences).toEqual(fences.toSorted((a, b) => a - b));
        // A holder only repeats a send that was cancelled in transit.
        expect(new Set(fences).size).toBe(fences.length);
        totals.taken += fences.length;
        if (fences.length > 1) totals.handovers++;
        totals.repeats += simulation.counters.repeats;
        for (const outcome of simulation.outcomes) {
          counts[outcome] = (counts[outcome] ?? 0) + 1;
        }
      }),
      { seed: 19, numRuns: SCRIPT_COUNT },
    );
    expect(totals).toMatchSnapshot();
  },
);

test("a malformed record is not replaced", () => {
  const { attempt } = startOrder({ id: "o", kind: "set-role" }, "1");
  const item = { key: "k", value: `{"fence":0}`, revision: 1 };
  const step = stepOrder(attempt, { kind: "read", item }, 0);
  expect(step.attempt.outcome).toBe("unavailable");
});

test("waits for the longest lease of the previous holders", () => {
  const { attempt } = startOrder({ id: "o", kind: "set-role" }, "1", {
    leaseMs: 500,
    drift: 0.1,
    transitMs: 90,
  });
  const value = `{"fence":4,"id":"0","leaseMs":900}`;
  const item = { key: "k", value, revision: 7 };
  const takeover = stepOrder(attempt, { kind: "read", item }, 0);
  expect(takeover.effect).toEqual({
    kind: "replace",
    value: `{"fence":5,"id":"1","leaseMs":900}`,
    revision: 7,
  });
  const written = { kind: "written", revision: 8 } as const;
  const { effect } = stepOrder(takeover.attempt, written, 1_000);
  expect(effect).toEqual({ kind: "wait", until: 1_000 + 990 * 1.1 / 0.9 });
});
