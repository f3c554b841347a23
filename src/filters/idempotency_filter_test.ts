import { Buffer } from "node:buffer";
import fc from "fast-check";
import { createRetentionLease } from "../control/retention_lease.ts";
import { SILENT_LOG } from "../log.ts";
import { createRefusal } from "../diagnostics.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { MemoryKeyValue } from "../store/testing/memory_key_value.ts";
import { type Exchange, type Outcome, refused } from "./exchange.ts";
import { IdempotencyFilter } from "./idempotency_filter.ts";
import { createService, createTestExchange } from "./testing/fakes.ts";

const BYTES = Buffer.from([0, 255, 10, 13, 128, 65]);
const STEP_MS = 100;
const MAX_STEPS = 600;
const service = createService(["u1"], { kind: "plain", name: "registry" });

const down = new PlatformFailure("unavailable", "down");
const lost = new PlatformFailure("unknown", "lost");

function answered(body: Buffer): Outcome {
  const headers = { "content-type": "x/y", "x-upstream": "u1" };
  return { kind: "whole", status: 201, headers, body };
}

async function* torn() {
  yield BYTES;
  await Promise.resolve();
  throw new Error("reset");
}

async function* parts() {
  for (const byte of BYTES) yield await Promise.resolve(Buffer.from([byte]));
}

/** What may come of the one run of a call. */
const runs = {
  "answered": (run) => answered(Buffer.concat([BYTES, Buffer.from([run])])),
  "answered in parts": () => ({
    kind: "stream",
    status: 201,
    headers: { "content-type": "x/y" },
    body: parts(),
  }),
  "torn": () => ({ kind: "stream", status: 201, headers: {}, body: torn() }),
  "not run": () => refused(createRefusal("no-capacity", "none")),
  "unclear": () =>
    refused(createRefusal("outcome-unknown", "?", { ran: "unknown" })),
} satisfies Record<string, (run: number) => Outcome>;

type RunKind = keyof typeof runs;

let keyValue: MemoryKeyValue;
/** Kinds of the runs so far, in order. */
let made: RunKind[];

beforeEach(() => {
  jest.useFakeTimers();
  keyValue = new MemoryKeyValue();
  made = [];
});

afterEach(() => {
  jest.useRealTimers();
});

function createFilter(router: string, isAlive = () => true) {
  const clock = () => Date.now();
  return new IdempotencyFilter({
    keyValue,
    retention: createRetentionLease({ keyValue, clock }),
    router: `${router}#1`,
    clock,
    log: SILENT_LOG,
    isAlive,
  });
}

function createCall(changes: Partial<Exchange> = {}): Exchange {
  return createTestExchange({
    target: "/sheets",
    service,
    isIdempotent: false,
    idempotencyKey: "seat-7",
    deadlineAt: Date.now() + 10_000,
    ...changes,
  });
}

/** Lets time pass until `promise` settles. */
async function settle<T>(promise: Promise<T>): Promise<T> {
  let isSettled = false;
  const noted = promise.finally(() => isSettled = true);
  for (let step = 0; step < MAX_STEPS && !isSettled; step++) {
    await jest.advanceTimersByTimeAsync(STEP_MS);
  }
  return await noted;
}

function tap(
  filter: IdempotencyFilter,
  kind: RunKind,
  { runMs = 0, ...changes }: Partial<Exchange> & { runMs?: number } = {},
): Promise<Outcome> {
  return filter.handle(createCall(changes), async () => {
    made.push(kind);
    if (runMs > 0) await new Promise((done) => setTimeout(done, runMs));
    return runs[kind](made.length);
  });
}

function describeOutcome(outcome: Outcome): string {
  if (outcome.kind === "refused") {
    return `${outcome.refusal.code}, ran: ${outcome.refusal.ran}`;
  }
  if (outcome.kind !== "whole") return "a stream";
  return `${outcome.status} ${outcome.body.toString("hex")}`;
}

test.each(Object.keys(runs) as RunKind[])(
  "a call whose run is %s, and its second and third tap",
  async (kind) => {
    const seen = [];
    for (const router of ["r1", "r2", "r1"]) {
      const outcome = await settle(tap(createFilter(router), kind));
      seen.push(describeOutcome(outcome));
    }
    const mayRepeat = kind === "not run";
    expect(made).toHaveLength(mayRepeat ? 3 : 1);
    expect(seen).toMatchSnapshot();
  },
);

test("the second tap gets the first answer byte for byte", async () => {
  const first = await settle(tap(createFilter("r1"), "answered"));
  const second = await settle(tap(createFilter("r2"), "answered"));
  expect(made).toHaveLength(1);
  const headers = {
    ...(first as Outcome & { kind: "whole" }).headers,
    "content-length": "7",
  };
  expect(second).toEqual({ ...first, headers });
});

test("taps at the same time run once, and both get the answer", async () => {
  const taps = ["r1", "r2", "r3"].map((router) =>
    tap(createFilter(router), "answered", { runMs: 500 })
  );
  const outcomes = await settle(Promise.all(taps));
  expect(made).toHaveLength(1);
  expect(new Set(outcomes.map(describeOutcome)).size).toBe(1);
});

test("an abandoned call is not run by anyone else", async () => {
  void tap(createFilter("r1"), "answered", { runMs: 1e9 });
  await jest.advanceTimersByTimeAsync(STEP_MS);
  const isAlive = jest.fn(() => false);
  const second = await settle(tap(createFilter("r2", isAlive), "answered"));
  expect(made).toHaveLength(1);
  expect(isAlive).toHaveBeenCalledWith("r1#1");
  expect(describeOutcome(second)).toBe("outcome-unknown, ran: unknown");
});

