/**
 * Checks a chaos run of a fleet with a metadata store, using the records of
 * callers and upstreams.
 */
import type { ChaosKind } from "../testing/chaos_schedule.ts";
import type { ProcessEnd } from "../testing/processes.ts";
import type { UpstreamArrival } from "../testing/registered_upstream.ts";
import { CALL_TIMEOUT_MS } from "./store_chaos_calls.ts";
import type {
  Call,
  FaultWindow,
  StoreChaosEvidence,
  Withdrawal,
} from "./store_chaos_evidence.ts";

/** A violation of a guarantee. */
export interface StoreChaosViolation {
  /** Guarantee that was violated. */
  readonly promise: string;
  /** Empty if the violation does not concern a single request. */
  readonly requestId: string;
  readonly detail: string;
}

/** Faults in which a router loses contact with the store for a while. */
const ROUTER_FAULTS: ReadonlySet<ChaosKind> = new Set([
  "router-killed",
  "router-stopped",
  "router-paused",
  "key-value-link-cut",
  "key-value-link-silent",
  "port-taken-at-start",
  "signals-at-start",
  "signals-in-series",
  "settings-incomplete-at-start",
]);
/** Faults in which a router stops and starts without breaking off a request. */
const RESTART_FAULTS: ReadonlySet<ChaosKind> = new Set([
  "router-stopped",
  "port-taken-at-start",
  "signals-at-start",
  "signals-in-series",
  "settings-incomplete-at-start",
]);
/** Faults that may cost nobody but those who cause them. */
const OTHERS_FAULTS: ReadonlySet<ChaosKind> = new Set([
  "log-reader-closed",
  "log-reader-stalled",
  "settings-incomplete-at-reload",
  "answers-endless",
  "bodies-endless",
  "answers-unread",
]);
/** Faults in which every answer that has begun is whole in the end. */
const PAUSE_FAULTS: ReadonlySet<ChaosKind> = new Set(["answers-paused"]);
/** Faults of the store, which affect every router. */
const STORE_FAULTS: ReadonlySet<ChaosKind> = new Set([
  "key-value-down",
  "key-value-slow",
  "key-value-loses-answers",
  "watches-silent",
  "store-restored",
]);
/** Faults after which a connection to an upstream may break. */
const UPSTREAM_FAULTS: ReadonlySet<ChaosKind> = new Set([
  "engine-killed",
  "prompt-crashes",
  "request-crashes",
  "upstreams-brittle",
  "engine-leaving",
  "engine-upgraded",
  "answers-reset",
  "link-silent",
  "link-cut",
  "link-cut-to-upstream",
  "link-cut-to-router",
]);
/** Timers end a call up to a millisecond before its time limit. */
const MIN_TIMED_OUT_MS = CALL_TIMEOUT_MS - 1;
/** Allowance for requests in transit to an upstream when a change occurs. */
const MAX_TRANSIT_MS = 100;
const SECOND_MS = 1_000;
/** Requests at a router without links from which on their share counts. */
const MIN_CUT_CALLS = 20;
/** The users' bound on what such routers serve, as a part of what others do. */
const MIN_CUT_SERVED_PART = 2 / 3;
/** Sound requests beside faults of others from which on their share counts. */
const MIN_SOUND_CALLS = 20;
const BYTES_PER_MB = 1_048_576;
/** Last lines and characters of a process that a violation names. */
const LAST_LINES = 3;
const ERROR_LINE = /Error: |FATAL ERROR|corianderflowd: /;
const MAX_LINE_CHARS = 300;
/** The users' bound on upstreams that fall over: 2 and a tenth of all. */
const MIN_BRITTLE_FALLS = 2;
const BRITTLE_FALLS_SHARE = 0.1;
/** Below 1 because the first requests may use connections that faults broke. */
const MIN_RECOVERED_SHARE = 0.99;

