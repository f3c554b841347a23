/**
 * Judges a run of a fleet with a metadata store under faults, from what callers
 * and upstreams saw.
 */
import type { ChaosKind } from "../testing/chaos_schedule.ts";
import type { UpstreamArrival } from "../testing/registered_upstream.ts";
import type {
  Call,
  FaultWindow,
  StoreChaosEvidence,
  Withdrawal,
} from "./store_chaos_evidence.ts";

/** Something that must not have happened. */
export interface StoreChaosFault {
  readonly promise: string;
  readonly requestId: string;
  readonly detail: string;
}

/** Faults of a router, after which it is out of touch for a while. */
const ROUTER_FAULTS: ReadonlySet<ChaosKind> = new Set([
  "router-killed",
  "router-stopped",
  "router-paused",
  "key-value-link-cut",
  "key-value-link-silent",
]);
/** Faults of the store, which concern every router. */
const STORE_FAULTS: ReadonlySet<ChaosKind> = new Set([
  "key-value-down",
  "key-value-slow",
  "key-value-loses-answers",
  "watches-silent",
]);
/** Faults after which a connection to an upstream may break. */
const UPSTREAM_FAULTS: ReadonlySet<ChaosKind> = new Set([
  "engine-killed",
  "engine-leaving",
  "link-silent",
  "link-cut",
  "link-cut-to-upstream",
  "link-cut-to-router",
]);
/** A send that crosses a change on its way to an upstream, in milliseconds. */
const CROSSING_MS = 100;
const SECOND_MS = 1_000;
/** Recovery may begin with connections that the faults have left behind. */
const RECOVERED_SHARE = 0.99;

/** Lists what did not hold; empty if all held. */
export function judgeStoreChaos(
  evidence: StoreChaosEvidence,
): StoreChaosFault[] {
  const routers = new Map(
    [...evidence.calls, ...evidence.recovery]
      .map(({ requestId, router }) => [requestId, router]),
  );
  return [
    ...judgeAnswers(evidence),
    ...judgeRuns(evidence),
    ...judgeWithdrawals(evidence, routers),
    ...judgeKeys(evidence),
    ...judgeDenials(evidence),
    ...judgeColdStarts(evidence),
    ...judgeLosses(evidence),
    ...judgeStops(evidence),
    ...judgeRecovery(evidence),
  ];
}

function judgeAnswers(
  { calls, recovery }: StoreChaosEvidence,
): StoreChaosFault[] {
  return [...calls, ...recovery]
    .filter(({ end }) => end === "wrong")
    .map(({ requestId, detail }) => ({
      promise: "answers are whole and their own",
      requestId,
      detail,
    }));
}

function judgeRuns(
  { calls, recovery, arrivals }: StoreChaosEvidence,
): StoreChaosFault[] {
  const runs = new Map<string, UpstreamArrival[]>();
  for (const arrival of arrivals.filter(({ isRun }) => isRun)) {
    const { requestId } = arrival;
    runs.set(requestId, [...runs.get(requestId) ?? [], arrival]);
  }
  const faults: StoreChaosFault[] = [];
  for (const { requestId, kind, end, detail } of [...calls, ...recovery]) {
    const ran = runs.get(requestId) ?? [];
    if ((kind === "book" || kind === "plan") && ran.length > 1) {
      const at = ran.map(({ upstream }) => upstream).join(", ");
      faults.push({ promise: "runs at most once", requestId, detail: at });
    }
    if (kind !== "read" && end === "refused" && ran.length > 0) {
      const where = `${detail}; ran at ${ran[0]!.upstream}`;
      faults.push({ promise: "not run is true", requestId, detail: where });
    }
  }
  return faults;
}

