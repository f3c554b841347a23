/** Targets, stated before measuring, and whether a run meets them. */
import type { FleetFigures } from "./measure_fleet.ts";
import type { RunFigures } from "./measure_run.ts";

/** One figure beside its target. */
export interface Verdict {
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** Absent for a figure that is shown without a target. */
  readonly target: Target | undefined;
  readonly isMet: boolean | undefined;
}

/** What a figure has to keep. */
export interface Target {
  readonly kind: "at-least" | "at-most";
  readonly bound: number;
}

const STEADY_REUSE = 0.95;
const CHURN_REUSE = 0.85;
const CONTROL_BYTES_PER_SECOND = 4_096;
const CONTROL_CORE_SHARE = 0.023;
const CONTROL_MEGABYTES = 32;
const LAST_NEW_WORK_MS = 2_000;
const REFUSED_SHARE = 0.001;
const ADDED_P50_MS = 1;
const ADDED_P99_MS = 5;
const REQUESTS_PER_SECOND = 19;
const TOKENS_PER_SECOND = 5_800;
const MEGABYTE = 1_048_576;

/** Options of a judgement. */
export interface JudgeOptions {
  readonly fleet: FleetFigures;
  readonly bound: RunFigures;
  /** Resident memory of a process that does nothing, in bytes. */
  readonly bareBytes: number;
}

/** Judges every figure of a deployment. */
export function judgeTargets(options: JudgeOptions): Verdict[] {
  return [
    ...judgeReuse(options),
    ...judgeSkew(options),
    ...judgeControl(options),
    ...judgeDomain(options),
    ...judgeLatency(options),
    ...judgeCost(options),
    ...judgeSafety(options),
  ];
}

/** Whether a value keeps a target. */
export function isMet(value: number, { kind, bound }: Target): boolean {
  return kind === "at-least" ? value >= bound : value <= bound;
}

function judgeReuse({ fleet, bound }: JudgeOptions): Verdict[] {
  return [
    atLeast("cache reuse, steady, of the bound", "", {
      value: fleet.steady.reuse / bound.steady.reuse,
      bound: STEADY_REUSE,
    }),
    atLeast("cache reuse, churn, of the bound", "", {
      value: fleet.churn.reuse / bound.churn.reuse,
      bound: CHURN_REUSE,
    }),
    shown("cache reuse, steady", "", fleet.steady.reuse),
    shown("cache reuse, churn", "", fleet.churn.reuse),
  ];
}

function judgeSkew({ fleet }: JudgeOptions): Verdict[] {
  return [
    atMost("in flight over ceil(c x mean), worst admission", "", {
      value: fleet.admission.worstOfLimit,
      bound: 1,
    }),
    shown("skew max/mean, p99 of engine samples", "", fleet.skew.p99),
    shown("wait for room, p99", "ms", fleet.admission.waitedP99Ms),
  ];
}

function judgeControl({ fleet, bareBytes }: JudgeOptions): Verdict[] {
  const { control, use } = fleet;
  return [
    atMost("control bytes on the wire, steady", "B/s", {
      value: control.steady.onWire,
      bound: CONTROL_BYTES_PER_SECOND,
    }),
    atMost("control bytes on the wire, idle", "B/s", {
      value: control.idle.onWire,
      bound: CONTROL_BYTES_PER_SECOND,
    }),
    shown("control payload, steady", "B/s", control.steady.payload),
    shown(
      "calls at the key-value service, fleet",
      "/s",
      control.idle.keyValueCalls,
    ),
    atMost("processor for control (idle router, worst)", "core", {
      value: use.idle.worstCoreShare,
      bound: CONTROL_CORE_SHARE,
    }),
    atMost("memory for control (fresh, less a bare process)", "MB", {
      value: (use.fresh.residentBytes - bareBytes) / MEGABYTE,
      bound: CONTROL_MEGABYTES,
    }),
    shown(
      "resident memory after the load, worst",
      "MB",
      use.idle.worstResidentBytes / MEGABYTE,
    ),
  ];
}

function judgeDomain({ fleet }: JudgeOptions): Verdict[] {
  const { domainOut } = fleet;
  const domain = fleet.domain!;
  return [
    atMost("last new work in the domain after take-out", "ms", {
      value: domainOut.lastNewWorkMs,
      bound: LAST_NEW_WORK_MS,
    }),
    atMost("lost while the domain leaves and returns", "", {
      value: domain.broken,
      bound: 0,
    }),
    atMost("refused while the domain leaves and returns", "", {
      value: domain.refused / Math.max(1, domain.sent),
      bound: REFUSED_SHARE,
    }),
    shown("first token p99, steady", "ms", fleet.steady.firstTokenMs.p99),
    shown("first token p99, domain out", "ms", domain.firstTokenMs.p99),
  ];
}

function judgeLatency({ fleet }: JudgeOptions): Verdict[] {
  const { chat, plain } = fleet.latency;
  return [
    atMost("added latency p50, chat", "ms", {
      value: chat.addedP50Ms,
      bound: ADDED_P50_MS,
    }),
    atMost("added latency p99, chat", "ms", {
      value: chat.addedP99Ms,
      bound: ADDED_P99_MS,
    }),
    atMost("added latency p50, plain", "ms", {
      value: plain.addedP50Ms,
      bound: ADDED_P50_MS,
    }),
    atMost("added latency p99, plain", "ms", {
      value: plain.addedP99Ms,
      bound: ADDED_P99_MS,
    }),
  ];
}

function judgeCost({ fleet }: JudgeOptions): Verdict[] {
  const { cost } = fleet;
  return [
    atLeast("requests a core carries at the two-year mix", "/s", {
      value: cost.requestsPerCoreSecond,
      bound: REQUESTS_PER_SECOND,
    }),
    atLeast("tokens a core carries at the two-year mix", "/s", {
      value: cost.tokensPerCoreSecond,
      bound: TOKENS_PER_SECOND,
    }),
    shown("processor time of a request, both hops", "ms", cost.cpuMsPerRequest),
    shown("processor time of a token, both hops", "us", cost.cpuUsPerToken),
  ];
}

function judgeSafety({ fleet }: JudgeOptions): Verdict[] {
  const { bookingRuns, bookings } = fleet.load;
  return [
    atMost("bookings run twice", "", {
      value: bookingRuns?.ranTwice.length ?? 0,
      bound: 0,
    }),
    atMost("bookings run though refused as not run", "", {
      value: bookingRuns?.ranThoughRefused.length ?? 0,
      bound: 0,
    }),
    shown(
      "bookings answered whole",
      "",
      bookings.whole / Math.max(1, bookings.sent),
    ),
    atMost("engines that fell over", "", {
      value: fleet.falls.falls,
      bound: 0,
    }),
    atMost("breaches of invariants", "", {
      value: fleet.invariantBreaches,
      bound: 0,
    }),
    shown("answers broken in churn", "", fleet.churn.broken),
  ];
}

function atLeast(
  figure: string,
  unit: string,
  { value, bound }: { value: number; bound: number },
): Verdict {
  const target: Target = { kind: "at-least", bound };
  return { figure, unit, value, target, isMet: isMet(value, target) };
}

function atMost(
  figure: string,
  unit: string,
  { value, bound }: { value: number; bound: number },
): Verdict {
  const target: Target = { kind: "at-most", bound };
  return { figure, unit, value, target, isMet: isMet(value, target) };
}

function shown(figure: string, unit: string, value: number): Verdict {
  return { figure, unit, value, target: undefined, isMet: undefined };
}
