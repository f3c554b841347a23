import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { startAttempt, stepAttempt } from "./idempotency.ts";
import type { Attempt, Effect, Input, Step } from "./idempotency_attempt.ts";
import type { ExecutionStatus } from "../types.ts";
import type { Item } from "../store/key_value.ts";
import {
  createStoredResponse,
  encodeCallRecord,
  getCallKey,
  getRequestDigest,
  MAX_STORED_BODY_BYTES,
  tryDecodeCallRecord,
} from "./idempotency_record.ts";

const ROUTER_COUNT = 4;
const MAX_ATTEMPTS = 9;
const SCRIPT_COUNT = 12_000;
const MAX_DRAIN_ROUNDS = 400;
/** Faults that a script injects into steps; most often `ok`, no fault. */
const FAULTS = [
  ...Array<"ok">(9).fill("ok"),
  "lost",
  "dropped",
  "delayed",
  "unavailable",
  "unreachable",
  "unclear",
  "kill",
] as const;
type Fault = (typeof FAULTS)[number];
type Action = { actor: number; fault: Fault };
/** Actors besides the routers: run a delayed effect, and toggle an outage. */
const DELAYED = ROUTER_COUNT;
const OUTAGE = ROUTER_COUNT + 1;

/** A router that makes consecutive attempts with the same idempotency key. */
interface SimulatedRouter {
  attempt: Attempt | undefined;
  effect: Effect | undefined;
  /** Response that the router has not yet received. */
  pendingInput: Input | undefined;
}

/** Simulates one key of the key-value service, an upstream and the routers. */
class Simulation {
  readonly routers: SimulatedRouter[] = [];
  readonly runs: string[] = [];
  readonly refused: {
    id: string;
    ran: ExecutionStatus;
    code: string;
    runs: number;
  }[] = [];
  readonly replays: string[] = [];
  readonly counters = {
    crashes: 0,
    delayed: 0,
    unclear: 0,
    attempts: 0,
    writes: 0,
  };
  item: Item | undefined;
  #revision = 0;
  #isDown = false;
  readonly #delayedEffects: (() => void)[] = [];
  readonly #ranIfUnavailable: ExecutionStatus;

  constructor(ranIfUnavailable: ExecutionStatus = "no") {
    this.#ranIfUnavailable = ranIfUnavailable;
    for (let index = 0; index < ROUTER_COUNT; index++) {
      const idle = { attempt: undefined, effect: undefined };
      this.routers.push({ ...idle, pendingInput: undefined });
    }
  }

  runAction({ actor, fault }: Action): void {
    if (actor === DELAYED) return this.#delayedEffects.shift()?.();
    if (actor === OUTAGE) {
      this.#isDown = !this.#isDown;
      return;
    }
    const router = this.routers[actor]!;
    if (router.attempt === undefined) return this.#startAttempt(router, actor);
    if (fault === "kill") return this.#crash(router);
    const { effect, pendingInput } = router;
    router.effect = router.pendingInput = undefined;
    if (pendingInput !== undefined) this.#deliverInput(router, pendingInput);
    else if (effect !== undefined) {
      router.pendingInput = this.#performEffect(router.attempt, effect, fault);
    }
  }