/** Returns the violations found in a run; empty if every check passes. */
export function findStoreChaosViolations(
  evidence: StoreChaosEvidence,
): StoreChaosViolation[] {
  const routers = new Map(
    [
      ...evidence.calls,
      ...evidence.recovery,
      ...evidence.crashing,
      ...evidence.overload,
    ].map(({ requestId, router }) => [requestId, router]),
  );
  return [
    ...checkAnswers(evidence),
    ...checkEnds(evidence),
    ...checkRuns(evidence),
    ...checkWithdrawals(evidence, routers),
    ...checkKeys(evidence),
    ...checkUnauthorizedCalls(evidence),
    ...checkColdStarts(evidence),
    ...checkForwardedRequests(evidence),
    ...checkCrashingRequests(evidence, routers),
    ...checkVersions(evidence),
    ...checkResumptions(evidence),
    ...checkCutRouters(evidence),
    ...checkBrittleUpstreams(evidence),
    ...checkStops(evidence),
    ...checkProcessEnds(evidence),
    ...checkMemory(evidence),
    ...checkSoundCalls(evidence),
    ...checkRecovery(evidence),
  ];
}

function checkAnswers(
  evidence: StoreChaosEvidence,
): StoreChaosViolation[] {
  const { calls, recovery, crashing, overload } = evidence;
  // What an upstream sends without end is not what its callers expect.
  const endless = listEndless(evidence);
  return [...calls, ...recovery, ...crashing, ...overload]
    .filter(({ end, requestId, last }) =>
      end === "wrong" && !endless.has(requestId) &&
      !endless.has(last.requestId)
    )
    .map(({ requestId, detail }) => ({
      promise: "answers are whole and their own",
      requestId,
      detail,
    }));
}

/**
 * An answer may be complete before its last part only where its upstream has
 * itself closed the connection of an answer without a length there.
 */
function checkEnds(
  { calls, recovery, crashing, overload, cuts }: StoreChaosEvidence,
): StoreChaosViolation[] {
  return [...calls, ...recovery, ...crashing, ...overload]
    .filter(({ end }) => end === "short")
    .filter(({ last }) =>
      !cuts.some(({ requestId, how, isFramed, sent }) =>
        requestId === last.requestId && how === "close" && !isFramed &&
        sent === last.received
      )
    )
    .map(({ requestId, router, detail, last }) => ({
      promise: "an answer ends only after its last part",
      requestId,
      detail: `${detail}, at ${router}` +
        cuts.filter((cut) => cut.requestId === last.requestId)
          .map(({ upstream, how, sent }) =>
            `; ${how} by ${upstream} at ${sent}`
          )
          .join(""),
    }));
}

function checkRuns(
  { calls, recovery, crashing, overload, arrivals }: StoreChaosEvidence,
): StoreChaosViolation[] {
  const runs = new Map<string, UpstreamArrival[]>();
  for (const arrival of arrivals.filter(({ isRun }) => isRun)) {
    const { requestId } = arrival;
    runs.set(requestId, [...runs.get(requestId) ?? [], arrival]);
  }
  const violations: StoreChaosViolation[] = [];
  const all = [...calls, ...recovery, ...crashing, ...overload];
  for (const { requestId, kind, end, detail } of all) {
    const ran = runs.get(requestId) ?? [];
    if ((kind === "book" || kind === "plan") && ran.length > 1) {
      const upstreams = ran.map(({ upstream }) => upstream).join(", ");
      violations.push({
        promise: "runs at most once",
        requestId,
        detail: upstreams,
      });
    }
    if (kind !== "read" && end === "refused" && ran.length > 0) {
      const where = `${detail}; ran on ${ran[0]!.upstream}`;
      violations.push({ promise: "not run is true", requestId, detail: where });
    }
  }
  return violations;
}

/**
 * Whether no fault of `router` or the store was active from `fromMs` to `toMs`,
 * or ended less than `faultFreeMs` before.
 */
