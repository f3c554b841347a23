/**
 * Processor time that the routers spend on a request and on a token, from two
 * loads whose answers differ in length. Both hops of a forwarded request count.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet } from "../testing/fleet.ts";
import { type LoadOptions, runLoad } from "./load/run_load.ts";
import { getCpuSeconds, readRouters } from "./measure_control.ts";

/** Cost of the data path. */
export interface CostFigures {
  readonly cpuMsPerRequest: number;
  readonly cpuUsPerToken: number;
  /** Tokens a second that one core carries at the two-year mix. */
  readonly tokensPerCoreSecond: number;
  /** Requests a second that one core carries at the two-year mix. */
  readonly requestsPerCoreSecond: number;
  /** Part of a core that the two-year peak of a node takes. */
  readonly coreShareAtPeak: number;
  readonly samples: readonly CostSample[];
}

/** One load. */
export interface CostSample {
  readonly requests: number;
  readonly tokens: number;
  readonly cpuSeconds: number;
}

/** Peak of a node at the two-year size. */
export const PEAK = { requestsPerSecond: 19, tokensPerSecond: 5_800 } as const;

const LOADS = [
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
  /** Part of a core that an idle router takes. */
  readonly idleCoreShare: number;
}

/** Runs two loads and solves for the cost of a request and of a token. */
export async function measureCost(options: CostOptions): Promise<CostFigures> {
  const samples: CostSample[] = [];
  for (const [index, load] of LOADS.entries()) {
    samples.push(await runSample(options, { ...load, index }));
  }
  const [few, many] = samples as [CostSample, CostSample];
  return { ...solve(few, many), samples };
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
    // Chats of their own, with short histories that do not change the cost.
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
  const idle = idleCoreShare * pids.length * (end.at - start.at) /
    MS_PER_SECOND;
  const requests = report.chats.whole;
  return {
    requests,
    tokens: requests * answerTokens,
    cpuSeconds: Math.max(0, getCpuSeconds(start, end) - idle),
  };
}

/** Solves the two loads for the two costs. */
export function solve(
  few: CostSample,
  many: CostSample,
): Omit<CostFigures, "samples"> {
  const determinant = few.requests * many.tokens - many.requests * few.tokens;
  const perRequest = (few.cpuSeconds * many.tokens -
    many.cpuSeconds * few.tokens) / determinant;
  const perToken = (few.requests * many.cpuSeconds -
    many.requests * few.cpuSeconds) / determinant;
  const coreShareAtPeak = perRequest * PEAK.requestsPerSecond +
    perToken * PEAK.tokensPerSecond;
  return {
    cpuMsPerRequest: perRequest * MS_PER_SECOND,
    cpuUsPerToken: perToken * US_PER_SECOND,
    requestsPerCoreSecond: PEAK.requestsPerSecond / coreShareAtPeak,
    tokensPerCoreSecond: PEAK.tokensPerSecond / coreShareAtPeak,
    coreShareAtPeak,
  };
}
