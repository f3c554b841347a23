/**
 * What a pool keeps of one of its upstreams beside its capacity share.
 */
import type { Service, Upstream } from "../config/manifest.ts";
import { type ColdStart, createColdStart } from "../policy/cold_start.ts";
import type { LoadReport } from "../types.ts";

const SMOOTHING = 0.1;
const INITIAL_SERVICE_MS = 500;
const INITIAL_MS_PER_TOKEN = 0.2;
/** Fewer computed tokens tell little of the time that one takes. */
const MIN_SAMPLE_TOKENS = 64;

/** State of one upstream in a pool. */
export interface UpstreamState {
  /** Stable number of the upstream in its pool's directory. */
  readonly index: number;
  service: Service;
  upstream: Upstream;
  coldStart: ColdStart;
  /** False once the manifest no longer names it. */
  isListed: boolean;
  /** The upstream's own word that it leaves. */
  isLeaving: boolean;
  incarnation: string | undefined;
  /** Earliest time at which the newest report may have been made. */
  reportedAt: number;
  isPollOutstanding: boolean;
  polledAt: number;
  /** Attempts that ended well. */
  answers: number;
  /** Smoothed duration of a finished attempt, milliseconds. */
  serviceMs: number;
  /** Smoothed time to compute one prompt token, milliseconds. */
  msPerPromptToken: number;
}

/** Creates the state of an upstream that nothing is known of. */
export function createUpstreamState(
  service: Service,
  upstream: Upstream,
  { index }: { index: number },
): UpstreamState {
  return {
    index,
    service,
    upstream,
    coldStart: createColdStart(upstream),
    isListed: true,
    isLeaving: false,
    incarnation: undefined,
    reportedAt: -Infinity,
    isPollOutstanding: false,
    polledAt: -Infinity,
    answers: 0,
    serviceMs: INITIAL_SERVICE_MS,
    msPerPromptToken: INITIAL_MS_PER_TOKEN,
  };
}

/** Takes a new description over; another limit starts the ramp anew. */
export function describe(
  state: UpstreamState,
  { service, upstream }: { service: Service; upstream: Upstream },
): void {
  const old = state.upstream;
  const isSame = old.hardLimit === upstream.hardLimit &&
    old.coldLimit === upstream.coldLimit && old.address === upstream.address;
  if (!isSame) state.coldStart = createColdStart(upstream);
  state.service = service;
  state.upstream = upstream;
  state.isListed = true;
}

/** Notes a report; returns whether the upstream has a new incarnation. */
export function noteReport(
  state: UpstreamState,
  report: LoadReport,
  { askedAt, now }: { askedAt: number; now: number },
): boolean {
  const madeAt = askedAt - report.ageMs;
  const isNew = state.incarnation !== undefined &&
    state.incarnation !== report.incarnation;
  // A report that was overtaken must not bring an old incarnation back.
  if (madeAt < state.reportedAt) return false;
  state.reportedAt = madeAt;
  state.incarnation = report.incarnation;
  state.isLeaving = report.leaving;
  state.coldStart.onReport(report, now);
  return isNew;
}

/** Time to first byte of a pool's answers, apart from their prompts. */
export interface FirstByteModel {
  /** Smoothed time that is left after the prompt's share, milliseconds. */
  baseMs: number;
  /** Smoothed time to compute one prompt token, milliseconds. */
  msPerPromptToken: number;
}

/** Creates the model of a pool that has seen no answer. */
export function createFirstByteModel(): FirstByteModel {
  return { baseMs: 0, msPerPromptToken: INITIAL_MS_PER_TOKEN };
}

/** Estimates the time to first byte of a prompt. */
export function estimateFirstByteMs(
  { baseMs, msPerPromptToken }: FirstByteModel,
  computedTokens: number,
): number {
  return baseMs + computedTokens * msPerPromptToken;
}

/** Adds an answer to the model. */
export function noteFirstByte(
  model: FirstByteModel,
  { firstByteMs, computedTokens }: {
    firstByteMs: number;
    computedTokens: number;
  },
): void {
  const promptMs = computedTokens * model.msPerPromptToken;
  model.baseMs = smooth(model.baseMs, Math.max(0, firstByteMs - promptMs));
  if (computedTokens < MIN_SAMPLE_TOKENS) return;
  const sample = Math.max(0, firstByteMs - model.baseMs) / computedTokens;
  model.msPerPromptToken = smooth(model.msPerPromptToken, sample);
}

function smooth(mean: number, sample: number): number {
  return mean + SMOOTHING * (sample - mean);
}

/** Notes how long an attempt took and how long its prompt took. */
export function noteTimes(
  state: UpstreamState,
  { totalMs, firstByteMs, computedTokens }: {
    totalMs: number;
    firstByteMs: number | undefined;
    computedTokens: number;
  },
): void {
  state.serviceMs = smooth(state.serviceMs, totalMs);
  if (firstByteMs === undefined || computedTokens < 1) return;
  const sample = firstByteMs / computedTokens;
  state.msPerPromptToken = smooth(state.msPerPromptToken, sample);
}
