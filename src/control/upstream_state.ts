/**
 * State that a pool keeps per upstream, apart from the capacity share.
 */
import type { Service, Upstream } from "../config/manifest.ts";
import { type ColdStart, createColdStart } from "../policy/cold_start.ts";
import type { LoadReport } from "../types.ts";

/** Weight of a new sample in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.1;
const INITIAL_SERVICE_MS = 500;
const INITIAL_MS_PER_TOKEN = 0.2;
/** With fewer computed tokens, the time per token is too imprecise. */
const MIN_SAMPLE_TOKENS = 64;

/** State of one upstream in a pool. */
export interface UpstreamState {
  /** Index of the upstream in its pool's directory; never changes. */
  readonly index: number;
  service: Service;
  upstream: Upstream;
  coldStart: ColdStart;
  /** False once the manifest no longer contains the upstream. */
  isInManifest: boolean;
  /** Whether the upstream reports that it has begun a graceful stop. */
  isLeaving: boolean;
  incarnation: string | undefined;
  /**
   * Earliest monotonic time, in milliseconds, at which the newest report may
   * have been created.
   */
  reportedAt: number;
  isPollOutstanding: boolean;
  /** Monotonic time of the last poll, in milliseconds. */
  polledAt: number;
  /** Number of attempts that have succeeded. */
  answers: number;
  /** Moving average of the duration of a finished attempt, in milliseconds. */
  serviceMs: number;
  /** Moving average of the time to compute a prompt token, in milliseconds. */
  msPerPromptToken: number;
}

/** Creates the state of an upstream that has not reported yet. */
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
    isInManifest: true,
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

/**
 * Applies the manifest's entry of an upstream. A change of the limits or the
 * address restarts the cold start.
 */
export function applyManifestEntry(
  state: UpstreamState,
  { service, upstream }: { service: Service; upstream: Upstream },
): void {
  const previous = state.upstream;
  const keepsColdStart = previous.hardLimit === upstream.hardLimit &&
    previous.coldLimit === upstream.coldLimit &&
    previous.address === upstream.address;
  if (!keepsColdStart) state.coldStart = createColdStart(upstream);
  state.service = service;
  state.upstream = upstream;
  state.isInManifest = true;
}

/**
 * Records a load report. `askedAt` is the time at which the request that it
 * answers was sent. Returns whether the upstream has a new incarnation.
 */
export function recordReport(
  state: UpstreamState,
  report: LoadReport,
  { askedAt, now }: { askedAt: number; now: number },
): boolean {
  const madeAt = askedAt - report.ageMs;
  const hasNewIncarnation = state.incarnation !== undefined &&
    state.incarnation !== report.incarnation;
  // Ignore a report that arrives after a newer one, as it could restore an
  // old incarnation.
  if (madeAt < state.reportedAt) return false;
  state.reportedAt = madeAt;
  state.incarnation = report.incarnation;
  state.isLeaving = report.leaving;
  state.coldStart.recordReport(report, now);
  return hasNewIncarnation;
}

/** Linear model of a pool's time to first byte by computed prompt tokens. */
export interface FirstByteModel {
  /** Moving average of the time not spent on the prompt, in milliseconds. */
  baseMs: number;
  /** Moving average of the time to compute a prompt token, in milliseconds. */
  msPerPromptToken: number;
}

/** Creates the model of a pool that has received no answer yet. */
export function createFirstByteModel(): FirstByteModel {
  return { baseMs: 0, msPerPromptToken: INITIAL_MS_PER_TOKEN };
}

/** Estimates the time to first byte of a prompt, in milliseconds. */
export function estimateFirstByteMs(
  { baseMs, msPerPromptToken }: FirstByteModel,
  computedTokens: number,
): number {
  return baseMs + computedTokens * msPerPromptToken;
}

/** Updates the model with an answer. */
export function recordFirstByte(
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
  return mean + SMOOTHING_FACTOR * (sample - mean);
}

/** Updates the averages of an upstream with a finished attempt. */
export function recordAttemptTimes(
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
