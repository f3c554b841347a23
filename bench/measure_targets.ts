/** Targets of the measurement, set in advance, and whether a run meets them. */
import type { FleetFigures } from "./measure_fleet.ts";
import type { RunFigures } from "./measure_run.ts";

/** One figure compared with its target. */
export interface Verdict {
  readonly figure: string;
  readonly value: number;
  readonly unit: string;
  /** Absent for a figure that is reported without a target. */
  readonly target: Target | undefined;
  readonly isMet: boolean | undefined;
}

/** Lower or upper bound of a figure; the bound itself is allowed. */
export interface Target {
  readonly kind: "at-least" | "at-most";
  readonly bound: number;
}

const MIN_STEADY_REUSE_RATIO = 0.95;
const MIN_CHURN_REUSE_RATIO = 0.85;
const MAX_CONTROL_BYTES_PER_SECOND = 4_096;
const MAX_CONTROL_CORE_SHARE = 0.023;
const MAX_CONTROL_MEGABYTES = 32;
const MAX_LAST_NEW_WORK_MS = 2_000;
const MAX_REFUSED_SHARE = 0.001;
const MAX_ADDED_P50_MS = 1;
const MAX_ADDED_P99_MS = 5;
const MIN_REQUESTS_PER_SECOND = 19;
const MIN_TOKENS_PER_SECOND = 5_800;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Options of `evaluateTargets`. */
export interface TargetOptions {
  readonly fleet: FleetFigures;
  readonly bound: RunFigures;
  /** Resident memory of an idle process, in bytes. */
  readonly bareBytes: number;
}

/** Compares the figures of a deployment with their targets. */
export function evaluateTargets(options: TargetOptions): Verdict[] {
  return [
    ...evaluateReuse(options),
    ...evaluateSkew(options),
    ...evaluateControl(options),
    ...evaluateDomain(options),
    ...evaluateLatency(options),
    ...evaluateCost(options),
    ...evaluateSafety(options),
  ];
}

/** Returns whether a value meets a target. */
export function isMet(value: number, { kind, bound }: Target): boolean {
  return kind === "at-least" ? value >= bound : value <= bound;
}

function evaluateReuse({ fleet, bound }: TargetOptions): Verdict[] {
  return [
    atLeast("cache reuse, steady, of the bound", "", {
      value: fleet.steady.reuse / bound.steady.reuse,
      bound: MIN_STEADY_REUSE_RATIO,
    }),
    atLeast("cache reuse, churn, of the bound", "", {
      value: fleet.churn.reuse / bound.churn.reuse,
      bound: MIN_CHURN_REUSE_RATIO,
    }),
    withoutTarget("cache reuse, steady", "", fleet.steady.reuse),
    withoutTarget("cache reuse, churn", "", fleet.churn.reuse),
  ];
}

function evaluateSkew({ fleet }: TargetOptions): Verdict[] {
  return [
    atMost("in flight over ceil(c x mean), worst admission", "", {
      value: fleet.admission.worstOfLimit,
      bound: 1,
    }),
    withoutTarget("skew max/mean, p99 of engine samples", "", fleet.skew.p99),
    withoutTarget("wait for room, p99", "ms", fleet.admission.waitedP99Ms),
  ];
}

function evaluateControl({ fleet, bareBytes }: TargetOptions): Verdict[] {
  const { control, use } = fleet;
  return [
    atMost("control bytes on the wire, steady", "B/s", {
      value: control.steady.onWire,
      bound: MAX_CONTROL_BYTES_PER_SECOND,
    }),
    atMost("control bytes on the wire, idle", "B/s", {
      value: control.idle.onWire,
      bound: MAX_CONTROL_BYTES_PER_SECOND,
    }),
    withoutTarget("control payload, steady", "B/s", control.steady.payload),
    withoutTarget(
      "calls at the key-value service, fleet",
      "/s",
      control.idle.keyValueCalls,
    ),
    atMost("processor for control (idle router, worst)", "core", {
      value: use.idle.worstCoreShare,
      bound: MAX_CONTROL_CORE_SHARE,
    }),
    atMost("memory for control (fresh, less a bare process)", "MB", {
      value: (use.fresh.residentBytes - bareBytes) / BYTES_PER_MEGABYTE,
      bound: MAX_CONTROL_MEGABYTES,
    }),
    withoutTarget(
      "resident memory after the load, worst",
      "MB",
      use.idle.worstResidentBytes / BYTES_PER_MEGABYTE,
    ),
  ];
}

function evaluateDomain({ fleet }: TargetOptions): Verdict[] {
  const { domainOut } = fleet;
  const domain = fleet.domain!;
  return [
    atMost("last new work in the domain after take-out", "ms", {
      value: domainOut.lastNewWorkMs,
      bound: MAX_LAST_NEW_WORK_MS,
    }),
    atMost("lost while the domain leaves and returns", "", {
      value: domain.broken,
      bound: 0,
    }),
    atMost("refused while the domain leaves and returns", "", {
      value: domain.refused / Math.max(1, domain.sent),
      bound: MAX_REFUSED_SHARE,
    }),
    withoutTarget(
      "first token p99, steady",
      "ms",
      fleet.steady.firstTokenMs.p99,
    ),
    withoutTarget("first token p99, domain out", "ms", domain.firstTokenMs.p99),
  ];
}

function evaluateLatency({ fleet }: TargetOptions): Verdict[] {
  const { chat, plain } = fleet.latency;
  return [
    atMost("added latency p50, chat", "ms", {
      value: chat.addedP50Ms,
      bound: MAX_ADDED_P50_MS,
    }),
    atMost("added latency p99, chat", "ms", {
      value: chat.addedP99Ms,
      bound: MAX_ADDED_P99_MS,
    }),
    atMost("added latency p50, plain", "ms", {
      value: plain.addedP50Ms,
      bound: MAX_ADDED_P50_MS,
    }),
    atMost("added latency p99, plain", "ms", {
      value: plain.addedP99Ms,
      bound: MAX_ADDED_P99_MS,
    }),
  ];
}

function evaluateCost({ fleet }: TargetOptions): Verdict[] {
  const { cost } = fleet;
  return [
    atLeast("requests a core carries at the two-year mix", "/s", {
      value: cost.requestsPerCoreSecond,
      bound: MIN_REQUESTS_PER_SECOND,
    }),
    atLeast("tokens a core carries at the two-year mix", "/s", {
      value: cost.tokensPerCoreSecond,
      bound: MIN_TOKENS_PER_SECOND,
    }),
    withoutTarget(
      "processor time of a request, both hops",
      "ms",
      cost.cpuMsPerRequest,
    ),
    withoutTarget(
      "processor time of a token, both hops",
      "us",
      cost.cpuUsPerToken,
    ),
  ];
}

function evaluateSafety({ fleet }: TargetOptions): Verdict[] {
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
    withoutTarget(
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
    withoutTarget("answers broken in churn", "", fleet.churn.broken),
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

function withoutTarget(figure: string, unit: string, value: number): Verdict {
  return { figure, unit, value, target: undefined, isMet: undefined };
}