function isUnaffected(
  { windows, bounds }: StoreChaosEvidence,
  { router, fromMs, toMs }: { router: string; fromMs: number; toMs: number },
): boolean {
  return !windows.some((window) =>
    window.fromMs <= toMs && window.toMs + bounds.faultFreeMs >= fromMs &&
    (STORE_FAULTS.has(window.kind) ||
      ROUTER_FAULTS.has(window.kind) && window.target === router)
  );
}

function isWithdrawn(
  { what, name }: Withdrawal,
  { upstream, failureDomain }: UpstreamArrival,
): boolean {
  if (what === "upstream") return name === upstream;
  return what === "failure-domain" && name === failureDomain;
}

function checkWithdrawals(
  evidence: StoreChaosEvidence,
  routers: ReadonlyMap<string, string>,
): StoreChaosViolation[] {
  const { arrivals, withdrawals, bounds } = evidence;
  const violations: StoreChaosViolation[] = [];
  for (const withdrawal of withdrawals) {
    const { what, name, atMs, untilMs } = withdrawal;
    if (what === "key") continue;
    const boundMs = what === "upstream" ? bounds.drainMs : bounds.evacuateMs;
    const late = arrivals.filter((arrival) =>
      arrival.isRun && isWithdrawn(withdrawal, arrival) &&
      arrival.atMs > atMs + boundMs + MAX_TRANSIT_MS &&
      arrival.atMs < untilMs &&
      isUnaffected(evidence, {
        router: routers.get(arrival.requestId) ?? "",
        fromMs: atMs,
        toMs: arrival.atMs,
      })
    );
    violations.push(...late.map(({ requestId, atMs: arrivedAt }) => ({
      promise: "what leaves gets nothing new",
      requestId,
      detail: `${name} received it ${
        Math.round(arrivedAt - atMs)
      } ms after withdrawal`,
    })));
  }
  return violations;
}

/** Applies to every router, also to one that is cut off from the store. */
function checkKeys(
  { calls, arrivals, withdrawals, bounds }: StoreChaosEvidence,
): StoreChaosViolation[] {
  const ran = new Set(
    arrivals.filter(({ isRun }) => isRun).map(({ requestId }) => requestId),
  );
  return withdrawals.filter(({ what }) => what === "key")
    .flatMap(({ name, atMs }) =>
      calls.filter(({ key, fromMs, requestId }) =>
        key === name && fromMs > atMs + bounds.revokeMs && ran.has(requestId)
      ).map(({ requestId, fromMs }) => ({
        promise: "a key taken away runs nothing",
        requestId,
        detail: `sent ${
          Math.round(fromMs - atMs)
        } ms after withdrawal of the key`,
      }))
    );
}

function isKeyWithdrawn(
  { withdrawals }: StoreChaosEvidence,
  { key, toMs }: Call,
): boolean {
  return withdrawals.some(({ what, name, atMs }) =>
    what === "key" && name === key && atMs <= toMs
  );
}

function checkUnauthorizedCalls(
  evidence: StoreChaosEvidence,
): StoreChaosViolation[] {
  return [...evidence.calls, ...evidence.recovery]
    .filter((call) =>
      call.end === "unauthorized" && !isKeyWithdrawn(evidence, call)
    )
    .map(({ requestId, key }) => ({
      promise: "a key in force is not denied",
      requestId,
      detail: key,
    }));
}

function checkColdStarts(
  { arrivals, bounds }: StoreChaosEvidence,
): StoreChaosViolation[] {
  const times = new Map<string, number[]>();
  for (const { upstream, atMs, isCold } of arrivals) {
    if (!isCold) continue;
    times.set(upstream, [...times.get(upstream) ?? [], atMs]);
  }
  return [...times].flatMap(([upstream, each]) => {
    const counts = each.map((from) =>
      each.filter((at) => at >= from && at < from + SECOND_MS).length
    );
    const peak = Math.max(...counts);
    if (peak <= bounds.maxColdRequestsPerSecond) return [];
    return [{
      promise: "a cold upstream is not pushed",
      requestId: "",
      detail: `${upstream} got ${peak} requests within a second`,
    }];
  });
}

