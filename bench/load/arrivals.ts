/** Open-loop arrivals: they keep their rate, however slow the answers are. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "./random.ts";

/** Options of a stream of arrivals. */
export interface ArrivalsOptions {
  random: Random;
  /** Arrivals a second on average; none at 0. */
  rate: number;
  /** When the first may come, on the monotonic clock. */
  startMs: number;
  /** When no more come, on the monotonic clock. */
  endMs: number;
  /** Ends the arrivals early. */
  signal?: AbortSignal;
}

const MS_PER_SECOND = 1_000;

/** Calls `onArrival` at random times; resolves after the last call. */
export async function runArrivals(
  onArrival: () => void,
  { random, rate, startMs, endMs, signal }: ArrivalsOptions,
): Promise<void> {
  if (rate <= 0) return;
  const meanMs = MS_PER_SECOND / rate;
  let next = startMs + random.nextExponential(meanMs);
  while (next < endMs && !signal?.aborted) {
    const wait = next - performance.now();
    if (wait > 0) await sleep(wait, undefined, { signal }).catch(() => {});
    if (signal?.aborted) return;
    onArrival();
    next += random.nextExponential(meanMs);
  }
}
