/**
 * Decides the phase of a rollout order, and which versions a request may use in
 * each phase.
 *
 * Load pattern: an order moves a service to a version that may be bad, while
 * routers restart, the store is down or orders replace each other.
 */
import type {
  RolloutOrder,
  RolloutPhase,
  RolloutRecord,
  VersionRule,
} from "../routing/types.ts";

/** What is known of an order. */
export interface RolloutState {
  /** Undefined if the order was removed. */
  readonly order: RolloutOrder | undefined;
  /** Record of the service, of this order or of an earlier one. */
  readonly record: RolloutRecord | undefined;
  readonly verdict: "bad" | "good" | "undecided";
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  /** Time that the requests in flight need to end, in milliseconds. */
  readonly moveMs: number;
  /** Whether no router has a request in flight at another version. */
  readonly isOthersIdle: boolean;
  /** Registered upstreams of the target. */
  readonly targetUpstreams: number;
  /** Registered upstreams of other versions, without untested versions. */
  readonly otherUpstreams: number;
  /** Whether there were any of these since the order. */
  readonly hadOthers: boolean;
}

/** A change of the phase that is to be written. */
export interface RolloutStep {
  readonly phase: RolloutPhase;
  readonly reason: string;
}

/** What the rule for a request depends on. */
export interface VersionRuleState {
  readonly order: RolloutOrder | undefined;
  readonly record: RolloutRecord | undefined;
  /**
   * Whether the request may use credit of `CanaryShare`; if it is bound to the
   * target, that of bound requests.
   */
  readonly hasCredit: boolean;
  /** Whether a bad verdict is known. */
  readonly isBad: boolean;
  /** Whether this router could not have learned of a verdict. */
  readonly isStale: boolean;
  /** What `selectCanaryUpstreams` returns. */
  readonly canaryUpstreams: readonly string[];
  /** Versions of the registered upstreams. */
  readonly versions: readonly string[];
  /** Version that the request is bound to; undefined for any. */
  readonly boundVersion: string | undefined;
  /** Whether another version, tested, was registered since the order. */
  readonly hadOthers: boolean;
  /** Targets of replaced orders that were not complete. */
  readonly untested?: readonly string[];
  /**
   * Whether an upstream of the target can be used; by default, whether one is
   * registered.
   */
  readonly isTargetUsable?: boolean;
}

/** Least time for the requests in flight to end, in milliseconds. */
const MIN_MOVE_MS = 2_000;
/** Time for the store and the relays beside that, in milliseconds. */
const MARGIN_MS = 1_500;
/**
 * The same where the verdict is late, in milliseconds: a good version that is
 * rolled back is no better than one that is complete a little late.
 */
const LAST_MARGIN_MS = 500;
/** Least part of an order's time that the trial takes. */
const MIN_TRIAL_PART = 1 / 3;
/**
 * Part of an order's time for which an undecided trial goes on where the move
 * can't be over in time.
 */
const MIN_LAST_PART = 1 / 2;

/** No version: the request is refused as not run. */
const NONE: VersionRule = { kind: "only", versions: [] };
const ANY: VersionRule = { kind: "any" };

/** Returns the next phase of an order; undefined if there is no change. */
export function planRollout(state: RolloutState): RolloutStep | undefined {
  const { order, record } = state;
  if (order === undefined) {
    return record !== undefined && isRunning(record.phase)
      ? { phase: "rolled-back", reason: "the order was removed" }
      : undefined;
  }
  // The order is older than what its routers have agreed on since.
  if (record !== undefined && record.order > order.revision) return undefined;
  const phase = record?.order === order.revision ? record.phase : undefined;
  if (phase !== undefined && !isRunning(phase)) return undefined;
  const isSole = !state.hadOthers && state.otherUpstreams === 0;
  if (isSole && state.targetUpstreams > 0) {
    return planSoleVersion(state, phase);
  }
  if (state.verdict === "bad") {
    return { phase: "rolled-back", reason: "the target is bad" };
  }
  if (phase === undefined) return { phase: "trial", reason: "a new order" };
  const plan = phase === "trial" ? planTrial : planPromotion;
  return plan({ ...state, order });
}

function isRunning(phase: RolloutPhase): boolean {
  return phase === "trial" || phase === "promoting";
}

/** Without another version there is nothing to compare with, or to return to. */
function planSoleVersion(
  { isOthersIdle }: RolloutState,
  phase: RolloutPhase | undefined,
): RolloutStep | undefined {
  const reason = "the target is the only version";
  if (isOthersIdle) return { phase: "complete", reason };
  return phase === "promoting" ? undefined : { phase: "promoting", reason };
}

