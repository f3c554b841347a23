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
/** Monotonic time of the pool, in milliseconds; only tests advance it. */
let time: number;
/** Names of the upstreams that are out of service. */
let outOfService: Set<string>;
/** Poll answer of each upstream by name; undefined if it does not answer. */
let reports: Map<string, Partial<LoadReport> | undefined>;
let sequence: number;

const clock = () => time;

async function start(
  upstreams: readonly Partial<Upstream>[],
  changes: Partial<Service> = {},
): Promise<void> {
  time = 0;
  sequence = 0;
  outOfService = new Set();
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
    isInService: ({ name }) => !outOfService.has(name),
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

/** Requests a grant; sets `result` once the pool has decided. */
function requestGrant(changes: Partial<AcquireRequest> = {}) {
  const pending: { result?: Result<Grant, Refusal> } = {};
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
  void pool.acquire(request).then((result) => pending.result = result);
  return pending;
}

async function acquire(
  changes: Partial<AcquireRequest> = {},
): Promise<Grant> {
  const pending = requestGrant(changes);
  await until(() => pending.result !== undefined);
  return pending.result!.unwrap();
}

const finished = { fate: "finished", isOk: true } as const;

describe("the check right before a request is sent", () => {
  const events: Record<string, (grant: Grant) => void> = {
    "its upstream goes out of service": () => outOfService.add("u1"),
    "its upstream reports a graceful stop": () =>
      pool.recordReport("u1", { ...reportOf("u1")!, leaving: true }, clock()),
    "its upstream is removed from the manifest": ({ service }) =>
      pool.configure(service, {
        upstreams: [createUpstream("u2")],
        replicas: ["r1"],
        hasGap: false,
      }),
    "it was not used in time": () => time += TIMING.transitMs,
    "the deadline of its request passes": () => time += DEADLINE_MS,
  };

  test.each(Object.keys(events))("rejects a grant when %s", async (name) => {
    await start([{}]);
    const grant = await acquire();
    expect(pool.isUsable(grant)).toBe(true);
    events[name]!(grant);
    await settle();
    expect(pool.isUsable(grant)).toBe(false);
  });
});

test("an upstream out of service gets no requests until it is back", async () => {
  await start([{}, {}]);
  outOfService.add("u1");
  const names = [await acquire(), await acquire()].map(({ upstream }) =>
    upstream.name
  );
  expect(names).toEqual(["u2", "u2"]);
  outOfService.add("u2");
  const pending = requestGrant();
  await until(() => pending.result !== undefined);
  expect(pending.result).toMatchObject({
    err: true,
    val: { code: "no-capacity", ran: "no" },
  });
  outOfService.clear();
  expect((await acquire()).upstream.name).toBe("u1");
});

test("a queued request is refused when the last upstream goes out of service", async () => {
  await start([{ hardLimit: 1, coldLimit: 1 }]);
  await acquire();
  const pending = requestGrant();
  await settle();
  expect(pending.result).toBeUndefined();
  outOfService.add("u1");
  await until(() => pending.result !== undefined);
  expect(pending.result).toMatchObject({
    err: true,
    val: { code: "no-capacity", ran: "no" },
  });
});

test("a queued request that has failed at every upstream is refused", async () => {
  await start([{ hardLimit: 1, coldLimit: 1 }]);
  const first = await acquire();
  const eligible = requestGrant();
  const pending = requestGrant({ excluded: ["u1"] });
  await settle();
  pool.release(first, { fate: "finished", isOk: true });
  await until(() =>
    pending.result !== undefined && eligible.result !== undefined
  );
  expect(eligible.result!.ok).toBe(true);
  expect(pending.result).toMatchObject({
    err: true,
    val: { code: "no-capacity" },
  });
});

test("the cold limit is never exceeded, in whichever order attempts end", async () => {
  await start([{ coldLimit: 3 }, { coldLimit: 1 }]);
  const limits = new Map([["u1", 3], ["u2", 1]]);
  const open: Grant[] = [];
  const counts = new Map<string, number>();
  let ended = 0;
  let largest = 0;
  const pending = Array.from({ length: 60 }, () => requestGrant());
  for (let step = 0; ended < pending.length && step < 200; step++) {
    await settle();
    for (const each of pending) {
      if (each.result === undefined) continue;
      const grant = each.result.unwrap();
      delete each.result;
      open.push(grant);
      const { name } = grant.upstream;
      counts.set(name, (counts.get(name) ?? 0) + 1);
      expect(counts.get(name)).toBeLessThanOrEqual(limits.get(name)!);
    }
    largest = Math.max(largest, open.length);
    // The upstream still reports that it is cold, so its limit doesn't grow.
    const [grant] = open.splice(step % open.length, 1);
    pool.recordReport(grant!.upstream.name, reportOf("u1")!, clock());
    counts.set(grant!.upstream.name, counts.get(grant!.upstream.name)! - 1);
    pool.release(grant!, finished);
    ended++;
  }
  expect([ended, largest]).toEqual([60, 4]);
});

test("an unclear attempt keeps its slot until a report shows that it ended", async () => {
  await start([{ coldLimit: 1, hardLimit: 1 }]);
  const grant = await acquire();
  reports.set("u1", undefined);
  pool.release(grant, { fate: "unclear", isOk: false });
  const next = requestGrant();
  await settle();
  const report = (inFlight: number, askedAt: number) =>
    pool.recordReport("u1", {
      incarnation: "u",
      inFlight,
      cold: true,
      leaving: false,
      ageMs: 0,
    }, askedAt);
  // This report may predate the attempt's arrival at the upstream.
  report(0, grant.beganAt);
  await settle();
  expect(next.result).toBeUndefined();
  time += 10 * TIMING.transitMs;
  report(1, clock());
  await settle();
  expect(next.result).toBeUndefined();
  report(0, clock());
  await until(() => next.result !== undefined);
  expect(next.result!.ok).toBe(true);
});

test.each(["finished", "not-sent"] as const)(
  "an attempt that is %s frees its slot immediately",
  async (fate) => {
    await start([{ coldLimit: 1, hardLimit: 1 }]);
    const grant = await acquire();
    reports.set("u1", undefined);
    const next = requestGrant();
    await settle();
    expect(next.result).toBeUndefined();
    pool.release(grant, { fate, isOk: true });
    await until(() => next.result !== undefined);
    expect(next.result!.ok).toBe(true);
  },
);

test("a surge of one workspace does not starve the others", async () => {
  await start([{ coldLimit: 1, hardLimit: 1 }]);
  const order: string[] = [];
  let grant = await acquire();
  const waiting = [
    ...Array.from({ length: 20 }, () => "surge"),
    ...Array.from({ length: 4 }, () => "calm"),
  ].map((workspace) => ({ workspace, pending: requestGrant({ workspace }) }));
  await settle();
  while (order.length < waiting.length) {
    pool.release(grant, finished);
    const isNext = ({ pending }: typeof waiting[0]) =>
      pending.result !== undefined;
    await until(() => waiting.some(isNext));
    const { workspace, pending } = waiting.find(isNext)!;
    grant = pending.result!.unwrap();
    delete pending.result;
    order.push(workspace);
  }
  expect(order.lastIndexOf("calm")).toBeLessThanOrEqual(8);
});

test("the queue does not exceed the manifest's limit", async () => {
  await start([{ coldLimit: 1, hardLimit: 1 }], { queueLimit: 3 });
  await acquire();
  const pending = Array.from({ length: 5 }, () => requestGrant());
  await settle();
  const refusals = pending.flatMap(({ result }) =>
    result?.err ? [result.val] : []
  );
  expect(refusals.map(({ code, ran }) => `${code}, ran: ${ran}`))
    .toEqual(["queue-full, ran: no", "queue-full, ran: no"]);
});

test("an aborted request leaves the queue", async () => {
  await start([{ coldLimit: 1, hardLimit: 1 }]);
  const grant = await acquire();
  const controller = new AbortController();
  const aborted = requestGrant({ signal: controller.signal });
  const next = requestGrant();
  await settle();
  controller.abort();
  await until(() => aborted.result !== undefined);
  expect(aborted.result!.err).toBe(true);
  pool.release(grant, finished);
  await until(() => next.result !== undefined);
  expect(next.result!.ok).toBe(true);
});