/**
 * A request that a router without a fault forwarded is answered, also while the
 * router stops.
 */
function checkForwardedRequests(
  evidence: StoreChaosEvidence,
): StoreChaosViolation[] {
  const { calls, arrivals, windows } = evidence;
  const arrived = new Set(arrivals.map(({ requestId }) => requestId));
  const endless = listEndless(evidence);
  function isAffected({ router, fromMs, first: { toMs } }: Call): boolean {
    return windows.some((window: FaultWindow) =>
      window.fromMs <= toMs && window.toMs + SECOND_MS >= fromMs &&
      (UPSTREAM_FAULTS.has(window.kind) || window.kind === "upstream-silent" ||
        window.target === router && !RESTART_FAULTS.has(window.kind) &&
          !OTHERS_FAULTS.has(window.kind))
    );
  }
  function isBrokenOff({ fromMs, first: { end, toMs } }: Call): boolean {
    const isPaused = windows.some((window) =>
      PAUSE_FAULTS.has(window.kind) && window.fromMs <= toMs &&
      window.toMs >= fromMs
    );
    if (!isPaused) return end === "broken";
    // Several pauses can last longer than the time limit. A router that gives up
    // an answer before its head makes an error of it.
    return toMs - fromMs < MIN_TIMED_OUT_MS &&
      (end === "broken" || end === "failed");
  }
  return calls.filter((call) =>
    isBrokenOff(call) && arrived.has(call.requestId) &&
    !endless.has(call.requestId) && !isAffected(call)
  ).map(({ requestId, detail }) => ({
    promise: "what was passed on is answered",
    requestId,
    detail,
  }));
}

/**
 * Requests under which several upstreams have crashed for the same cause are
 * kept from upstreams by each router that could know it.
 */
function checkCrashingRequests(
  evidence: StoreChaosEvidence,
  routers: ReadonlyMap<string, string>,
): StoreChaosViolation[] {
  const { crashes, crashing, arrivals, bounds } = evidence;
  const kinds = new Map(
    crashing.map(({ cause, causeKind }) => [cause, causeKind]),
  );
  return [...kinds].flatMap(([cause, kind]) => {
    const maxCrashes = kind === "part"
      ? bounds.maxPartCrashes
      : bounds.maxRequestCrashes;
    const own = crashes.filter((each) => each.cause === cause);
    const crash = own[maxCrashes - 1];
    if (crash === undefined) return [];
    const knownAtMs = crash.atMs + bounds.faultFreeMs;
    const late = new Set(
      crashing.filter((call) => call.cause === cause && call.fromMs > knownAtMs)
        .map(({ requestId }) => requestId),
    );
    const later = arrivals.filter(({ requestId, atMs }) =>
      late.has(requestId) &&
      isUnaffected(evidence, {
        router: routers.get(requestId) ?? "",
        fromMs: crash.atMs,
        toMs: atMs,
      })
    );
    if (later.length <= bounds.maxLaterArrivals) return [];
    return [{
      promise: `a crashing ${kind === "part" ? "prompt" : kind} is contained`,
      requestId: later[0]!.requestId,
      detail: `${cause} reached upstreams ${later.length} times more`,
    }];
  });
}

/**
 * A stream goes on only at the software version that began it. This holds for
 * every router, with or without a fault.
 */
function checkVersions(
  { calls, recovery, bounds }: StoreChaosEvidence,
): StoreChaosViolation[] {
  const mixed = [...calls, ...recovery]
    .filter(({ versions }) => versions.length > 1);
  if (mixed.length <= bounds.maxMixedStreams) return [];
  return [{
    promise: "a stream keeps its version",
    requestId: mixed[0]!.requestId,
    detail: `${mixed.length} streams hold events of several versions`,
  }];
}

