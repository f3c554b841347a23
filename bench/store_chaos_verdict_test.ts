import type { UpstreamArrival } from "../testing/registered_upstream.ts";
import type {
  Call,
  FaultWindow,
  Resumption,
  StoreChaosEvidence,
} from "./store_chaos_evidence.ts";
import { findStoreChaosViolations } from "./store_chaos_verdict.ts";

function createCall(fields: Partial<Call> = {}): Call {
  return {
    requestId: "r",
    kind: "book",
    router: "router-0",
    key: "key",
    fromMs: 10_000,
    toMs: 10_050,
    end: "whole",
    detail: "",
    last: { requestId: "r", received: 0 },
    versions: [],
    first: { end: fields.end ?? "whole", toMs: fields.toMs ?? 10_050 },
    resumptions: [],
    ...fields,
  };
}

function createArrival(fields: Partial<UpstreamArrival> = {}): UpstreamArrival {
  return {
    requestId: "r",
    upstream: "up-1",
    failureDomain: "east",
    atMs: 10_010,
    isRun: true,
    isResumed: false,
    softwareVersion: "v1",
    isCold: false,
    isEndless: false,
    limitPerSecond: undefined,
    promptParts: [],
    workspace: "workspace",
    ...fields,
  };
}

function findViolations(fields: Partial<StoreChaosEvidence>): string[] {
  const violations = findStoreChaosViolations({
    calls: [],
    recovery: [],
    crashing: [],
    crashes: [],
    cuts: [],
    arrivals: [],
    windows: [],
    withdrawals: [],
    bounds: {
      drainMs: 2_000,
      evacuateMs: 5_000,
      revokeMs: 5_000,
      faultFreeMs: 3_000,
      maxPartCrashes: 2,
      maxRequestCrashes: 3,
      maxLaterArrivals: 1,
      maxMixedStreams: 1,
      minResumptions: 2,
      minResumedShare: 0.5,
      maxColdRequestsPerSecond: 2,
      memoryBytes: 1_000_000,
      minSoundShare: 0.99,
      maxSoundReadMs: 1_000,
    },
    stops: [],
    overload: [],
    brittleFalls: [],
    upstreamCount: 7,
    ends: [],
    peakMemory: new Map(),
    ownDelayMs: 100,
    reusedShare: 1,
    ...fields,
  });
  return violations.map(({ promise }) => promise);
}

const REMOVED_UPSTREAM = {
  what: "upstream",
  name: "up-1",
  atMs: 7_000,
  untilMs: Infinity,
} as const;
const REVOKED_KEY = {
  ...REMOVED_UPSTREAM,
  what: "key",
  name: "key",
  atMs: 4_000,
} as const;
const ROUTER_PAUSE: FaultWindow = {
  kind: "router-paused",
  target: "router-0",
  fromMs: 5_000,
  toMs: 6_000,
};

test("reports no violation if every guarantee is met", () => {
  const calls = [createCall()];
  const arrivals = [createArrival()];
  expect(findViolations({ calls, recovery: calls, arrivals })).toEqual([]);
});

test("reports a violation of each guarantee", () => {
  const once = [createArrival()];
  const twice = [createArrival(), createArrival({ upstream: "up-2" })];
  const call = createCall();
  expect([
    findViolations({ calls: [createCall({ end: "wrong" })] }),
    findViolations({ calls: [call], arrivals: twice }),
    findViolations({ calls: [createCall({ end: "refused" })], arrivals: once }),
    findViolations({
      calls: [call],
      arrivals: once,
      withdrawals: [REMOVED_UPSTREAM],
    }),
    findViolations({
      calls: [call],
      arrivals: once,
      withdrawals: [REVOKED_KEY],
    }),
    findViolations({ calls: [createCall({ end: "unauthorized" })] }),
    findViolations({ calls: [createCall({ end: "broken" })], arrivals: once }),
    findViolations({
      arrivals: [1, 2, 3].map(() => createArrival({ isCold: true })),
    }),
    findViolations({ stops: [{ router: "router-0", exitCode: null }] }),
    findViolations({ recovery: [createCall({ end: "failed" })] }),
  ]).toMatchSnapshot();
});

test("accepts results that an injected fault explains", () => {
  const arrivals = [createArrival()];
  const windows = [ROUTER_PAUSE];
  expect(
    findViolations({
      calls: [createCall()],
      arrivals,
      windows,
      withdrawals: [REMOVED_UPSTREAM],
    }),
  ).toEqual([]);
  const cut = [{ ...ROUTER_PAUSE, kind: "link-cut", toMs: 9_500 } as const];
  expect(
    findViolations({
      calls: [createCall({ end: "broken" })],
      arrivals,
      windows: cut,
    }),
  ).toEqual([]);
  expect(
    findViolations({
      calls: [createCall({ end: "unauthorized" })],
      withdrawals: [REVOKED_KEY],
    }),
  ).toEqual([]);
});

