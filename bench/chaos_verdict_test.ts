import type { FaultWindow, UnsuccessfulResponse } from "./chaos_evidence.ts";
import { parseRouterLog } from "./chaos_logs.ts";
import { findChaosViolations, isAcceptable } from "./chaos_verdict.ts";
import type { LoadReport } from "./load/report.ts";

const COMPLETE_OUTCOMES = { sent: 1, whole: 1, refused: {} };
const LOAD = {
  chats: COMPLETE_OUTCOMES,
  bookings: COMPLETE_OUTCOMES,
} as unknown as LoadReport;
const NO_VIOLATIONS = {
  load: LOAD,
  recovery: LOAD,
  answers: [],
  windows: [],
  upstreams: [],
  upstreamsByGroup: new Map(),
  logs: [],
  accepted: [],
  history: [],
  conflictingCommits: [],
  versions: new Map(),
  stops: [],
};

function createWindow(window: Partial<FaultWindow>): FaultWindow {
  return { kind: "link-cut", target: "e1", fromMs: 0, toMs: 10, ...window };
}

function createAnswer(
  breakage: "cut" | "connection" | "error-event" | "wrong-bytes",
  detail = "",
): UnsuccessfulResponse {
  return {
    router: "r1",
    upstream: "e1",
    requestId: "q",
    outcome: { kind: "broken", breakage, detail },
    fromMs: 5,
    toMs: 20,
  };
}

function createLog(...lines: readonly Record<string, unknown>[]) {
  const text = lines.map((line) => `${JSON.stringify(line)}\n`).join("");
  return parseRouterLog("r1.1", text);
}

describe("acceptable responses", () => {
  test("include a broken one only for a fault at its router or upstream", () => {
    const killed = createWindow({ kind: "router-killed", target: "r1" });
    const stopped = createWindow({ kind: "router-stopped", target: "r1" });
    const cut = createWindow({});
    const late = createWindow({ fromMs: 21, toMs: 30 });
    expect(isAcceptable(createAnswer("cut"), [killed])).toBe(true);
    expect(isAcceptable(createAnswer("cut"), [stopped])).toBe(false);
    const refused = createAnswer("connection", "ECONNREFUSED");
    expect(isAcceptable(refused, [stopped])).toBe(true);
    expect(isAcceptable(createAnswer("connection"), [stopped])).toBe(false);
    expect(isAcceptable(createAnswer("error-event"), [cut])).toBe(true);
    expect(isAcceptable(createAnswer("error-event"), [late])).toBe(false);
    expect(isAcceptable(createAnswer("error-event"), [killed])).toBe(false);
    expect(isAcceptable(createAnswer("wrong-bytes"), [cut, killed])).toBe(
      false,
    );
  });
});

describe("checks of a chaos run", () => {
  test("report no violation if every guarantee is met", () => {
    expect(findChaosViolations(NO_VIOLATIONS)).toEqual([]);
  });

  test("report violations found in router logs", () => {
    const inForce = "config: A configuration is in force.";
    const placed = "place: Placed a request.";
    const log = createLog(
      { message: inForce, version: 3 },
      { message: inForce, version: 2 },
      { message: placed, at: "1970-01-01T00:00:04Z", upstream: "e1" },
      { message: placed, at: "1970-01-01T00:00:06Z", upstream: "e1" },
      { message: placed, at: "1970-01-01T00:00:06Z", upstream: "e2" },
      { message: "invariant: An invariant does not hold." },
      { message: "route: A filter failed." },
    );
    const violations = findChaosViolations({
      ...NO_VIOLATIONS,
      logs: [log],
      upstreamsByGroup: new Map([["a", ["e1"]]]),
      windows: [
        createWindow({ kind: "failure-domain-out", target: "a", toMs: 8_000 }),
      ],
    });
    expect(violations).toMatchSnapshot();
  });

  test("report violations found in upstream records, load, commits and stops", () => {
    const change = { kind: "host", name: "h", state: "out" } as const;
    const entry = { version: 4, id: "i", author: "other", at: 0, change };
    const record = {
      incarnation: "i",
      inFlight: 0,
      maxInFlight: 9,
      maxInFlightCold: 3,
      falls: 1,
      fallLog: [{ reason: "hard-limit", inFlight: 8 }] as const,
      startedAfterLeaving: 1,
      lastAfterLeavingMs: 5_001,
    };
    const violations = findChaosViolations({
      ...NO_VIOLATIONS,
      recovery: { ...LOAD, chats: { ...LOAD.chats, sent: 2 } },
      load: {
        ...LOAD,
        bookingRuns: {
          ran: 3,
          ranTwice: ["k1"],
          ranThoughRefused: ["k2"],
          missing: ["k3"],
        },
      },
      upstreams: [{ upstream: "e1", coldLimit: 2, record }],
      accepted: [{ version: 4, author: "first", change }],
      history: [entry],
      conflictingCommits: ["a after 3"],
      versions: new Map([["r1", 3], ["r2", 4]]),
      stops: [{ router: "r1", exitCode: 1 }, { router: "r2", exitCode: 0 }],
      answers: [
        {
          ...createAnswer("cut"),
          outcome: { kind: "refused", code: "internal", ran: "unknown" },
        },
      ],
    });
    expect(violations).toMatchSnapshot();
  });
});
