import type { UpstreamArrival } from "../testing/registered_upstream.ts";
import type {
  Call,
  FaultWindow,
  StoreChaosEvidence,
} from "./store_chaos_evidence.ts";
import { judgeStoreChaos } from "./store_chaos_verdict.ts";

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
    isCold: false,
    workspace: "workspace",
    ...fields,
  };
}

function judge(fields: Partial<StoreChaosEvidence>): string[] {
  const faults = judgeStoreChaos({
    calls: [],
    recovery: [],
    arrivals: [],
    windows: [],
    withdrawals: [],
    bounds: {
      drainMs: 2_000,
      evacuateMs: 5_000,
      revokeMs: 5_000,
      contactMs: 3_000,
      coldPerSecond: 2,
    },
    stops: [],
    ...fields,
  });
  return faults.map(({ promise }) => promise);
}

const GONE = {
  what: "upstream",
  name: "up-1",
  atMs: 7_000,
  untilMs: Infinity,
} as const;
const TAKEN = { ...GONE, what: "key", name: "key", atMs: 4_000 } as const;
const PAUSED: FaultWindow = {
  kind: "router-paused",
  target: "router-0",
  fromMs: 5_000,
  toMs: 6_000,
};

test("a run in which all held has no fault", () => {
  const calls = [createCall()];
  const arrivals = [createArrival()];
  expect(judge({ calls, recovery: calls, arrivals })).toEqual([]);
});

test("each broken promise is found", () => {
  const once = [createArrival()];
  const twice = [createArrival(), createArrival({ upstream: "up-2" })];
  const call = createCall();
  expect([
    judge({ calls: [createCall({ end: "wrong" })] }),
    judge({ calls: [call], arrivals: twice }),
    judge({ calls: [createCall({ end: "refused" })], arrivals: once }),
    judge({ calls: [call], arrivals: once, withdrawals: [GONE] }),
    judge({ calls: [call], arrivals: once, withdrawals: [TAKEN] }),
    judge({ calls: [createCall({ end: "unauthorized" })] }),
    judge({ calls: [createCall({ end: "broken" })], arrivals: once }),
    judge({
      arrivals: [1, 2, 3].map(() => createArrival({ isCold: true })),
    }),
    judge({ stops: [{ router: "router-0", exitCode: null }] }),
    judge({ recovery: [createCall({ end: "failed" })] }),
  ]).toMatchSnapshot();
});

test("what a fault explains is allowed", () => {
  const arrivals = [createArrival()];
  const windows = [PAUSED];
  expect(
    judge({ calls: [createCall()], arrivals, windows, withdrawals: [GONE] }),
  ).toEqual([]);
  const cut = [{ ...PAUSED, kind: "link-cut", toMs: 9_500 } as const];
  expect(
    judge({
      calls: [createCall({ end: "broken" })],
      arrivals,
      windows: cut,
    }),
  ).toEqual([]);
  expect(
    judge({
      calls: [createCall({ end: "unauthorized" })],
      withdrawals: [TAKEN],
    }),
  ).toEqual([]);
});

test("a read may run twice, and a refusal by the upstream is no run", () => {
  const read = createCall({ kind: "read" });
  const refused = createArrival({ isRun: false, upstream: "up-2" });
  expect(judge({ calls: [read], arrivals: [createArrival(), createArrival()] }))
    .toEqual([]);
  expect(judge({ calls: [createCall()], arrivals: [createArrival(), refused] }))
    .toEqual([]);
});
