import { Buffer } from "node:buffer";
import fc from "fast-check";
import { createRetentionLease } from "../control/retention_lease.ts";
import { SILENT_LOG } from "../log.ts";
import { createRefusal } from "../diagnostics.ts";
import { PlatformFailure } from "../store/key_value.ts";
import { MemoryKeyValue } from "../store/testing/memory_key_value.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type Outcome,
} from "./exchange.ts";
import { IdempotencyFilter } from "./idempotency_filter.ts";
import { createService, createTestExchange } from "./testing/fakes.ts";

const BYTES = Buffer.from([0, 255, 10, 13, 128, 65]);
const STEP_MS = 100;
const MAX_STEPS = 600;
const service = createService(["u1"], { kind: "plain", name: "registry" });

const unavailableFailure = new PlatformFailure("unavailable", "down");
const lostResponseFailure = new PlatformFailure("unknown", "lost");

function createAnsweredOutcome(body: Buffer): Outcome {
  const headers = { "content-type": "x/y", "x-upstream": "u1" };
  return { kind: "whole", status: 201, headers, body };
}

async function* produceBrokenBody() {
  yield BYTES;
  await Promise.resolve();
  throw new Error("reset");
}

async function* produceBodyInParts() {
  for (const byte of BYTES) yield await Promise.resolve(Buffer.from([byte]));
}

/** Possible results of running a call. */
const runs = {
  "answered": (run) =>
    createAnsweredOutcome(Buffer.concat([BYTES, Buffer.from([run])])),
  "answered in parts": () => ({
    kind: "stream",
    status: 201,
    headers: { "content-type": "x/y" },
    body: produceBodyInParts(),
  }),
  "broken in the body": () => ({
    kind: "stream",
    status: 201,
    headers: {},
    body: produceBrokenBody(),
  }),
  "not run": () => createRefusedOutcome(createRefusal("no-capacity", "none")),
  "unclear": () =>
    createRefusedOutcome(
      createRefusal("outcome-unknown", "?", { ran: "unknown" }),
    ),
} satisfies Record<string, (run: number) => Outcome>;

type RunKind = keyof typeof runs;

let keyValue: MemoryKeyValue;
/** Kinds of the runs so far, in order of execution. */
let executedRuns: RunKind[];

