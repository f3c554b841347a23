/** Checks the data of a chaos run against the guarantees of the fleet. */
import type { ChaosKind } from "../testing/chaos_schedule.ts";
import type {
  AcceptedChange,
  ChaosEvidence,
  FaultWindow,
  UnsuccessfulResponse,
} from "./chaos_evidence.ts";
import type { OutcomeReport } from "./load/report.ts";

/** A violation of a guarantee. */
export interface ChaosViolation {
  /** Guarantee that was violated. */
  readonly check: string;
  /** Where it was violated, with the values seen. */
  readonly detail: string;
}

/** Time in which routers may still use a target that was taken out. */
const MAX_REMOVAL_DELAY_MS = 5_000;
/** Faults that break established connections to an upstream. */
const UPSTREAM_LOSS_KINDS: readonly ChaosKind[] = [
  "engine-killed",
  "link-cut",
  "link-cut-to-upstream",
  "link-cut-to-router",
];

/** Returns the violations found in a run; empty if every check passes. */
export function findChaosViolations(evidence: ChaosEvidence): ChaosViolation[] {
  return [
    ...checkAnswers(evidence),
    ...checkBookings(evidence),
    ...checkUpstreams(evidence),
    ...checkLogs(evidence),
    ...checkPlacements(evidence),
    ...checkConfiguration(evidence),
    ...checkStops(evidence),
    ...checkRecovery(evidence),
  ];
}

/**
 * Whether a response is a refusal, or is broken in the way that an injected
 * fault causes that was active at its router or upstream at the time.
 */
export function isAcceptable(
  answer: UnsuccessfulResponse,
  windows: readonly FaultWindow[],
): boolean {
  const { outcome, router, upstream } = answer;
  if (outcome.kind !== "broken") return true;
  const overlapping = windows.filter(({ fromMs, toMs }) =>
    fromMs <= answer.toMs && toMs >= answer.fromMs
  );
  const isHit = (kinds: readonly ChaosKind[], target: string | undefined) =>
    overlapping.some((window) =>
      kinds.includes(window.kind) && window.target === target
    );
  switch (outcome.breakage) {
    case "connection":
      if (outcome.detail === "ECONNREFUSED") {
        return isHit(["router-killed", "router-stopped"], router);
      }
      return isHit(["router-killed"], router);
    case "cut":
      return isHit(["router-killed"], router);
    case "error-event":
      return isHit(UPSTREAM_LOSS_KINDS, upstream);
    default:
      return false;
  }
}

function checkAnswers({ answers, windows }: ChaosEvidence): ChaosViolation[] {
  const unacceptable = answers.filter((answer) =>
    !isAcceptable(answer, windows)
  );
  const internal = answers.filter(({ outcome }) =>
    outcome.kind === "refused" && outcome.code === "internal"
  );
  return [...unacceptable, ...internal].map((answer) => ({
    check: "answers are whole or refused honestly",
    detail: JSON.stringify(answer),
  }));
}

function checkBookings({ load, recovery }: ChaosEvidence): ChaosViolation[] {
  const violations: ChaosViolation[] = [];
  for (const { bookingRuns } of [load, recovery]) {
    if (bookingRuns === undefined) continue;
    const { ranTwice, ranThoughRefused, missing } = bookingRuns;
    addViolations(violations, "a booking runs at most once", ranTwice);
    addViolations(
      violations,
      "what is refused as not run did not run",
      ranThoughRefused,
    );
    addViolations(violations, "a booking that was answered ran", missing);
  }
  return violations;
}

function checkUpstreams({ upstreams }: ChaosEvidence): ChaosViolation[] {
  const violations: ChaosViolation[] = [];
  for (const { upstream, coldLimit, record } of upstreams) {
    const { falls, fallLog, maxInFlightCold, lastAfterLeavingMs } = record;
    if (falls > 0) {
      const detail = `${upstream}: ${JSON.stringify(fallLog)}`;
      violations.push({ check: "no upstream falls over", detail });
    }
    if (maxInFlightCold > coldLimit) {
      const detail = `${upstream}: ${maxInFlightCold} for ${coldLimit}`;
      violations.push({ check: "a cold upstream is spared", detail });
    }
    if (lastAfterLeavingMs > MAX_REMOVAL_DELAY_MS) {
      const detail = `${upstream}: ${lastAfterLeavingMs} ms`;
      violations.push({ check: "a leaving upstream gets no new work", detail });
    }
  }
  return violations;
}

