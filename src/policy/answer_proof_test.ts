/** Tests of what answers on kept connections prove. */
import * as fc from "fast-check";
import type { RouteKind } from "../routing/types.ts";
import { type AnswerHead, interpretAnswer } from "./answer_proof.ts";
import { AttemptPlan, type TryFailure } from "./attempt_plan.ts";

const REQUEST = { id: "own", isReused: true, isRepeatable: false };
const REFUSAL = { status: 503, statedId: "own", isNotRun: true };

test("what each answer proves on a new and on a reused connection", () => {
  const rows: Record<string, unknown> = {};
  for (const isReused of [false, true]) {
    for (const statedId of ["own", "other", undefined]) {
      for (const status of [200, 421, 429, 500, 503]) {
        const connection = isReused ? "reused" : "new";
        rows[`${connection}, ${status}, id ${statedId ?? "absent"}`] = [
          false,
          true,
        ].map((isNotRun) =>
          interpretAnswer({ status, statedId, isNotRun }, {
            ...REQUEST,
            isReused,
          })
        );
      }
    }
  }
  expect(rows).toMatchSnapshot();
});

// Guards against upstreams that put no id in a status which promises callers
// that what may not run twice has not run (REFUSED).
test("a status is no promise without a statement of the upstream", () => {
  const head = { ...REFUSAL, isNotRun: false };
  expect(interpretAnswer(head, REQUEST)).toBe("unfounded");
  expect(interpretAnswer(head, { ...REQUEST, isRepeatable: true }))
    .toBe("answer");
  expect(interpretAnswer({ ...head, status: 500 }, REQUEST)).toBe("answer");
});

test("without an id, only the answer on a new connection is believed", () => {
  const head = { ...REFUSAL, statedId: "" };
  expect(interpretAnswer(head, { ...REQUEST, id: "" })).toBe("unclear");
  expect(interpretAnswer(head, { ...REQUEST, id: "", isReused: false }))
    .toBe("not-run");
});

/** What an upstream does with a request. */
interface Turn {
  /** Index of the connection; a new one is opened with its first request. */
  readonly connection: number;
  /** Status of its own answer; 200 and 500 if it runs the request. */
  readonly status: number;
  readonly hasId: boolean;
  /** Which earlier answer on the connection goes before its own, if any. */
  readonly copy: number | undefined;
  /** Whether the connection stays open after an answer that was believed. */
  readonly isKept: boolean;
}

const turns: fc.Arbitrary<Turn> = fc.record({
  connection: fc.nat(2),
  status: fc.constantFrom(200, 421, 429, 500, 503),
  hasId: fc.boolean(),
  copy: fc.option(fc.nat(5), { nil: undefined }),
  isKept: fc.boolean(),
});

function hasRun(status: number): boolean {
  return status === 200 || status === 500;
}

/** Plays requests of `kind`, each with up to three tries, on kept connections. */
class Play {
  readonly #connections: AnswerHead[][] = [[], [], []];
  readonly #turns: Turn[];
  readonly kind: RouteKind;

  constructor(kind: RouteKind, list: readonly Turn[]) {
    this.kind = kind;
    this.#turns = [...list];
  }

  get isOver(): boolean {
    return this.#turns.length === 0;
  }

  /** Sends the request `id`; returns its runs and what its caller is told. */
  send(id: string): { runs: number; step: string } {
    const plan = new AttemptPlan({
      kind: this.kind,
      isResumable: false,
      maxAttempts: 3,
    });
    const used = new Set<number>();
    let runs = 0;
    for (;;) {
      const turn = this.#turns.shift();
      if (turn === undefined) return { runs, step: "open" };
      // A connection never carries the same request twice.
      if (used.has(turn.connection)) this.#connections[turn.connection] = [];
      used.add(turn.connection);
      if (hasRun(turn.status)) runs++;
      const end = this.#receive(turn, id);
      if (end === undefined) return { runs, step: "answered" };
      const step = plan.next(end, { tryRetry: () => true });
      if (step !== "try-again") return { runs, step };
    }
  }

  /** Returns how the try failed; undefined if it was answered. */
  #receive(turn: Turn, id: string): TryFailure | undefined {
    const { status, hasId, copy, connection, isKept } = turn;
    const earlier = this.#connections[connection]!;
    const own: AnswerHead = {
      status,
      statedId: hasId || status === 200 ? id : undefined,
      isNotRun: !hasRun(status),
    };
    const received = copy === undefined ? own : earlier[copy] ?? own;
    const meaning = interpretAnswer(received, {
      id,
      isReused: earlier.length > 0,
      isRepeatable: this.kind === "idempotent",
    });
    earlier.push(own);
    // Its own answer still follows a copy.
    const isClosed = meaning === "unclear" || received !== own || !isKept;
    if (isClosed) this.#connections[connection] = [];
    if (meaning === "not-run") return "refused";
    if (meaning === "unclear" || meaning === "unfounded") return "no-answer";
    if (meaning === "misdirected") return "misdirected";
    // What is passed on belongs to the request.
    expect(received).toBe(own);
    return status === 500 ? "failed" : undefined;
  }
}

// Guards against a late copy of an answer that makes a router say "not run" of a
// request that ran, or send it to a second upstream (REFUSED, TWICE).
test("no late copies make a request that ran refused, or run twice", () => {
  fc.assert(
    fc.property(fc.array(turns, { maxLength: 60 }), (list) => {
      const play = new Play("non-idempotent", list);
      for (let count = 0; !play.isOver; count++) {
        const { runs, step } = play.send(`id-${count}`);
        expect(runs).toBeLessThanOrEqual(1);
        if (step === "refuse") expect(runs).toBe(0);
      }
    }),
    { numRuns: 2_000, seed: 37 },
  );
});

// Guards against a "not run" that an idempotent request gets after it ran.
test("no late copies make an idempotent request that ran refused", () => {
  fc.assert(
    fc.property(fc.array(turns, { maxLength: 60 }), (list) => {
      const play = new Play("idempotent", list);
      for (let count = 0; !play.isOver; count++) {
        const { runs, step } = play.send(`id-${count}`);
        if (step === "refuse") expect(runs).toBe(0);
      }
    }),
    { numRuns: 2_000, seed: 38 },
  );
});
