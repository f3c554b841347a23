import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { startAttempt, stepAttempt } from "./idempotency.ts";
import type { Attempt, Effect, Input, Step } from "./idempotency_attempt.ts";
import type { Ran } from "../types.ts";
import type { Item } from "../store/key_value.ts";
import {
  createAnswer,
  encodeCall,
  getCallKey,
  getRequestDigest,
  MAX_KEPT_BODY_BYTES,
  tryDecodeCall,
} from "./idempotency_record.ts";

const ROUTERS = 4;
const MAX_TAPS = 9;
const RUNS = 12_000;
const MAX_DRAIN_ROUNDS = 400;
/** What a script may do to a step, with the plain course most often. */
const FATES = [
  ...Array<"ok">(9).fill("ok"),
  "lost",
  "dropped",
  "delayed",
  "unavailable",
  "unreachable",
  "unclear",
  "kill",
] as const;
type Fate = (typeof FATES)[number];
type Move = { actor: number; fate: Fate };
/** Moves of an actor beyond the routers. */
const LATE = ROUTERS;
const OUTAGE = ROUTERS + 1;

/** A router that makes one attempt after another with the same key. */
interface Tapper {
  attempt: Attempt | undefined;
  effect: Effect | undefined;
  /** Answer that is on its way to the router. */
  arriving: Input | undefined;
}

/** One key of the key-value service, an upstream and some routers. */
class World {
  readonly tappers: Tapper[] = [];
  readonly runs: string[] = [];
  readonly refused: { id: string; ran: Ran; code: string; runs: number }[] = [];
  readonly replays: string[] = [];
  readonly seen = { kills: 0, late: 0, unclear: 0, taps: 0, writes: 0 };
  item: Item | undefined;
  #revision = 0;
  #isDown = false;
  readonly #late: (() => void)[] = [];
  readonly #ranIfUnavailable: Ran;

  constructor(ranIfUnavailable: Ran = "no") {
    this.#ranIfUnavailable = ranIfUnavailable;
    for (let index = 0; index < ROUTERS; index++) {
      const idle = { attempt: undefined, effect: undefined };
      this.tappers.push({ ...idle, arriving: undefined });
    }
  }

  move({ actor, fate }: Move): void {
    if (actor === LATE) return this.#late.shift()?.();
    if (actor === OUTAGE) {
      this.#isDown = !this.#isDown;
      return;
    }
    const tapper = this.tappers[actor]!;
    if (tapper.attempt === undefined) return this.#tap(tapper, actor);
    if (fate === "kill") return this.#kill(tapper);
    const { effect, arriving } = tapper;
    tapper.effect = tapper.arriving = undefined;
    if (arriving !== undefined) this.#take(tapper, arriving);
    else if (effect !== undefined) {
      tapper.arriving = this.#carryOut(tapper.attempt, effect, fate);
    }
  }

  /** Lets everything end without a further fault. */
  drain(): void {
    this.#isDown = false;
    while (this.#late.length > 0) this.#late.shift()!();
    this.seen.taps = MAX_TAPS;
    for (let round = 0; round < MAX_DRAIN_ROUNDS; round++) {
      const busy = this.tappers.filter(({ attempt }) => attempt !== undefined);
      if (busy.length === 0) return;
      for (const tapper of busy) {
        this.move({ actor: this.tappers.indexOf(tapper), fate: "ok" });
      }
    }
    throw new Error("an attempt does not end");
  }

  #tap(tapper: Tapper, actor: number): void {
    if (this.seen.taps >= MAX_TAPS) return;
    const id = `${this.seen.taps++}`;
    const router = `router-${actor}`;
    this.#follow(
      tapper,
      startAttempt({ id, digest: "d", router, wallNow: 0 }, {
        maxWaitMs: 600,
        ranIfUnavailable: this.#ranIfUnavailable,
      }),
    );
  }

  #kill(tapper: Tapper): void {
    this.seen.kills++;
    tapper.attempt = tapper.effect = tapper.arriving = undefined;
  }

  #take(tapper: Tapper, input: Input): void {
    const isAlive = (router: string) =>
      this.tappers[Number(router.slice("router-".length))]!.attempt !==
        undefined;
    const surroundings = { wallNow: 0, isAlive };
    this.#follow(tapper, stepAttempt(tapper.attempt!, input, surroundings));
  }

  #follow(tapper: Tapper, { attempt, effects }: Step): void {
    tapper.attempt = attempt.phase === "finished" ? undefined : attempt;
    for (const effect of effects) {
      if (effect.kind === "replay") this.replays.push(effect.answer.body!);
      else if (effect.kind === "refuse") {
        const { ran, code } = effect.refusal;
        const { length } = this.runs;
        this.refused.push({ id: attempt.call.id, ran, code, runs: length });
      } else {
        if (tapper.effect !== undefined) throw new Error("two effects at once");
        tapper.effect = effect;
      }
    }
  }

  #carryOut({ call }: Attempt, effect: Effect, fate: Fate): Input {
    if (effect.kind === "wait") return { kind: "elapsed" };
    if (effect.kind === "run") return this.#run(call.id, fate);
    if (effect.kind === "read") return this.#read(fate);
    if (this.#isDown || fate === "unavailable") {
      return { kind: "failed", failure: "unavailable" };
    }
    const unknown: Input = { kind: "failed", failure: "unknown" };
    if (fate === "dropped") return unknown;
    if (fate === "delayed") {
      this.seen.late++;
      this.#late.push(() => this.#write(effect));
      return unknown;
    }
    const written = this.#write(effect);
    return fate === "lost" ? unknown : written;
  }

  #read(fate: Fate): Input {
    if (this.#isDown || (fate !== "ok" && fate !== "unclear")) {
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
    this.seen.writes++;
    const revision = ++this.#revision;
    this.item = effect.kind === "create" || effect.kind === "replace"
      ? { key: "k", value: effect.value, revision }
      : undefined;
    return { kind: "written", revision };
  }

  #run(id: string, fate: Fate): Input {
    if (fate === "unreachable") return { kind: "not-run" };
    if (fate === "ok") {
      this.runs.push(id);
      const body = new TextEncoder().encode(id);
      const answer = createAnswer(200, { headers: {}, body });
      return { kind: "answered", answer };
    }
    this.seen.unclear++;
    if (fate === "delayed") this.#late.push(() => this.runs.push(id));
    else if (fate !== "dropped") this.runs.push(id);
    return { kind: "unclear" };
  }
}

