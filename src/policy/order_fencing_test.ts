import * as fc from "fast-check";
import type { Item } from "../store/key_value.ts";
import { startOrder, stepOrder } from "./order_fencing.ts";
import type {
  OrderAttempt,
  OrderEffect,
  OrderInput,
  OrderStep,
  Outcome,
} from "./order_fencing_attempt.ts";

const RUNS = 10_000;
const DRIFT = 0.1;
/** Lease of each router; a short one may follow on a long one. */
const LEASES_MS = [1_000, 1_000, 400];
const TRANSIT_MS = 600;
const CARRY_OUT_MS = 300;
/** Delay that stands for a send that is cancelled on its way. */
const CANCELLED_MS = 15;
const FATES = [
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
type Fate = (typeof FATES)[number];
/** A router's next step; nothing else moves in between those of a burst. */
interface Move {
  readonly fate: Fate;
  readonly delayMs: number;
}

interface Burst {
  /** A router, or the key-value service with any number beyond. */
  readonly actor: number;
  /** True time that passes before. */
  readonly waitMs: number;
  readonly moves: readonly Move[];
}

interface Router {
  /** Speed of its clock against true time, within the drift. */
  readonly speed: number;
  attempt: OrderAttempt | undefined;
  effect: OrderEffect | undefined;
  arriving: OrderInput | undefined;
}

interface Delivery {
  readonly at: number;
  readonly fence: number;
  readonly id: string;
}

/** Routers that give orders to one upstream, over one key. */
class World {
  readonly outcomes: Outcome[] = [];
  /** Orders that the upstream took, in order of arrival. */
  readonly taken: Delivery[] = [];
  readonly seen = { orders: 0, repeats: 0 };
  readonly #routers: Router[];
  readonly #checksFencing: boolean;
  readonly #late: (() => void)[] = [];
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
      arriving: undefined,
    }));
  }

  play({ actor, waitMs, moves }: Burst): void {
    this.#advance(this.#time + waitMs);
    const router = this.#routers[actor];
    for (const move of moves) {
      if (router === undefined) this.#late.shift()?.();
      else this.#move(router, move);
    }
  }

  #move(router: Router, { fate, delayMs }: Move): void {
    if (router.attempt === undefined) {
      // Not each time, since each start takes the record over.
      if (delayMs === 0) this.#start(router);
      return;
    }
    if (fate === "kill") {
      router.attempt = router.effect = router.arriving = undefined;
      return;
    }
    if (fate === "lease-end") {
      const last = Math.floor(router.attempt.validUntil / router.speed) - 1;
      if (last > this.#time) this.#advance(last);
    }
    const { effect, arriving } = router;
    if (arriving !== undefined) {
      router.arriving = undefined;
      const now = this.#time * router.speed;
      this.#follow(router, stepOrder(router.attempt, arriving, now), delayMs);
    } else if (effect !== undefined) {
      router.effect = undefined;
      router.arriving = this.#carryOut(router, effect, fate);
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
    const id = `${this.seen.orders++}`;
    const order = { id, kind: "load-model" } as const;
    this.#follow(
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

  /** A send happens in the turn of the check, and arrives within the bound. */
  #follow(router: Router, { attempt, effect }: OrderStep, delayMs: number) {
    router.attempt = attempt;
    router.effect = effect;
    if (attempt.outcome !== undefined) {
      this.outcomes.push(attempt.outcome);
      router.attempt = undefined;
    }
    if (effect?.kind !== "send") return;
    if (attempt.sends > 1) this.seen.repeats++;
    const { fence } = effect;
    const at = this.#time + delayMs;
    if (delayMs === CANCELLED_MS) return;
    this.#inTransit.push({ at, fence, id: attempt.id });
  }

  #carryOut(router: Router, effect: OrderEffect, fate: Fate) {
    if (effect.kind === "wait") {
      this.#advance(Math.max(this.#time, effect.until / router.speed + 0.001));
      return { kind: "elapsed" } as const;
    }
    if (effect.kind === "send") return this.#answer(router);
    if (effect.kind === "list-orders") {
      if (fate !== "ok" && fate !== "lease-end") {
        return { kind: "list-failed" } as const;
      }
      const listed = this.taken.filter(({ at }) =>
        at + CARRY_OUT_MS <= this.#time
      );
      const ids = listed.map(({ id }) => id);
      return { kind: "listed", ids } as const;
    }
    if (fate === "unavailable") {
      return { kind: "failed", failure: "unavailable" } as const;
    }
    if (effect.kind === "read") {
      return { kind: "read", item: this.#item } as const;
    }
    const unknown = { kind: "failed", failure: "unknown" } as const;
    if (fate === "dropped") return unknown;
    if (fate === "delayed") {
      this.#late.push(() => this.#write(effect));
      return unknown;
    }
    const written = this.#write(effect);
    return fate === "lost" ? unknown : written;
  }

  /** The answer to a send; lost while the order is on its way. */
  #answer({ attempt }: Router): OrderInput {
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
      moves: fc.array(
        fc.record({
          fate: fc.constantFrom(...FATES),
          delayMs: fc.constantFrom(0, CANCELLED_MS, TRANSIT_MS),
        }),
        { minLength: 1, maxLength: 10, size: "max" },
      ),
    }),
    { minLength: 10, maxLength: 50, size: "max" },
  ),
});

test.each([[false, 2], [true, 2], [false, 3]])(
  "orders arrive in the order of their fences (checked: %p, %i routers)",
  (checksFencing, routers) => {
    const totals = { taken: 0, handovers: 0, repeats: 0, outcomes: {} };
    const counts: Record<string, number> = totals.outcomes;
    fc.assert(
      fc.property(script, ({ speeds, bursts }) => {
        const world = new World(checksFencing, speeds.slice(0, routers));
        for (const burst of bursts) world.play(burst);
        const fences = world.taken.map(({ fence }) => fence);
        expect(fences).toEqual(fences.toSorted((a, b) => a - b));
        // A holder repeats only what was cancelled on its way.
        expect(new Set(fences).size).toBe(fences.length);
        totals.taken += fences.length;
        if (fences.length > 1) totals.handovers++;
        totals.repeats += world.seen.repeats;
        for (const outcome of world.outcomes) {
          counts[outcome] = (counts[outcome] ?? 0) + 1;
        }
      }),
      { seed: 19, numRuns: RUNS },
    );
    expect(totals).toMatchSnapshot();
  },
);

test("a malformed record is left alone", () => {
  const { attempt } = startOrder({ id: "o", kind: "set-role" }, "1");
  const item = { key: "k", value: `{"fence":0}`, revision: 1 };
  const step = stepOrder(attempt, { kind: "read", item }, 0);
  expect(step.attempt.outcome).toBe("unavailable");
});

test("waits for the longest lease of the holders before", () => {
  const { attempt } = startOrder({ id: "o", kind: "set-role" }, "1", {
    leaseMs: 500,
    drift: 0.1,
    transitMs: 90,
  });
  const value = `{"fence":4,"id":"0","leaseMs":900}`;
  const item = { key: "k", value, revision: 7 };
  const taken = stepOrder(attempt, { kind: "read", item }, 0);
  expect(taken.effect).toEqual({
    kind: "replace",
    value: `{"fence":5,"id":"1","leaseMs":900}`,
    revision: 7,
  });
  const written = { kind: "written", revision: 8 } as const;
  const { effect } = stepOrder(taken.attempt, written, 1_000);
  expect(effect).toEqual({ kind: "wait", until: 1_000 + 990 * 1.1 / 0.9 });
});