test("accepts repeated reads and does not count refused arrivals as runs", () => {
  const read = createCall({ kind: "read" });
  const refused = createArrival({ isRun: false, upstream: "up-2" });
  expect(
    findViolations({
      calls: [read],
      arrivals: [createArrival(), createArrival()],
    }),
  ).toEqual([]);
  expect(
    findViolations({
      calls: [createCall()],
      arrivals: [createArrival(), refused],
    }),
  ).toEqual([]);
});

test.each(
  [
    {
      causeKind: "part",
      crashCount: 2,
      promise: "a crashing prompt is contained",
    },
    {
      causeKind: "request",
      crashCount: 3,
      promise: "a crashing request is contained",
    },
  ] as const,
)(
  "a $causeKind that goes on reaching upstreams after crashes is found",
  ({ causeKind, crashCount, promise }) => {
    const crashes = [0, 100, 200].slice(0, crashCount).map((atMs) => ({
      upstream: `up-${atMs}`,
      requestId: "first",
      cause: "bad",
      atMs,
    }));
    const knownAtMs = crashes.at(-1)!.atMs + 3_000;
    function find(
      fromMs: number,
      { windows = [], cause = "bad" }: {
        windows?: readonly FaultWindow[];
        cause?: string;
      } = {},
    ) {
      const ids = ["r-1", "r-2"];
      return findViolations({
        crashes,
        windows,
        crashing: ids.map((requestId) => ({
          ...createCall({ requestId, fromMs, end: "failed", kind: "chat" }),
          cause,
          causeKind,
        })),
        arrivals: ids.map((requestId) =>
          createArrival({ requestId, atMs: fromMs + 10 })
        ),
      });
    }
    expect(find(knownAtMs + 1)).toEqual([promise]);
    expect(find(knownAtMs - 1)).toEqual([]);
    expect(find(knownAtMs + 1, { cause: "other" })).toEqual([]);
    const window = {
      kind: "router-killed",
      target: "router-0",
      fromMs: 0,
      toMs: 50,
    } as const;
    expect(find(knownAtMs + 1, { windows: [window] })).toEqual([]);
  },
);

test("streams that hold events of two versions are found", () => {
  const mixed = createCall({ kind: "chat", versions: ["v1", "v2"] });
  expect(findViolations({ calls: [mixed] })).toEqual([]);
  expect(findViolations({ calls: [mixed, mixed], windows: [ROUTER_PAUSE] }))
    .toEqual(["a stream keeps its version"]);
});

test("streams that are taken up again and don't go on are found", () => {
  function find(
    hasGoneOn: readonly boolean[],
    fields: Partial<Resumption> = {},
  ) {
    const resumptions = hasGoneOn.map((each) => ({
      router: "router-0",
      version: "v1",
      servingCount: 2,
      fromMs: 10_000,
      toMs: 10_010,
      hasGoneOn: each,
      ...fields,
    }));
    const call = createCall({ kind: "chat", versions: ["v1"], resumptions });
    return findViolations({ calls: [call], windows: [ROUTER_PAUSE] });
  }
  const promise = "streams that are taken up go on";
  expect(find([true, false, false])).toEqual([promise]);
  expect(find([true, false])).toEqual([]);
  expect(find([false, false], { servingCount: 1 })).toEqual([]);
  expect(find([false, false], { fromMs: 8_900 })).toEqual([]);
  expect(find([false])).toEqual([]);
});

// Guards against streams that are cut without a fault and not found, because
// their callers took them up again.
test("a stream that was cut is found, also if it was taken up again", () => {
  const cut = { end: "broken", toMs: 10_020 } as const;
  const call = createCall({ kind: "chat", end: "whole", first: cut });
  const arrivals = [createArrival()];
  expect(findViolations({ calls: [call], arrivals }))
    .toEqual(["what was passed on is answered"]);
  expect(findViolations({ recovery: [call], arrivals }))
    .toEqual(["all is served after the faults"]);
});

// Guards against a soak that does not notice routers which refuse what others
// could serve while their links are cut.
test("a router without links that serves too little is found", () => {
  const window = {
    kind: "router-links-hung",
    target: "router-0",
    fromMs: 10_000,
    toMs: 20_000,
  } as const;
  function listCalls(router: string, served: number): Call[] {
    return Array.from({ length: 24 }, (_, index) => {
      const end = index < served ? "whole" : "refused";
      return createCall({
        requestId: `${router}-${index}`,
        router,
        fromMs: 15_000,
        toMs: 15_020,
        end,
        first: { end, toMs: 15_020 },
      });
    });
  }
  function find(served: number): string[] {
    const calls = [
      ...listCalls("router-0", served),
      ...listCalls("router-1", 24),
    ];
    return findViolations({ calls, windows: [window] });
  }
  expect(find(16)).toEqual([]);
  expect(find(15)).toEqual(["a router without links serves through others"]);
});

test("brittle upstreams that fall over too often are found", () => {
  expect(findViolations({ brittleFalls: [2, 0] })).toEqual([]);
  expect(findViolations({ brittleFalls: [3] }))
    .toEqual(["brittle upstreams are kept from falling over"]);
});