function checkLogs({ logs }: ChaosEvidence): ChaosViolation[] {
  const violations: ChaosViolation[] = [];
  for (const { process, versions, breaches, failures } of logs) {
    addViolations(violations, "invariants hold", breaches);
    addViolations(violations, "no part of a router fails", failures);
    const isIncreasing = versions.every((version, index) =>
      index === 0 || version > versions[index - 1]!
    );
    if (isIncreasing) continue;
    const detail = `${process}: ${versions.join(", ")}`;
    violations.push({ check: "versions never step back", detail });
  }
  return violations;
}

function checkPlacements(
  { logs, windows, upstreamsByGroup }: ChaosEvidence,
): ChaosViolation[] {
  const removals = windows.filter(({ kind }) =>
    kind === "failure-domain-out" || kind === "host-leaving"
  );
  return logs.flatMap(({ process, placements }) =>
    placements.flatMap(({ atMs, upstream, requestId }) =>
      removals
        .filter(({ target, fromMs, toMs }) =>
          upstreamsByGroup.get(target)?.includes(upstream) &&
          atMs > fromMs + MAX_REMOVAL_DELAY_MS && atMs < toMs
        )
        .map(({ target, fromMs }) => ({
          check: "what is out gets no new work",
          detail: `${process} placed ${requestId} on ${upstream} ` +
            `${atMs - fromMs} ms after ${target} went out`,
        }))
    )
  );
}

function checkConfiguration(evidence: ChaosEvidence): ChaosViolation[] {
  const { accepted, history, versions, conflictingCommits } = evidence;
  const violations: ChaosViolation[] = [];
  addViolations(
    violations,
    "of two conflicting changes one wins",
    conflictingCommits,
  );
  const missing = accepted.filter((change) => !isInHistory(change, history));
  const described = missing.map((change) => JSON.stringify(change));
  addViolations(violations, "an accepted change stays", described);
  const head = history[0]?.version ?? 0;
  for (const [router, version] of versions) {
    if (version === head) continue;
    const detail = `${router}: ${version} for ${head}`;
    violations.push({
      check: "every router reaches the newest version",
      detail,
    });
  }
  return violations;
}

function isInHistory(
  { version, author, change }: AcceptedChange,
  history: ChaosEvidence["history"],
): boolean {
  const entry = history.find((each) => each.version === version);
  if (entry === undefined) return false;
  const isSame = JSON.stringify(entry.change) === JSON.stringify(change);
  return entry.author === author && isSame;
}

function checkStops({ stops }: ChaosEvidence): ChaosViolation[] {
  return stops
    .filter(({ exitCode }) => exitCode !== 0)
    .map(({ router, exitCode }) => ({
      check: "a planned stop ends gracefully",
      detail: `${router} ended with ${exitCode}`,
    }));
}

function checkRecovery({ recovery }: ChaosEvidence): ChaosViolation[] {
  const { chats, bookings } = recovery;
  return [chats, bookings].flatMap((kind, index) => {
    if (kind.whole === kind.sent && kind.sent > 0) return [];
    const label = index === 0 ? "chats" : "bookings";
    const detail = `${label}: ${JSON.stringify(summarise(kind))}`;
    return [{ check: "service is whole once the faults have ended", detail }];
  });
}

function summarise({ sent, whole, refused, brokenSamples }: OutcomeReport) {
  return { sent, whole, refused, brokenSamples };
}

function addViolations(
  violations: ChaosViolation[],
  check: string,
  details: readonly string[],
): void {
  for (const detail of details) violations.push({ check, detail });
}