/** Streams that callers take up again go on nearly as often as new ones begin. */
function checkResumptions(
  evidence: StoreChaosEvidence,
): StoreChaosViolation[] {
  const { calls, bounds } = evidence;
  const counted = calls.flatMap(({ resumptions }) => resumptions)
    .filter((each) => each.servingCount >= 2 && isUnaffected(evidence, each));
  if (counted.length < bounds.minResumptions) return [];
  const streams = calls.filter(({ kind }) => kind === "chat");
  const begun = streams.filter(({ versions }) => versions.length > 0);
  const gone = counted.filter(({ hasGoneOn }) => hasGoneOn);
  const share = gone.length / counted.length;
  const minShare = begun.length / streams.length * bounds.minResumedShare;
  if (share >= minShare) return [];
  return [{
    promise: "streams that are taken up go on",
    requestId: "",
    detail: `${gone.length} of ${counted.length} went on`,
  }];
}

/**
 * A router without links to the upstreams serves nearly as many first tries as
 * those without a fault, through these.
 */
function checkCutRouters(evidence: StoreChaosEvidence): StoreChaosViolation[] {
  const { calls, windows, bounds } = evidence;
  function listServed(sent: readonly Call[]): number {
    return sent.filter(({ first }) => first.end === "whole").length;
  }
  const cuts = windows.filter(({ kind }) => kind.startsWith("router-links-"));
  return cuts.flatMap(({ target, fromMs, toMs }) => {
    const sent = calls.filter((call) =>
      call.fromMs >= fromMs + bounds.faultFreeMs && call.first.toMs < toMs &&
      isUnaffected(evidence, {
        router: call.router,
        fromMs: call.fromMs,
        toMs: call.first.toMs,
      })
    );
    const cut = sent.filter(({ router }) => router === target);
    const others = sent.filter(({ router }) =>
      !cuts.some((each) => each.target === router)
    );
    if (cut.length < MIN_CUT_CALLS || others.length === 0) return [];
    const share = listServed(cut) / cut.length;
    const otherShare = listServed(others) / others.length;
    if (share >= otherShare * MIN_CUT_SERVED_PART) return [];
    return [{
      promise: "a router without links serves through others",
      requestId: cut[0]!.requestId,
      detail: `${target} served ${listServed(cut)} of ${cut.length}, others ` +
        `${listServed(others)} of ${others.length}`,
    }];
  });
}

function checkBrittleUpstreams(
  { brittleFalls, upstreamCount }: StoreChaosEvidence,
): StoreChaosViolation[] {
  const maxFalls = MIN_BRITTLE_FALLS + upstreamCount * BRITTLE_FALLS_SHARE;
  return brittleFalls.filter((falls) => falls > maxFalls).map((falls) => ({
    promise: "brittle upstreams are kept from falling over",
    requestId: "",
    detail: `${falls} fell over`,
  }));
}

function checkStops({ stops }: StoreChaosEvidence): StoreChaosViolation[] {
  return stops.filter(({ exitCode }) => exitCode !== 0)
    .map(({ router, exitCode }) => ({
      promise: "a planned stop ends with 0",
      requestId: "",
      detail: `${router} exited with code ${exitCode}`,
    }));
}

/** Signals with which a run ends processes. */
const ENDING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set([
  "SIGTERM",
  "SIGKILL",
  "SIGINT",
]);

/** Whether a process ended without having been told to, or otherwise. */
export function isEndByItself({ isAsked, signal }: ProcessEnd): boolean {
  return !isAsked || signal !== null && !ENDING_SIGNALS.has(signal);
}

/** Nothing but a signal of the run ends a router, also while it starts. */
function checkProcessEnds(
  { ends }: StoreChaosEvidence,
): StoreChaosViolation[] {
  return ends.filter(isEndByItself).map((end) => {
    const { name, exitCode, signal, ageMs, hasStarted } = end;
    const cause = signal ?? `code ${exitCode}`;
    return {
      promise: "no process ends by itself",
      requestId: "",
      detail: `${name} ${hasStarted ? "ended" : "did not start"}, ${cause} ` +
        `after ${ageMs.toFixed()} ms${renderLastLines(end)}`,
    };
  });
}