const script = fc.array(
  fc.record({
    actor: fc.constantFrom(0, 0, 1, 1, 2, 2, 3, 3, 0, 1, 2, 3, LATE, OUTAGE),
    fate: fc.constantFrom(...FATES),
  }),
  { minLength: 10, maxLength: 90, size: "max" },
);

function play(moves: readonly Move[], world: World): World {
  for (const move of moves) world.move(move);
  world.drain();
  return world;
}

test("a call runs at most once, and 'not run' is never said of a run", () => {
  const totals = { ran: 0, replays: 0, no: 0, unknown: 0, kills: 0, late: 0 };
  let noThoughOtherRan = 0;
  fc.assert(
    fc.property(script, (moves) => {
      const { runs, refused, replays, seen, item } = play(moves, new World());
      expect(runs.length).toBeLessThanOrEqual(1);
      const no = refused.filter(({ ran }) => ran === "no");
      for (const { id } of no) expect(runs).not.toContain(id);
      for (const body of replays) {
        expect(runs).toEqual([Buffer.from(body, "base64").toString()]);
      }
      const hasFault = seen.kills + seen.late + seen.unclear > 0;
      if (runs.length === 0 && !hasFault) expect(item).toBeUndefined();
      totals.ran += runs.length;
      totals.replays += replays.length;
      totals.no += no.length;
      totals.unknown += refused.length - no.length;
      totals.kills += seen.kills;
      totals.late += seen.late;
      if (no.some((each) => each.runs > 0)) noThoughOtherRan++;
    }),
    { seed: 17, numRuns: RUNS },
  );
  expect({ ...totals, noThoughOtherRan }).toMatchSnapshot();
});

test("said of the call, 'not run' holds for every request with its key", () => {
  fc.assert(
    fc.property(script, (moves) => {
      const { runs, refused } = play(moves, new World("unknown"));
      expect(runs.length).toBeLessThanOrEqual(1);
      for (const { ran, runs: earlier } of refused) {
        if (ran === "no") expect(earlier).toBe(0);
      }
    }),
    { seed: 18, numRuns: RUNS },
  );
});

test("a call that goes well takes two writes", () => {
  const world = new World();
  for (let step = 0; step < 8; step++) world.move({ actor: 0, fate: "ok" });
  expect(world.seen.writes).toBe(2);
  expect(tryDecodeCall(world.item!.value)).toMatchSnapshot();
});

test("a repeat of a call refused as not run is served", () => {
  const world = new World();
  world.move({ actor: 0, fate: "ok" });
  world.move({ actor: 0, fate: "lost" });
  world.move({ actor: 0, fate: "ok" });
  world.move({ actor: 0, fate: "unavailable" });
  world.move({ actor: 0, fate: "ok" });
  expect(world.refused).toMatchObject([{ ran: "no" }]);
  expect(world.item).toBeDefined();
  for (let step = 0; step < 40; step++) world.move({ actor: 0, fate: "ok" });
  expect(world.runs).toEqual(["1"]);
});

test("judges the record of another request", () => {
  const wallNow = 200_000;
  const call = { id: "other", digest: "d", router: "r", at: wallNow };
  const answer = { status: 201, headers: { a: "b" } };
  const judge = (value: string, alive = true) => {
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
    mismatch: judge(encodeCall({ ...sent, digest: "e" })),
    inProgress: judge(encodeCall(sent)),
    routerGone: judge(encodeCall(sent), false),
    stale: judge(encodeCall({ ...sent, at: 0 })),
    unknown: judge(encodeCall({ ...call, state: "unknown" })),
    tooLarge: judge(encodeCall({ ...call, state: "done", answer })),
    malformed: judge(`{"state":"claimed"}`),
  }).toMatchSnapshot();
});

test("records, keys and digests", () => {
  const body = new Uint8Array(MAX_KEPT_BODY_BYTES + 1);
  expect(createAnswer(200, { headers: {}, body }).body).toBeUndefined();
  const names = { workspace: "w", service: "s" };
  expect(getCallKey("k/../x", names)).toMatchSnapshot();
  const digest = (method: string, path: string) =>
    getRequestDigest({ method, path, body: new Uint8Array(2) });
  expect(digest("POST", "/a")).not.toBe(digest("POST/", "a"));
});