  /** Runs all attempts to their end without further faults. */
  drain(): void {
    this.#isDown = false;
    while (this.#delayedEffects.length > 0) this.#delayedEffects.shift()!();
    this.counters.attempts = MAX_ATTEMPTS;
    for (let round = 0; round < MAX_DRAIN_ROUNDS; round++) {
      const busy = this.routers.filter(({ attempt }) => attempt !== undefined);
      if (busy.length === 0) return;
      for (const router of busy) {
        this.runAction({ actor: this.routers.indexOf(router), fault: "ok" });
      }
    }
    throw new Error("an attempt did not finish within MAX_DRAIN_ROUNDS");
  }

  #startAttempt(router: SimulatedRouter, actor: number): void {
    if (this.counters.attempts >= MAX_ATTEMPTS) return;
    const id = `${this.counters.attempts++}`;
    const routerName = `router-${actor}`;
    this.#applyStep(
      router,
      startAttempt({ id, digest: "d", router: routerName, wallNow: 0 }, {
        maxWaitMs: 600,
        ranIfUnavailable: this.#ranIfUnavailable,
      }),
    );
  }

  #crash(router: SimulatedRouter): void {
    this.counters.crashes++;
    router.attempt = router.effect = router.pendingInput = undefined;
  }

  #deliverInput(router: SimulatedRouter, input: Input): void {
    const isAlive = (name: string) =>
      this.routers[Number(name.slice("router-".length))]!.attempt !==
        undefined;
    const surroundings = { wallNow: 0, isAlive };
    this.#applyStep(router, stepAttempt(router.attempt!, input, surroundings));
  }

  #applyStep(router: SimulatedRouter, { attempt, effects }: Step): void {
    router.attempt = attempt.phase === "finished" ? undefined : attempt;
    for (const effect of effects) {
      if (effect.kind === "replay") this.replays.push(effect.answer.body!);
      else if (effect.kind === "refuse") {
        const { ran, code } = effect.refusal;
        const { length } = this.runs;
        this.refused.push({ id: attempt.call.id, ran, code, runs: length });
      } else {
        if (router.effect !== undefined) {
          throw new Error("a step requested a second effect");
        }
        router.effect = effect;
      }
    }
  }

  #performEffect({ call }: Attempt, effect: Effect, fault: Fault): Input {
    if (effect.kind === "wait") return { kind: "elapsed" };
    if (effect.kind === "run") return this.#runCall(call.id, fault);
    if (effect.kind === "read") return this.#read(fault);
    if (this.#isDown || fault === "unavailable") {
      return { kind: "failed", failure: "unavailable" };
    }
    const unknown: Input = { kind: "failed", failure: "unknown" };
    if (fault === "dropped") return unknown;
    if (fault === "delayed") {
      this.counters.delayed++;
      this.#delayedEffects.push(() => this.#write(effect));
      return unknown;
    }
    const written = this.#write(effect);
    return fault === "lost" ? unknown : written;
  }

  #read(fault: Fault): Input {
    if (this.#isDown || (fault !== "ok" && fault !== "unclear")) {
      return { kind: "failed", failure: "unavailable" };
    }
    return { kind: "read", item: this.item };
  }

  #write(effect: Effect): Input {
    const expected = effect.kind === "replace" || effect.kind === "remove"
      ? effect.revision
      : undefined;
    if (this.item?.revision !== expected) {
      return { kind: "conflict", current: this.item };
    }
    this.counters.writes++;
    const revision = ++this.#revision;
    this.item = effect.kind === "create" || effect.kind === "replace"
      ? { key: "k", value: effect.value, revision }
      : undefined;
    return { kind: "written", revision };
  }

  #runCall(id: string, fault: Fault): Input {
    if (fault === "unreachable") return { kind: "not-run" };
    if (fault === "ok") {
      this.runs.push(id);
      const body = new TextEncoder().encode(id);
      const answer = createStoredResponse(200, { headers: {}, body });
      return { kind: "answered", answer };
    }
    this.counters.unclear++;
    if (fault === "delayed") {
      this.#delayedEffects.push(() => this.runs.push(id));
    } else if (fault !== "dropped") this.runs.push(id);
    return { kind: "unclear" };
  }
}

const script = fc.array(
  fc.record({
    actor: fc.constantFrom(0, 0, 1, 1, 2, 2, 3, 3, 0, 1, 2, 3, DELAYED, OUTAGE),
    fault: fc.constantFrom(...FAULTS),
  }),
  { minLength: 10, maxLength: 90, size: "max" },
);

function runScript(
  actions: readonly Action[],
  simulation: Simulation,
): Simulation {
  for (const action of actions) simulation.runAction(action);
  simulation.drain();
  return simulation;
}