// Guards against answers that a router or a reset cuts off and that look complete
// (ORDER).
test("an answer that ends early is found unless its upstream closed it there", () => {
  const promise = "an answer ends only after its last part";
  const calls = [
    createCall({ end: "short", last: { requestId: "r-1", received: 4 } }),
  ];
  const cut = {
    upstream: "up-1",
    requestId: "r-1",
    how: "close",
    isFramed: false,
    sent: 4,
    atMs: 10_030,
  } as const;
  expect(findViolations({ calls })).toEqual([promise]);
  expect(findViolations({ calls, cuts: [cut] })).toEqual([]);
  expect(findViolations({ calls, cuts: [{ ...cut, how: "reset" }] }))
    .toEqual([promise]);
  expect(findViolations({ calls, cuts: [{ ...cut, isFramed: true }] }))
    .toEqual([promise]);
  expect(findViolations({ calls, cuts: [{ ...cut, sent: 5 }] }))
    .toEqual([promise]);
  expect(findViolations({ calls, cuts: [{ ...cut, requestId: "r" }] }))
    .toEqual([promise]);
});

describe("the end of a process", () => {
  const promise = "no process ends by itself";
  const end = {
    name: "router-0",
    exitCode: 0,
    signal: null,
    ageMs: 384,
    isAsked: true,
    hasStarted: true,
    lastOutput: "",
    lastErrors: "",
  };
  // Guards against routers that end unnoticed while no caller asks them (FAULT).
  test("is found unless the run asked for it, whatever the callers saw", () => {
    expect(findViolations({ ends: [end] })).toEqual([]);
    expect(findViolations({ ends: [{ ...end, isAsked: false }] }))
      .toEqual([promise]);
    const kill = { ...end, exitCode: null, signal: "SIGKILL" } as const;
    expect(findViolations({ ends: [kill] })).toEqual([]);
    const abort = { ...end, exitCode: null, signal: "SIGABRT" } as const;
    expect(findViolations({ ends: [abort] })).toEqual([promise]);
    const late = { ...kill, isAsked: false, hasStarted: false };
    expect(findViolations({ ends: [late] })).toEqual([promise]);
  });

  test("memory over the limit is found", () => {
    function find(bytes: number): string[] {
      return findViolations({ peakMemory: new Map([["router-0", bytes]]) });
    }
    expect(find(1_000_000)).toEqual([]);
    expect(find(1_000_001)).toEqual(["a router stays within its memory"]);
  });
});

// Guards against faulty upstreams and callers for which sound requests pay (FAULT).
test("sound requests that pay for faults of others are found", () => {
  const window = {
    kind: "answers-endless",
    target: "up-1",
    fromMs: 10_000,
    toMs: 12_000,
  } as const;
  const calls = Array.from(
    { length: 100 },
    (_, index) => createCall({ requestId: `r-${index}`, kind: "read" }),
  );
  const refused = { end: "refused", first: { end: "refused", toMs: 10_050 } };
  function find(
    changed: Partial<Call>[],
    fields: Partial<StoreChaosEvidence> = {},
  ): string[] {
    const sent = calls.map((call, index) => ({ ...call, ...changed[index] }));
    return findViolations({ calls: sent, windows: [window], ...fields });
  }
  const unserved = [refused, refused] as Partial<Call>[];
  const promise = "sound requests beside faulty ones are served";
  expect(find(unserved.slice(1))).toEqual([]);
  expect(find(unserved)).toEqual([promise]);
  expect(find(unserved, {
    arrivals: ["r-0", "r-1"].map((requestId) =>
      createArrival({ requestId, isEndless: true })
    ),
  })).toEqual([]);
  expect(find(unserved, { windows: [] })).toEqual([]);
  const slow = { first: { end: "whole", toMs: 11_101 } } as const;
  expect(find([slow])).toEqual([
    "a sound read does not wait for faulty requests",
  ]);
  expect(find([{ first: { end: "whole", toMs: 11_100 } }])).toEqual([]);
});

test("counts answers that are given up while their upstream pauses", () => {
  const arrivals = [createArrival()];
  const windows: FaultWindow[] = [{
    kind: "answers-paused",
    target: "up-0",
    fromMs: 9_000,
    toMs: 10_500,
  }];
  const find = (fields: Partial<Call>) =>
    findViolations({ calls: [createCall(fields)], arrivals, windows });
  const promise = "what was passed on is answered";
  expect(find({ end: "broken" })).toEqual([promise]);
  expect(find({ end: "failed" })).toEqual([promise]);
  // Pauses in a row may last as long as the time limit of a call.
  expect(find({ end: "broken", toMs: 13_999.5 })).toEqual([]);
  const later = { fromMs: 10_600, toMs: 10_700 };
  expect(find({ end: "failed", ...later })).toEqual([]);
  expect(find({ end: "broken", ...later })).toEqual([promise]);
});
