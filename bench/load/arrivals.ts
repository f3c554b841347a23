/** Open-loop arrivals: their rate does not depend on the response times. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "./random.ts";

/** Options of a random arrival process. */
export interface ArrivalsOptions {
  random: Random;
  /** Mean arrivals per second; 0 for none. */
  rate: number;
  /** Earliest time of an arrival, in ms on the monotonic clock. */
  startMs: number;
  /** Time after which nothing arrives, in ms on the monotonic clock. */
  endMs: number;
  /** Ends the arrivals before `endMs`. */
  signal?: AbortSignal;
}

const MS_PER_SECOND = 1_000;

/** Calls `onArrival` at exponentially distributed intervals until `endMs`. */
export async function runArrivals(
  onArrival: () => void,
  { random, rate, startMs, endMs, signal }: ArrivalsOptions,
): Promise<void> {
  if (rate <= 0) return;
  const meanMs = MS_PER_SECOND / rate;
  let nextMs = startMs + random.nextExponential(meanMs);
  while (nextMs < endMs && !signal?.aborted) {
    const waitMs = nextMs - performance.now();
    if (waitMs > 0) await sleep(waitMs, undefined, { signal }).catch(() => {});
    if (signal?.aborted) return;
    onArrival();
    nextMs += random.nextExponential(meanMs);
  }
}