/** Renders the last line that names an error, or else the last lines. */
function renderLastLines({ lastErrors, lastOutput }: ProcessEnd): string {
  return [lastErrors, lastOutput].map((text) => {
    const lines = text.trim().split("\n");
    return lines.findLast((line) => ERROR_LINE.test(line)) ??
      lines.slice(-LAST_LINES).join(" | ");
  }).filter((text) => text !== "")
    .map((text) => `; ${text.slice(0, MAX_LINE_CHARS)}`)
    .join("");
}

function checkMemory(
  { peakMemory, bounds }: StoreChaosEvidence,
): StoreChaosViolation[] {
  return [...peakMemory].filter(([, bytes]) => bytes > bounds.memoryBytes)
    .map(([router, bytes]) => ({
      promise: "a router stays within its memory",
      requestId: "",
      detail: `${router} used ${(bytes / BYTES_PER_MB).toFixed()} MB`,
    }));
}

/** Returns the ids of the requests that were answered without end. */
function listEndless({ arrivals }: StoreChaosEvidence): ReadonlySet<string> {
  return new Set(
    arrivals.filter(({ isEndless }) => isEndless)
      .map(({ requestId }) => requestId),
  );
}

/**
 * Requests beside faults that others cause are served, and reads in time. Only a
 * request that met such an upstream itself, or a router that restarts, may pay.
 */
function checkSoundCalls(evidence: StoreChaosEvidence): StoreChaosViolation[] {
  const { calls, windows, bounds, ownDelayMs } = evidence;
  const endless = listEndless(evidence);
  function listFaults({ fromMs, first: { toMs } }: Call): FaultWindow[] {
    return windows.filter((window) =>
      window.fromMs <= toMs && window.toMs + bounds.faultFreeMs >= fromMs
    );
  }
  const sound = calls.filter((call) => {
    const faults = listFaults(call);
    return faults.some(({ kind }) => OTHERS_FAULTS.has(kind)) &&
      faults.every(({ kind, target }) =>
        OTHERS_FAULTS.has(kind) ||
        RESTART_FAULTS.has(kind) && target !== call.router
      ) && !endless.has(call.requestId) && !isKeyWithdrawn(evidence, call);
  });
  if (sound.length < MIN_SOUND_CALLS) return [];
  const violations: StoreChaosViolation[] = [];
  const unserved = sound.filter(({ first }) => first.end !== "whole");
  if (unserved.length > sound.length * (1 - bounds.minSoundShare)) {
    const { requestId, router, first, detail } = unserved[0]!;
    violations.push({
      promise: "sound requests beside faulty ones are served",
      requestId,
      detail: `${unserved.length} of ${sound.length} were not, first: ` +
        `${first.end} ${detail} at ${router}`,
    });
  }
  const maxReadMs = bounds.maxSoundReadMs + ownDelayMs;
  const late = sound.filter(({ kind, fromMs, first }) =>
    kind === "read" && first.toMs - fromMs > maxReadMs
  );
  violations.push(...late.map(({ requestId, router, fromMs, first }) => ({
    promise: "a sound read does not wait for faulty requests",
    requestId,
    detail: `${(first.toMs - fromMs).toFixed()} ms at ${router}, ` +
      `${maxReadMs.toFixed()} allowed`,
  })));
  return violations;
}

function checkRecovery(evidence: StoreChaosEvidence): StoreChaosViolation[] {
  const expected = evidence.recovery
    .filter((call) => !isKeyWithdrawn(evidence, call));
  const unserved = expected.filter(({ first }) => first.end !== "whole");
  if (unserved.length <= expected.length * (1 - MIN_RECOVERED_SHARE)) return [];
  return [{
    promise: "all is served after the faults",
    requestId: unserved[0]!.requestId,
    detail:
      `${unserved.length} of ${expected.length} requests were not served, ` +
      `first: ${unserved[0]!.first.end} ${unserved[0]!.detail}`,
  }];
}
