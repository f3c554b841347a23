import type { Result } from "ts-results";
import type { Service, Upstream } from "../config/manifest.ts";
import { EMPTY_CONFIGURATION } from "../config/configuration.ts";
import { SILENT_LOG } from "../log.ts";
import { createMetrics } from "../daemon/metrics.ts";
import type { Refusal } from "../diagnostics.ts";
import { createService, createUpstream } from "../filters/testing/fakes.ts";
import { loadHash } from "../policy/rendezvous.ts";
import type { LoadReport } from "../types.ts";
import type { AcquireRequest, Grant } from "./pool.ts";
import {
  createPoolController,
  type PoolController,
} from "./pool_controller.ts";
import { createTaskSystem, type TaskSystem } from "./task.ts";
import { settle, until } from "./testing/settle.ts";

const TIMING = { loanMs: 50, driftMs: 5, transitMs: 40, holdDownMs: 1e9 };
const DEADLINE_MS = 1e6;

let pool: PoolController;
let tasks: TaskSystem;
/** The clock, which only a test moves on; milliseconds. */
let time: number;
let out: Set<string>;
/** What each upstream answers to a poll; undefined for nothing. */
let reports: Map<string, Partial<LoadReport> | undefined>;
let sequence: number;

const clock = () => time;

async function start(
  upstreams: readonly Partial<Upstream>[],
  changes: Partial<Service> = {},
): Promise<void> {
  time = 0;
  sequence = 0;
  out = new Set();
  const names = upstreams.map((_, index) => `u${index + 1}`);
  reports = new Map(names.map((name) => [name, {}]));
  tasks = createTaskSystem();
  pool = createPoolController({
    id: "assistant/0",
    self: "r1",
    incarnation: "i1",
    timing: TIMING,
    clock,
    hash: await loadHash(),
    random: () => 0.5,
    log: SILENT_LOG,
    placementLog: SILENT_LOG,
    metrics: createMetrics(),
    tasks,
    liveness: { isLive: () => true, isLeaving: () => false },
    isInService: ({ name }) => !out.has(name),
    configuration: {
      current: () => EMPTY_CONFIGURATION,
      confirmedAt: clock,
      routersInForceMs: () => Infinity,
    },
    poll: ({ name }) => Promise.resolve(reportOf(name)),
  });
  const listed = names.map((name, index) => ({
    ...createUpstream(name),
    ...upstreams[index],
  }));
  const service = createService([], {
    loadFactor: 10,
    queueLimit: 64,
    ...changes,
  });
  pool.configure(service, {
    upstreams: listed,
    replicas: ["r1"],
    hasGap: false,
  });
  await until(() => {
    time += TIMING.transitMs;
    const { upstreams } = pool.summarise();
    return upstreams.length > 0 && upstreams.every(({ room }) => room > 0);
  });
}

function reportOf(name: string): LoadReport | undefined {
  const report = reports.get(name);
  if (report === undefined) return undefined;
  return {
    incarnation: "u",
    inFlight: 0,
    cold: true,
    leaving: false,
    ageMs: 0,
    ...report,
  };
}

afterEach(() => {
  pool.close();
  tasks.close();
});

/** Asks for an upstream; `done` gets the outcome once there is one. */
function ask(changes: Partial<AcquireRequest> = {}) {
  const asked: { done?: Result<Grant, Refusal> } = {};
  const request = {
    requestId: `request-${++sequence}`,
    workspace: "hakata",
    weight: 1,
    chat: undefined,
    promptTokens: 1,
    deadlineAt: clock() + DEADLINE_MS,
    excluded: [],
    signal: new AbortController().signal,
    ...changes,
  };
  void pool.acquire(request).then((done) => asked.done = done);
  return asked;
}

async function grant(changes: Partial<AcquireRequest> = {}): Promise<Grant> {
  const asked = ask(changes);
  await until(() => asked.done !== undefined);
  return asked.done!.unwrap();
}

const finished = { fate: "finished", isOk: true } as const;

describe("the last check before a request is sent", () => {
  const events: Record<string, (granted: Grant) => void> = {
    "its upstream is taken out": () => out.add("u1"),
    "its upstream says that it leaves": () =>
      pool.report("u1", { ...reportOf("u1")!, leaving: true }, clock()),
    "its upstream is taken off the manifest": ({ service }) =>
      pool.configure(service, {
        upstreams: [createUpstream("u2")],
        replicas: ["r1"],
        hasGap: false,
      }),
    "it has waited for too long": () => time += TIMING.transitMs,
    "its deadline passes": () => time += DEADLINE_MS,
  };

  test.each(Object.keys(events))("fails a grant when %s", async (name) => {
    await start([{}]);
    const granted = await grant();
    expect(pool.isUsable(granted)).toBe(true);
    events[name]!(granted);
    await settle();
    expect(pool.isUsable(granted)).toBe(false);
  });
});

test("an upstream that is out gets nothing, and gets work once it is back", async () => {
  await start([{}, {}]);
  out.add("u1");
  const names = [await grant(), await grant()].map(({ upstream }) =>
    upstream.name
  );
  expect(names).toEqual(["u2", "u2"]);
  out.add("u2");
  const asked = ask();
  await until(() => asked.done !== undefined);
  expect(asked.done).toMatchObject({
    err: true,
    val: { code: "no-capacity", ran: "no" },
  });
  out.clear();
  expect((await grant()).upstream.name).toBe("u1");
});