test("while the key-value service is down a call is refused at once", async () => {
  keyValue.faults.before = () => down;
  const outcome = await settle(tap(createFilter("r1"), "answered"));
  expect(made).toEqual([]);
  expect(describeOutcome(outcome)).toBe("key-value-unavailable, ran: unknown");
});

test.each(["answered", "not run", "unclear"] as const)(
  "a create whose answer is lost leads to one run (%s)",
  async (kind) => {
    let isLost = false;
    keyValue.faults.after = ({ operation }) => {
      if (operation !== "create" || isLost) return undefined;
      isLost = true;
      return lost;
    };
    await settle(tap(createFilter("r1"), kind));
    expect(isLost).toBe(true);
    expect(made).toEqual([kind]);
  },
);

test("an answer that can't be kept still goes to its caller, and only there", async () => {
  keyValue.faults.before = ({ operation }) =>
    operation === "replace" ? down : undefined;
  const first = await settle(tap(createFilter("r1"), "answered"));
  expect(describeOutcome(first)).toBe("201 00ff0a0d804101");
  const second = await settle(tap(createFilter("r2"), "answered"));
  expect(describeOutcome(second)).toBe("in-progress, ran: unknown");
  expect(made).toHaveLength(1);
});

test("the same key with another request is refused", async () => {
  const filter = createFilter("r1");
  await settle(tap(filter, "answered"));
  const others = [{ body: Buffer.from("[]") }, { target: "/sheets?x" }];
  for (const other of others) {
    const outcome = await settle(tap(filter, "answered", other));
    expect(describeOutcome(outcome)).toBe("idempotency-mismatch, ran: no");
  }
  expect(made).toHaveLength(1);
});

test("keys of two workspaces, services or callers don't meet", async () => {
  const filter = createFilter("r1");
  const { workspace } = createCall();
  await settle(tap(filter, "answered"));
  await settle(tap(filter, "answered", { idempotencyKey: "seat-8" }));
  const other = { ...workspace!, name: "kumamoto" };
  await settle(tap(filter, "answered", { workspace: other }));
  await settle(
    tap(filter, "answered", { service: { ...service, name: "booking" } }),
  );
  expect(made).toHaveLength(4);
});

test("a caller that goes away breaks nothing off", async () => {
  const controller = new AbortController();
  const call = createCall({ signal: controller.signal });
  const outcome = createFilter("r1").handle(call, () => {
    controller.abort();
    expect(call.signal.aborted).toBe(false);
    return Promise.resolve(runs.answered(1));
  });
  expect(describeOutcome(await settle(outcome))).toBe("201 00ff0a0d804101");
});

test("an idempotent request passes without a record", async () => {
  const filter = createFilter("r1");
  await settle(tap(filter, "answered", { isIdempotent: true }));
  expect(keyValue.calls).toEqual([]);
});

/** One tap of a random run: when, where, what comes of it and for how long. */
const taps = fc.array(
  fc.record({
    atMs: fc.integer({ min: 0, max: 3_000 }),
    router: fc.constantFrom("r1", "r2", "r3"),
    kind: fc.constantFrom(...Object.keys(runs) as RunKind[]),
    runMs: fc.integer({ min: 0, max: 3_000 }),
  }),
  { minLength: 2, maxLength: 5 },
);
/** Faults of the calls to the key-value service, in turn. */
const faults = fc.array(
  fc.record({
    before: fc.constantFrom(undefined, undefined, undefined, down, lost),
    after: fc.constantFrom(undefined, undefined, undefined, lost),
    delayMs: fc.constantFrom(0, 0, 50, 700),
  }),
  { maxLength: 24 },
);

test("under lost answers and outages no call runs twice", async () => {
  await fc.assert(
    fc.asyncProperty(taps, faults, async (plan, script) => {
      keyValue = new MemoryKeyValue();
      made = [];
      const left = [...script];
      keyValue.faults.before = async () => {
        const fault = left.shift();
        if (fault === undefined) return undefined;
        await new Promise((done) => setTimeout(done, fault.delayMs));
        keyValue.faults.after = () => fault.after;
        return fault.before;
      };
      const pending = plan.map(async ({ atMs, router, kind, runMs }) => {
        await new Promise((done) => setTimeout(done, atMs));
        const call = createCall();
        let hasRun = false;
        const outcome = await createFilter(router).handle(call, async () => {
          made.push(kind);
          hasRun = kind !== "not run";
          await new Promise((done) => setTimeout(done, runMs));
          return runs[kind](made.length);
        });
        return { outcome, hasRun };
      });
      const results = await settle(Promise.all(pending));
      const real = made.filter((kind) => kind !== "not run");
      expect(real.length).toBeLessThanOrEqual(1);
      for (const { outcome, hasRun } of results) {
        if (outcome.kind !== "refused" || !hasRun) continue;
        expect(outcome.refusal.ran).toBe("unknown");
      }
      const bodies = results.flatMap(({ outcome }) =>
        outcome.kind === "whole" ? [describeOutcome(outcome)] : []
      );
      expect(new Set(bodies).size).toBeLessThanOrEqual(1);
    }),
    { seed: 7, numRuns: 150 },
  );
});
