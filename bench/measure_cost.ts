/**
 * Measures the routers' processor time per request and per token, with two
 * loads whose responses differ in length. A forwarded request counts both hops.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet } from "../testing/fleet.ts";
import { type LoadOptions, runLoad } from "./load/run_load.ts";
import { getCpuSeconds, readRouters } from "./measure_control.ts";

/** Processor cost of the data path. */
export interface CostFigures {
  readonly cpuMsPerRequest: number;
  readonly cpuUsPerToken: number;
  /** Tokens per second that one core can serve at the mix of `PEAK_LOAD`. */
  readonly tokensPerCoreSecond: number;
  /** Requests per second that one core can serve at the mix of `PEAK_LOAD`. */
  readonly requestsPerCoreSecond: number;
  /** Share of a core that the load of `PEAK_LOAD` uses. */
  readonly coreShareAtPeak: number;
  readonly samples: readonly CostSample[];
}

/** Figures of one load. */
export interface CostSample {
  readonly requests: number;
  readonly tokens: number;
  readonly cpuSeconds: number;
}

/** Peak load of a node at the size expected in two years. */
export const PEAK_LOAD = {
  requestsPerSecond: 19,
  tokensPerSecond: 5_800,
} as const;

const SAMPLE_LOADS = [
  { rate: 120, answerTokens: 4 },
  { rate: 30, answerTokens: 100 },
] as const;
const US_PER_SECOND = 1_000_000;
const MS_PER_SECOND = 1_000;
const SETTLE_MS = 500;

/** Options of the cost measurement. */
export interface CostOptions {
  readonly fleet: Fleet;
  readonly pids: readonly number[];
  readonly load: Omit<LoadOptions, "routers">;
  readonly seconds: number;
  /** Share of a core that an idle router uses. */
  readonly idleCoreShare: number;
}

/** Runs two loads and computes the cost per request and per token. */
export async function measureCost(options: CostOptions): Promise<CostFigures> {
  const samples: CostSample[] = [];
  for (const [index, load] of SAMPLE_LOADS.entries()) {
    samples.push(await runSample(options, { ...load, index }));
  }
  const [fewTokens, manyTokens] = samples as [CostSample, CostSample];
  return { ...solveCosts(fewTokens, manyTokens), samples };
}

async function runSample(
  { fleet, pids, load, seconds, idleCoreShare }: CostOptions,
  { rate, answerTokens, index }: {
    rate: number;
    answerTokens: number;
    index: number;
  },
): Promise<CostSample> {
  const start = await readRouters(fleet, pids);
  const report = await runLoad({
    ...load,
    routers: fleet.addresses,
    // The seed gives the sample separate chats. Their histories are short, so
    // that they do not affect the cost.
    seed: 1_000 + index,
    chats: 400,
    firstTokens: { min: 100, max: 200 },
    maxHistoryTokens: 600,
    answerTokens: { min: answerTokens, max: answerTokens },
    streamShare: 1,
    bookingRate: 0,
    surge: undefined,
    plainServices: [],
    rate,
    seconds,
  });
  await sleep(SETTLE_MS);
  const end = await readRouters(fleet, pids);
  const idleCpuSeconds = idleCoreShare * pids.length * (end.at - start.at) /
    MS_PER_SECOND;
  const requests = report.chats.whole;
  return {
    requests,
    tokens: requests * answerTokens,
    cpuSeconds: Math.max(0, getCpuSeconds(start, end) - idleCpuSeconds),
  };
}

/** Solves two linear equations for the cost per request and per token. */
export function solveCosts(
  fewTokens: CostSample,
  manyTokens: CostSample,
): Omit<CostFigures, "samples"> {
  const determinant = fewTokens.requests * manyTokens.tokens -
    manyTokens.requests * fewTokens.tokens;
  const perRequest = (fewTokens.cpuSeconds * manyTokens.tokens -
    manyTokens.cpuSeconds * fewTokens.tokens) / determinant;
  const perToken = (fewTokens.requests * manyTokens.cpuSeconds -
    manyTokens.requests * fewTokens.cpuSeconds) / determinant;
  const coreShareAtPeak = perRequest * PEAK_LOAD.requestsPerSecond +
    perToken * PEAK_LOAD.tokensPerSecond;
  return {
    cpuMsPerRequest: perRequest * MS_PER_SECOND,
    cpuUsPerToken: perToken * US_PER_SECOND,
    requestsPerCoreSecond: PEAK_LOAD.requestsPerSecond / coreShareAtPeak,
    tokensPerCoreSecond: PEAK_LOAD.tokensPerSecond / coreShareAtPeak,
    coreShareAtPeak,
  };
}
