/** Figures by phase of one run through one kind of router. */
import type { LoadReport, Quantiles, SecondCounts } from "./load/report.ts";
import { DurationHistogram } from "./load/report.ts";
import { getSeconds, isWithin, type Phase } from "./measure_phases.ts";
import type { RecordedExchange } from "./measure_recorder.ts";
import type { SkewSample, SkewSummary } from "./measure_skew.ts";

/** Figures of one phase of a run. */
export interface PhaseFigures {
  readonly sent: number;
  readonly whole: number;
  readonly refused: number;
  readonly broken: number;
  readonly prefixTokens: number;
  readonly cachedTokens: number;
  /** `cachedTokens / prefixTokens`; 0 without a returning chat. */
  readonly reuse: number;
  /** Time to the head of streamed chat responses, in milliseconds. */
  readonly firstTokenMs: Quantiles;
}

/** Falls of all engines: simulated crashes, by overload or on request. */
export interface FallFigures {
  readonly falls: number;
  readonly reasons: Readonly<Record<string, number>>;
}

/** Figures of one run. */
export interface RunFigures {
  readonly router: string;
  readonly warm: PhaseFigures;
  readonly steady: PhaseFigures;
  readonly churn: PhaseFigures;
  /** Absent for a router that does not support failure domains. */
  readonly domain: PhaseFigures | undefined;
  readonly skew: SkewSummary;
  readonly skewSamples: readonly SkewSample[];
  readonly falls: FallFigures;
  readonly load: LoadReport;
}

const CHAT_PATH = "/v1/chat/completions";
const MS_PER_SECOND = 1_000;

/** Sums the counts of a phase's seconds. */
export function summarisePhase(
  phase: Phase,
  { timeline, exchanges, started }: {
    timeline: readonly SecondCounts[];
    exchanges: readonly RecordedExchange[];
    started: number;
  },
): PhaseFigures {
  const seconds = timeline.filter(({ second }) => isWithin(phase, second));
  const sum = (count: (second: SecondCounts) => number) =>
    seconds.reduce((total, second) => total + count(second), 0);
  const prefixTokens = sum((each) => each.prefixTokens);
  const cachedTokens = sum((each) => each.cachedTokens);
  return {
    sent: sum((each) => each.sent),
    whole: sum((each) => each.whole),
    refused: sum((each) => each.refused),
    broken: sum((each) => each.broken),
    prefixTokens,
    cachedTokens,
    reuse: prefixTokens === 0 ? 0 : cachedTokens / prefixTokens,
    firstTokenMs: getFirstTokenQuantiles(phase, { exchanges, started }),
  };
}

function getFirstTokenQuantiles(
  phase: Phase,
  { exchanges, started }: {
    exchanges: readonly RecordedExchange[];
    started: number;
  },
): Quantiles {
  const times = new DurationHistogram();
  for (const { path, sentAt, isStream, headMs } of exchanges) {
    const second = (sentAt - started) / MS_PER_SECOND;
    if (path !== CHAT_PATH || !isStream || headMs === undefined) continue;
    if (isWithin(phase, second)) times.record(headMs);
  }
  return times.getQuantiles();
}

/** Returns the requests per second of a phase. */
export function getRate(phase: Phase, { sent }: PhaseFigures): number {
  return sent / getSeconds(phase);
}