/** Whether no fault touched `router` or the store from `fromMs` to `toMs`. */
function isInTouch(
  { windows, bounds }: StoreChaosEvidence,
  { router, fromMs, toMs }: { router: string; fromMs: number; toMs: number },
): boolean {
  return !windows.some((window) =>
    window.fromMs <= toMs && window.toMs + bounds.contactMs >= fromMs &&
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

function judgeWithdrawals(
  evidence: StoreChaosEvidence,
  routers: ReadonlyMap<string, string>,
): StoreChaosFault[] {
  const { arrivals, withdrawals, bounds } = evidence;
  const faults: StoreChaosFault[] = [];
  for (const withdrawal of withdrawals) {
    const { what, name, atMs, untilMs } = withdrawal;
    if (what === "key") continue;
    const boundMs = what === "upstream" ? bounds.drainMs : bounds.evacuateMs;
    const late = arrivals.filter((arrival) =>
      arrival.isRun && isWithdrawn(withdrawal, arrival) &&
      arrival.atMs > atMs + boundMs + CROSSING_MS && arrival.atMs < untilMs &&
      isInTouch(evidence, {
        router: routers.get(arrival.requestId) ?? "",
        fromMs: atMs,
        toMs: arrival.atMs,
      })
    );
    faults.push(...late.map(({ requestId, atMs: arrivedAt }) => ({
      promise: "what leaves gets nothing new",
      requestId,
      detail: `${name}, ${Math.round(arrivedAt - atMs)} ms later`,
    })));
  }
  return faults;
}

/** Holds for every router, in touch or not. */
function judgeKeys(
  { calls, arrivals, withdrawals, bounds }: StoreChaosEvidence,
): StoreChaosFault[] {
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
        detail: `${Math.round(fromMs - atMs)} ms later`,
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

function judgeDenials(evidence: StoreChaosEvidence): StoreChaosFault[] {
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

function judgeColdStarts(
  { arrivals, bounds }: StoreChaosEvidence,
): StoreChaosFault[] {
  const times = new Map<string, number[]>();
  for (const { upstream, atMs, isCold } of arrivals) {
    if (!isCold) continue;
    times.set(upstream, [...times.get(upstream) ?? [], atMs]);
  }
  return [...times].flatMap(([upstream, each]) => {
    const most = each.map((from) =>
      each.filter((at) => at >= from && at < from + SECOND_MS).length
    );
    const peak = Math.max(...most);
    if (peak <= bounds.coldPerSecond) return [];
    return [{
      promise: "a cold upstream is not pushed",
      requestId: "",
      detail: `${upstream} got ${peak} in a second`,
    }];
  });
}

/** A request that a sound router passed on is answered, also while it stops. */
function judgeLosses(evidence: StoreChaosEvidence): StoreChaosFault[] {
  const { calls, arrivals, windows } = evidence;
  const arrived = new Set(arrivals.map(({ requestId }) => requestId));
  function isHit({ router, fromMs, toMs }: Call): boolean {
    return windows.some((window: FaultWindow) =>
      window.fromMs <= toMs && window.toMs + SECOND_MS >= fromMs &&
      (UPSTREAM_FAULTS.has(window.kind) || window.kind === "upstream-silent" ||
        window.target === router && window.kind !== "router-stopped")
    );
  }
  return calls.filter((call) =>
    call.end === "broken" && arrived.has(call.requestId) && !isHit(call)
  ).map(({ requestId, detail }) => ({
    promise: "what was passed on is answered",
    requestId,
    detail,
  }));
}

function judgeStops({ stops }: StoreChaosEvidence): StoreChaosFault[] {
  return stops.filter(({ exitCode }) => exitCode !== 0)
    .map(({ router, exitCode }) => ({
      promise: "a planned stop ends with 0",
      requestId: "",
      detail: `${router} ended with ${exitCode}`,
    }));
}

function judgeRecovery(evidence: StoreChaosEvidence): StoreChaosFault[] {
  const owed = evidence.recovery
    .filter((call) => !isKeyWithdrawn(evidence, call));
  const missing = owed.filter(({ end }) => end !== "whole");
  if (missing.length <= owed.length * (1 - RECOVERED_SHARE)) return [];
  return [{
    promise: "all is served after the faults",
    requestId: missing[0]!.requestId,
    detail: `${missing.length} of ${owed.length} were not, ` +
      `first: ${missing[0]!.end} ${missing[0]!.detail}`,
  }];
}