beforeEach(() => {
  jest.useFakeTimers();
  keyValue = new MemoryKeyValue();
  executedRuns = [];
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

/** Advances the fake timers until `promise` settles. */
async function advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
  let isSettled = false;
  const tracked = promise.finally(() => isSettled = true);
  for (let step = 0; step < MAX_STEPS && !isSettled; step++) {
    await jest.advanceTimersByTimeAsync(STEP_MS);
  }
  return await tracked;
}

function sendCall(
  filter: IdempotencyFilter,
  kind: RunKind,
  { runMs = 0, ...changes }: Partial<Exchange> & { runMs?: number } = {},
): Promise<Outcome> {
  return filter.handle(createCall(changes), async () => {
    executedRuns.push(kind);
    if (runMs > 0) await new Promise((done) => setTimeout(done, runMs));
    return runs[kind](executedRuns.length);
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
  "a call whose result is %s, sent three times",
  async (kind) => {
    const seen = [];
    for (const router of ["r1", "r2", "r1"]) {
      const outcome = await advanceUntilSettled(
        sendCall(createFilter(router), kind),
      );
      seen.push(describeOutcome(outcome));
    }
    const mayRepeat = kind === "not run";
    expect(executedRuns).toHaveLength(mayRepeat ? 3 : 1);
    expect(seen).toMatchSnapshot();
  },
);

test("a repeated call gets the first response byte for byte", async () => {
  const first = await advanceUntilSettled(
    sendCall(createFilter("r1"), "answered"),
  );
  const second = await advanceUntilSettled(
    sendCall(createFilter("r2"), "answered"),
  );
  expect(executedRuns).toHaveLength(1);
  const headers = {
    ...(first as Outcome & { kind: "whole" }).headers,
    "content-length": "7",
  };
  expect(second).toEqual({ ...first, headers });
});

test("concurrent repeats run once and all get the response", async () => {
  const taps = ["r1", "r2", "r3"].map((router) =>
    sendCall(createFilter(router), "answered", { runMs: 500 })
  );
  const outcomes = await advanceUntilSettled(Promise.all(taps));
  expect(executedRuns).toHaveLength(1);
  expect(new Set(outcomes.map(describeOutcome)).size).toBe(1);
});

test("an abandoned call is not run by another router", async () => {
  void sendCall(createFilter("r1"), "answered", { runMs: 1e9 });
  await jest.advanceTimersByTimeAsync(STEP_MS);
  const isAlive = jest.fn(() => false);
  const second = await advanceUntilSettled(
    sendCall(createFilter("r2", isAlive), "answered"),
  );
  expect(executedRuns).toHaveLength(1);
  expect(isAlive).toHaveBeenCalledWith("r1#1");
  expect(describeOutcome(second)).toBe("outcome-unknown, ran: unknown");
});

test("a call is refused without running while the key-value service is down", async () => {
  keyValue.faults.before = () => unavailableFailure;
  const outcome = await advanceUntilSettled(
    sendCall(createFilter("r1"), "answered"),
  );
  expect(executedRuns).toEqual([]);
  expect(describeOutcome(outcome)).toBe("key-value-unavailable, ran: unknown");
});

test.each(["answered", "not run", "unclear"] as const)(
  "a create whose response is lost leads to one run (%s)",
  async (kind) => {
    let isLost = false;
    keyValue.faults.after = ({ operation }) => {
      if (operation !== "create" || isLost) return undefined;
      isLost = true;
      return lostResponseFailure;
    };
    await advanceUntilSettled(sendCall(createFilter("r1"), kind));
    expect(isLost).toBe(true);
    expect(executedRuns).toEqual([kind]);
  },
);

test("a response that can't be stored reaches its caller but is not replayed", async () => {
  keyValue.faults.before = ({ operation }) =>
    operation === "replace" ? unavailableFailure : undefined;
  const first = await advanceUntilSettled(
    sendCall(createFilter("r1"), "answered"),
  );
  expect(describeOutcome(first)).toBe("201 00ff0a0d804101");
  const second = await advanceUntilSettled(
    sendCall(createFilter("r2"), "answered"),
  );
  expect(describeOutcome(second)).toBe("in-progress, ran: unknown");
  expect(executedRuns).toHaveLength(1);
});

test("a key that was used for a different request is refused", async () => {
  const filter = createFilter("r1");
  await advanceUntilSettled(sendCall(filter, "answered"));
  const others = [{ body: Buffer.from("[]") }, { target: "/sheets?x" }];
  for (const other of others) {
    const outcome = await advanceUntilSettled(
      sendCall(filter, "answered", other),
    );
    expect(describeOutcome(outcome)).toBe("idempotency-mismatch, ran: no");
  }
  expect(executedRuns).toHaveLength(1);
});

test("calls with another key, workspace or service run separately", async () => {
  const filter = createFilter("r1");
  const { workspace } = createCall();
  await advanceUntilSettled(sendCall(filter, "answered"));
  await advanceUntilSettled(
    sendCall(filter, "answered", { idempotencyKey: "seat-8" }),
  );
  const other = { ...workspace!, name: "kumamoto" };
  await advanceUntilSettled(sendCall(filter, "answered", { workspace: other }));
  await advanceUntilSettled(
    sendCall(filter, "answered", { service: { ...service, name: "booking" } }),
  );
  expect(executedRuns).toHaveLength(4);
});

test("a caller that disconnects does not abort its call", async () => {
  const controller = new AbortController();
  const call = createCall({ signal: controller.signal });
  const outcome = createFilter("r1").handle(call, () => {
    controller.abort();
    expect(call.signal.aborted).toBe(false);
    return Promise.resolve(runs.answered(1));
  });
  expect(describeOutcome(await advanceUntilSettled(outcome))).toBe(
    "201 00ff0a0d804101",
  );
});

test("an idempotent request is run without a record", async () => {
  const filter = createFilter("r1");
  await advanceUntilSettled(
    sendCall(filter, "answered", { isIdempotent: true }),
  );
  expect(keyValue.calls).toEqual([]);
});

/** Random calls: start time, router, result and duration of each. */
const plannedCalls = fc.array(
  fc.record({
    atMs: fc.integer({ min: 0, max: 3_000 }),
    router: fc.constantFrom("r1", "r2", "r3"),
    kind: fc.constantFrom(...Object.keys(runs) as RunKind[]),
    runMs: fc.integer({ min: 0, max: 3_000 }),
  }),
  { minLength: 2, maxLength: 5 },
);
/** Faults of successive calls to the key-value service. */
const faults = fc.array(
  fc.record({
    before: fc.constantFrom(
      undefined,
      undefined,
      undefined,
      unavailableFailure,
      lostResponseFailure,
    ),
    after: fc.constantFrom(
      undefined,
      undefined,
      undefined,
      lostResponseFailure,
    ),
    delayMs: fc.constantFrom(0, 0, 50, 700),
  }),
  { maxLength: 24 },
);

test("no call runs twice despite lost responses and outages", async () => {
  await fc.assert(
    fc.asyncProperty(plannedCalls, faults, async (plan, script) => {
      keyValue = new MemoryKeyValue();
      executedRuns = [];
      const remaining = [...script];
      keyValue.faults.before = async () => {
        const fault = remaining.shift();
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
          executedRuns.push(kind);
          hasRun = kind !== "not run";
          await new Promise((done) => setTimeout(done, runMs));
          return runs[kind](executedRuns.length);
        });
        return { outcome, hasRun };
      });
      const results = await advanceUntilSettled(Promise.all(pending));
      const executed = executedRuns.filter((kind) => kind !== "not run");
      expect(executed.length).toBeLessThanOrEqual(1);
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
