/** Judges a run under faults by what must always hold. */
import type { ChaosKind } from "../testing/chaos_schedule.ts";
import type {
  AcceptedChange,
  ChaosAnswer,
  ChaosEvidence,
  ChaosWindow,
} from "./chaos_evidence.ts";
import type { KindReport } from "./load/report.ts";

/** Something that must not have happened. */
export interface ChaosFault {
  readonly check: string;
  readonly detail: string;
}

/** Time in which routers may go on using what has been taken out. */
const OUT_LIMIT_MS = 5_000;
const LOST_UPSTREAM: readonly ChaosKind[] = [
  "engine-killed",
  "link-cut",
  "link-cut-to-upstream",
  "link-cut-to-router",
];

/** Lists the faults; empty if all held. */
export function judgeChaos(evidence: ChaosEvidence): ChaosFault[] {
  return [
    ...judgeAnswers(evidence),
    ...judgeBookings(evidence),
    ...judgeUpstreams(evidence),
    ...judgeLogs(evidence),
    ...judgePlacements(evidence),
    ...judgeConfiguration(evidence),
    ...judgeStops(evidence),
    ...judgeRecovery(evidence),
  ];
}

/** Whether a broken answer is the caller's view of a fault that was made. */
export function isExcused(
  answer: ChaosAnswer,
  windows: readonly ChaosWindow[],
): boolean {
  const { outcome, router, upstream } = answer;
  if (outcome.kind !== "broken") return true;
  const during = windows.filter(({ fromMs, toMs }) =>
    fromMs <= answer.toMs && toMs >= answer.fromMs
  );
  const isHit = (kinds: readonly ChaosKind[], target: string | undefined) =>
    during.some((window) =>
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
      return isHit(LOST_UPSTREAM, upstream);
    default:
      return false;
  }
}

function judgeAnswers({ answers, windows }: ChaosEvidence): ChaosFault[] {
  const unexcused = answers.filter((answer) => !isExcused(answer, windows));
  const internal = answers.filter(({ outcome }) =>
    outcome.kind === "refused" && outcome.code === "internal"
  );
  return [...unexcused, ...internal].map((answer) => ({
    check: "answers are whole or refused honestly",
    detail: JSON.stringify(answer),
  }));
}

function judgeBookings({ load, recovery }: ChaosEvidence): ChaosFault[] {
  const faults: ChaosFault[] = [];
  for (const { bookingRuns } of [load, recovery]) {
    if (bookingRuns === undefined) continue;
    const { ranTwice, ranThoughRefused, missing } = bookingRuns;
    addEach(faults, "a booking runs at most once", ranTwice);
    addEach(faults, "what is refused as not run did not run", ranThoughRefused);
    addEach(faults, "a booking that was answered ran", missing);
  }
  return faults;
}

function judgeUpstreams({ upstreams }: ChaosEvidence): ChaosFault[] {
  const faults: ChaosFault[] = [];
  for (const { upstream, coldLimit, record } of upstreams) {
    const { falls, fallLog, maxInFlightCold, lastAfterLeavingMs } = record;
    if (falls > 0) {
      const detail = `${upstream}: ${JSON.stringify(fallLog)}`;
      faults.push({ check: "no upstream falls over", detail });
    }
    if (maxInFlightCold > coldLimit) {
      const detail = `${upstream}: ${maxInFlightCold} for ${coldLimit}`;
      faults.push({ check: "a cold upstream is spared", detail });
    }
    if (lastAfterLeavingMs > OUT_LIMIT_MS) {
      const detail = `${upstream}: ${lastAfterLeavingMs} ms`;
      faults.push({ check: "a leaving upstream gets no new work", detail });
    }
  }
  return faults;
}

function judgeLogs({ logs }: ChaosEvidence): ChaosFault[] {
  const faults: ChaosFault[] = [];
  for (const { process, versions, breaches, failures } of logs) {
    addEach(faults, "invariants hold", breaches);
    addEach(faults, "no part of a router fails", failures);
    const isRising = versions.every((version, index) =>
      index === 0 || version > versions[index - 1]!
    );
    if (isRising) continue;
    const detail = `${process}: ${versions.join(", ")}`;
    faults.push({ check: "versions never step back", detail });
  }
  return faults;
}

function judgePlacements(
  { logs, windows, upstreamsOf }: ChaosEvidence,
): ChaosFault[] {
  const out = windows.filter(({ kind }) =>
    kind === "failure-domain-out" || kind === "host-leaving"
  );
  return logs.flatMap(({ process, placements }) =>
    placements.flatMap(({ atMs, upstream, requestId }) =>
      out
        .filter(({ target, fromMs, toMs }) =>
          upstreamsOf.get(target)?.includes(upstream) &&
          atMs > fromMs + OUT_LIMIT_MS && atMs < toMs
        )
        .map(({ target, fromMs }) => ({
          check: "what is out gets no new work",
          detail: `${process} placed ${requestId} on ${upstream} ` +
            `${atMs - fromMs} ms after ${target} went out`,
        }))
    )
  );
}

function judgeConfiguration(evidence: ChaosEvidence): ChaosFault[] {
  const { accepted, history, versions, doubleWins } = evidence;
  const faults: ChaosFault[] = [];
  addEach(faults, "of two conflicting changes one wins", doubleWins);
  const lost = accepted.filter((change) => !isInHistory(change, history));
  const described = lost.map((change) => JSON.stringify(change));
  addEach(faults, "an accepted change stays", described);
  const head = history[0]?.version ?? 0;
  for (const [router, version] of versions) {
    if (version === head) continue;
    const detail = `${router}: ${version} for ${head}`;
    faults.push({ check: "every router reaches the newest version", detail });
  }
  return faults;
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

function judgeStops({ stops }: ChaosEvidence): ChaosFault[] {
  return stops
    .filter(({ exitCode }) => exitCode !== 0)
    .map(({ router, exitCode }) => ({
      check: "a planned stop ends gracefully",
      detail: `${router} ended with ${exitCode}`,
    }));
}

function judgeRecovery({ recovery }: ChaosEvidence): ChaosFault[] {
  const { chats, bookings } = recovery;
  return [chats, bookings].flatMap((kind, index) => {
    if (kind.whole === kind.sent && kind.sent > 0) return [];
    const what = index === 0 ? "chats" : "bookings";
    const detail = `${what}: ${JSON.stringify(summarise(kind))}`;
    return [{ check: "service is whole once the faults have ended", detail }];
  });
}

function summarise({ sent, whole, refused, brokenSamples }: KindReport) {
  return { sent, whole, refused, brokenSamples };
}

function addEach(
  faults: ChaosFault[],
  check: string,
  details: readonly string[],
): void {
  for (const detail of details) faults.push({ check, detail });
}