test("a call runs at most once, and no run is reported as 'not run'", () => {
  const totals = { ran: 0, replays: 0, no: 0, unknown: 0, kills: 0, late: 0 };
  let noThoughOtherRan = 0;
  fc.assert(
    fc.property(script, (actions) => {
      const { runs, refused, replays, counters, item } = runScript(
        actions,
        new Simulation(),
      );
      expect(runs.length).toBeLessThanOrEqual(1);
      const no = refused.filter(({ ran }) => ran === "no");
      for (const { id } of no) expect(runs).not.toContain(id);
      for (const body of replays) {
        expect(runs).toEqual([Buffer.from(body, "base64").toString()]);
      }
      const hasFault =
        counters.crashes + counters.delayed + counters.unclear > 0;
      if (runs.length === 0 && !hasFault) expect(item).toBeUndefined();
      totals.ran += runs.length;
      totals.replays += replays.length;
      totals.no += no.length;
      totals.unknown += refused.length - no.length;
      totals.kills += counters.crashes;
      totals.late += counters.delayed;
      if (no.some((each) => each.runs > 0)) noThoughOtherRan++;
    }),
    { seed: 17, numRuns: SCRIPT_COUNT },
  );
  expect({ ...totals, noThoughOtherRan }).toMatchSnapshot();
});

test("ranIfUnavailable 'unknown': 'not run' covers earlier requests", () => {
  fc.assert(
    fc.property(script, (actions) => {
      const { runs, refused } = runScript(actions, new Simulation("unknown"));
      expect(runs.length).toBeLessThanOrEqual(1);
      for (const { ran, runs: earlier } of refused) {
        if (ran === "no") expect(earlier).toBe(0);
      }
    }),
    { seed: 18, numRuns: SCRIPT_COUNT },
  );
});

test("a successful call takes two writes", () => {
  const simulation = new Simulation();
  for (let step = 0; step < 8; step++) {
    simulation.runAction({ actor: 0, fault: "ok" });
  }
  expect(simulation.counters.writes).toBe(2);
  expect(tryDecodeCallRecord(simulation.item!.value)).toMatchSnapshot();
});

test("a repeat of a call that was refused as not run is served", () => {
  const simulation = new Simulation();
  simulation.runAction({ actor: 0, fault: "ok" });
  simulation.runAction({ actor: 0, fault: "lost" });
  simulation.runAction({ actor: 0, fault: "ok" });
  simulation.runAction({ actor: 0, fault: "unavailable" });
  simulation.runAction({ actor: 0, fault: "ok" });
  expect(simulation.refused).toMatchObject([{ ran: "no" }]);
  expect(simulation.item).toBeDefined();
  for (let step = 0; step < 40; step++) {
    simulation.runAction({ actor: 0, fault: "ok" });
  }
  expect(simulation.runs).toEqual(["1"]);
});

test("handles the existing record of another request", () => {
  const wallNow = 200_000;
  const call = { id: "other", digest: "d", router: "r", at: wallNow };
  const answer = { status: 201, headers: { a: "b" } };
  const getEffects = (value: string, alive = true) => {
    const { attempt } = startAttempt({
      id: "own",
      digest: "d",
      router: "r",
      wallNow,
    });
    const current = { key: "k", value, revision: 1 };
    return stepAttempt(attempt, { kind: "conflict", current }, {
      wallNow,
      isAlive: () => alive,
    }).effects;
  };
  const sent = { ...call, state: "sent" } as const;
  expect({
    mismatch: getEffects(encodeCallRecord({ ...sent, digest: "e" })),
    inProgress: getEffects(encodeCallRecord(sent)),
    routerGone: getEffects(encodeCallRecord(sent), false),
    stale: getEffects(encodeCallRecord({ ...sent, at: 0 })),
    unknown: getEffects(encodeCallRecord({ ...call, state: "unknown" })),
    tooLarge: getEffects(encodeCallRecord({ ...call, state: "done", answer })),
    malformed: getEffects(`{"state":"claimed"}`),
  }).toMatchSnapshot();
});

test("limits stored bodies, and hashes keys and requests", () => {
  const body = new Uint8Array(MAX_STORED_BODY_BYTES + 1);
  expect(createStoredResponse(200, { headers: {}, body }).body).toBeUndefined();
  const names = { workspace: "w", service: "s" };
  expect(getCallKey("k/../x", names)).toMatchSnapshot();
  const digest = (method: string, path: string) =>
    getRequestDigest({ method, path, body: new Uint8Array(2) });
  expect(digest("POST", "/a")).not.toBe(digest("POST/", "a"));
});