test("who waits is refused at once when the last upstream goes out", async () => {
  await start([{ hardLimit: 1, coldLimit: 1 }]);
  await grant();
  const asked = ask();
  await settle();
  expect(asked.done).toBeUndefined();
  out.add("u1");
  await until(() => asked.done !== undefined);
  expect(asked.done).toMatchObject({
    err: true,
    val: { code: "no-capacity", ran: "no" },
  });
});

test("who has failed at every upstream is not left in the queue", async () => {
  await start([{ hardLimit: 1, coldLimit: 1 }]);
  const first = await grant();
  const before = ask();
  const asked = ask({ excluded: ["u1"] });
  await settle();
  pool.release(first, { fate: "finished", isOk: true });
  await until(() => asked.done !== undefined && before.done !== undefined);
  expect(before.done!.ok).toBe(true);
  expect(asked.done).toMatchObject({ err: true, val: { code: "no-capacity" } });
});

test("the cold limit is never passed, whatever ends when", async () => {
  await start([{ coldLimit: 3 }, { coldLimit: 1 }]);
  const limits = new Map([["u1", 3], ["u2", 1]]);
  const open: Grant[] = [];
  const counts = new Map<string, number>();
  let ended = 0;
  let largest = 0;
  const asked = Array.from({ length: 60 }, () => ask());
  for (let step = 0; ended < asked.length && step < 200; step++) {
    await settle();
    for (const each of asked) {
      if (each.done === undefined) continue;
      const granted = each.done.unwrap();
      delete each.done;
      open.push(granted);
      const { name } = granted.upstream;
      counts.set(name, (counts.get(name) ?? 0) + 1);
      expect(counts.get(name)).toBeLessThanOrEqual(limits.get(name)!);
    }
    largest = Math.max(largest, open.length);
    // The upstream still says that it is cold, so that no ramp begins.
    const [granted] = open.splice(step % open.length, 1);
    pool.report(granted!.upstream.name, reportOf("u1")!, clock());
    counts.set(granted!.upstream.name, counts.get(granted!.upstream.name)! - 1);
    pool.release(granted!, finished);
    ended++;
  }
  expect([ended, largest]).toEqual([60, 4]);
});

test("an unclear attempt keeps its place until a report has seen its end", async () => {
  await start([{ coldLimit: 1, hardLimit: 1 }]);
  const granted = await grant();
  reports.set("u1", undefined);
  pool.release(granted, { fate: "unclear", isOk: false });
  const next = ask();
  await settle();
  const report = (inFlight: number, askedAt: number) =>
    pool.report("u1", {
      incarnation: "u",
      inFlight,
      cold: true,
      leaving: false,
      ageMs: 0,
    }, askedAt);
  // Made before the attempt can have reached the upstream.
  report(0, granted.beganAt);
  await settle();
  expect(next.done).toBeUndefined();
  time += 10 * TIMING.transitMs;
  report(1, clock());
  await settle();
  expect(next.done).toBeUndefined();
  report(0, clock());
  await until(() => next.done !== undefined);
  expect(next.done!.ok).toBe(true);
});

test.each(["finished", "not-sent"] as const)(
  "an attempt that is %s gives its place back at once",
  async (fate) => {
    await start([{ coldLimit: 1, hardLimit: 1 }]);
    const granted = await grant();
    reports.set("u1", undefined);
    const next = ask();
    await settle();
    expect(next.done).toBeUndefined();
    pool.release(granted, { fate, isOk: true });
    await until(() => next.done !== undefined);
    expect(next.done!.ok).toBe(true);
  },
);

test("a surge of one workspace leaves the others their turns", async () => {
  await start([{ coldLimit: 1, hardLimit: 1 }]);
  const order: string[] = [];
  let granted = await grant();
  const waiting = [
    ...Array.from({ length: 20 }, () => "surge"),
    ...Array.from({ length: 4 }, () => "calm"),
  ].map((workspace) => ({ workspace, asked: ask({ workspace }) }));
  await settle();
  while (order.length < waiting.length) {
    pool.release(granted, finished);
    const isNext = ({ asked }: typeof waiting[0]) => asked.done !== undefined;
    await until(() => waiting.some(isNext));
    const { workspace, asked } = waiting.find(isNext)!;
    granted = asked.done!.unwrap();
    delete asked.done;
    order.push(workspace);
  }
  expect(order.lastIndexOf("calm")).toBeLessThanOrEqual(8);
});

test("the queue keeps to the manifest's limit", async () => {
  await start([{ coldLimit: 1, hardLimit: 1 }], { queueLimit: 3 });
  await grant();
  const asked = Array.from({ length: 5 }, () => ask());
  await settle();
  const refusals = asked.flatMap(({ done }) => done?.err ? [done.val] : []);
  expect(refusals.map(({ code, ran }) => `${code}, ran: ${ran}`))
    .toEqual(["queue-full, ran: no", "queue-full, ran: no"]);
});

test("a caller that goes away leaves the queue", async () => {
  await start([{ coldLimit: 1, hardLimit: 1 }]);
  const granted = await grant();
  const controller = new AbortController();
  const gone = ask({ signal: controller.signal });
  const next = ask();
  await settle();
  controller.abort();
  await until(() => gone.done !== undefined);
  expect(gone.done!.err).toBe(true);
  pool.release(granted, finished);
  await until(() => next.done !== undefined);
  expect(next.done!.ok).toBe(true);
});