function planTrial(
  { order, verdict, elapsedMs, moveMs, targetUpstreams }: RolloutState & {
    readonly order: RolloutOrder;
  },
): RolloutStep | undefined {
  const { trialMs, lastMs } = getTrialTimes(order, moveMs);
  if (verdict === "good" && targetUpstreams > 0 && elapsedMs >= trialMs) {
    return { phase: "promoting", reason: "the target is good" };
  }
  if (elapsedMs < lastMs) return undefined;
  const reason = targetUpstreams === 0
    ? "the target has no upstream"
    : "too little evidence in time";
  return { phase: "rolled-back", reason };
}

/**
 * Returns the time from which on a good target is promoted, and that at which
 * one that has not been found good is rolled back, in milliseconds.
 */
export function getTrialTimes(
  { durationMs }: RolloutOrder,
  moveMs: number,
): { readonly trialMs: number; readonly lastMs: number } {
  const leftMs = durationMs - Math.max(MIN_MOVE_MS, moveMs);
  const minTrialMs = durationMs * MIN_TRIAL_PART;
  const isInTime = leftMs - MARGIN_MS >= minTrialMs;
  return {
    trialMs: isInTime ? leftMs - MARGIN_MS : minTrialMs,
    lastMs: isInTime
      ? leftMs - LAST_MARGIN_MS
      : Math.max(leftMs - LAST_MARGIN_MS, durationMs * MIN_LAST_PART),
  };
}

function planPromotion(
  { order, elapsedMs, isOthersIdle, targetUpstreams }: RolloutState & {
    readonly order: RolloutOrder;
  },
): RolloutStep | undefined {
  if (targetUpstreams > 0) {
    return isOthersIdle
      ? { phase: "complete", reason: "all requests go to the target" }
      : undefined;
  }
  return elapsedMs >= order.durationMs
    ? { phase: "rolled-back", reason: "the target has no upstream" }
    : undefined;
}

/**
 * Returns which versions a request may use. If none of the upstreams of a
 * `canary` rule takes it, the rule without credit applies.
 */
export function chooseVersionRule(state: VersionRuleState): VersionRule {
  const { order, record, boundVersion } = state;
  // A record of an earlier order says nothing of this one.
  const current = order !== undefined && record !== undefined &&
      record.order < order.revision
    ? undefined
    : record;
  const target = current?.target ?? order?.target;
  const phase = getEffectivePhase(state, current);
  if (target === undefined || phase === "none") return ANY;
  const rule = choosePhaseRule(phase, { ...state, target });
  if (boundVersion === undefined) return rule;
  const isAllowed = phase === "promoting" ||
    phase === "trial" && boundVersion === target && state.hasCredit ||
    allowsVersion(
      choosePhaseRule(phase, { ...state, target, hasCredit: false }),
      boundVersion,
    );
  return isAllowed ? { kind: "only", versions: [boundVersion] } : NONE;
}

/**
 * Returns the phase by what this router knows beside the record; `barred` if the
 * target must not be used for now.
 */
function getEffectivePhase(
  { order, isBad, isStale }: VersionRuleState,
  record: RolloutRecord | undefined,
): RolloutPhase | "barred" | "none" {
  const phase = record?.phase ?? "trial";
  // The upstreams of other versions stopped when the order was complete.
  if (order === undefined && phase === "complete") return "none";
  if (!isRunning(phase)) return phase;
  if (isBad || order === undefined) return "rolled-back";
  // The credit is that of the order that this router knows.
  const isOutdated = record !== undefined && record.order > order.revision;
  return isStale || isOutdated && phase === "trial" ? "barred" : phase;
}

function choosePhaseRule(
  phase: RolloutPhase | "barred",
  state: VersionRuleState & { readonly target: string },
): VersionRule {
  const { target, versions, hadOthers, hasCredit, canaryUpstreams } = state;
  const { isTargetUsable = versions.includes(target) } = state;
  const untested = (state.untested ?? []).filter((each) => each !== target);
  const others = versions.filter((each) => each !== target);
  const tested = others.filter((each) => !untested.includes(each));
  const withoutTarget: VersionRule = {
    kind: "except",
    versions: [target, ...untested],
  };
  const withTarget: VersionRule = untested.length > 0
    ? { kind: "except", versions: untested }
    : ANY;
  const onlyTarget: VersionRule = { kind: "only", versions: [target] };
  switch (phase) {
    case "complete":
      return others.length > 0 ? onlyTarget : ANY;
    case "rolled-back":
      if (tested.length > 0) return withoutTarget;
      return others.length > 0 ? { kind: "except", versions: [target] } : ANY;
    case "promoting":
      return isTargetUsable ? onlyTarget : withTarget;
    case "trial":
      if (!hadOthers) return withTarget;
      return hasCredit && canaryUpstreams.length > 0
        ? { kind: "canary", target, upstreams: canaryUpstreams }
        : withoutTarget;
    case "barred":
      return hadOthers ? withoutTarget : withTarget;
  }
}

function allowsVersion(rule: VersionRule, version: string): boolean {
  if (rule.kind === "any" || rule.kind === "canary") return true;
  return rule.versions.includes(version) === (rule.kind === "only");
}
