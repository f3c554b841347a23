/**
 * Measures load skew in two ways: from the line that a pool's owner logs at each
 * admission, and from samples of the engines' in-flight counts, which are
 * available for the baselines as well.
 */
import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

/** One admission of a request, as logged by the pool's owner. */
export interface PlacedLine {
  /** Wall-clock time in milliseconds since the epoch. */
  readonly at: number;
  readonly upstream: string;
  readonly reason: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly waitedMs: number;
}

/** In-flight counts of all engines at about the same time. */
export interface SkewSample {
  /** Milliseconds since the start of the run. */
  readonly atMs: number;
  readonly mean: number;
  readonly max: number;
}

/** Summary of the samples; quantiles of the ratio of maximum to mean. */
export interface SkewSummary {
  readonly samples: number;
  /** Samples whose mean is high enough for the ratio to be significant. */
  readonly loaded: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
  /**
   * Share of the loaded samples whose largest count exceeds
   * `ceil(loadFactor * mean)`.
   */
  readonly aboveLimitShare: number;
}

const SAMPLE_INTERVAL_MS = 50;
const MIN_MEAN_IN_FLIGHT = 2;
const PLACED_MESSAGE = "place: Placed a request.";

/** Reads the admissions from the routers' log files, sorted by time. */
export function readPlacedLines(files: readonly string[]): PlacedLine[] {
  const lines: PlacedLine[] = [];
  for (const file of files) {
    for (const text of readFileSync(file, "utf8").split("\n")) {
      if (!text.includes(PLACED_MESSAGE)) continue;
      const line = tryParseLine(text);
      if (line !== undefined) lines.push(line);
    }
  }
  return lines.sort((left, right) => left.at - right.at);
}

function tryParseLine(text: string): PlacedLine | undefined {
  try {
    const line = JSON.parse(text) as Omit<PlacedLine, "at"> & { at: string };
    return { ...line, at: Date.parse(line.at) };
  } catch {
    // A killed process may leave an incomplete line.
    return undefined;
  }
}

/**
 * Samples the engines' in-flight counts until `signal` aborts; skips a sample
 * if an engine does not respond.
 */
export async function sampleSkew(
  addresses: readonly string[],
  { started, signal }: { started: number; signal: AbortSignal },
): Promise<SkewSample[]> {
  const samples: SkewSample[] = [];
  while (!signal.aborted) {
    const nextMs = performance.now() + SAMPLE_INTERVAL_MS;
    const counts = await Promise.all(addresses.map(getInFlight));
    const known = counts.filter((count) => count !== undefined);
    if (known.length === addresses.length) {
      const total = known.reduce((sum, count) => sum + count, 0);
      samples.push({
        atMs: performance.now() - started,
        mean: total / known.length,
        max: Math.max(...known),
      });
    }
    await sleep(Math.max(1, nextMs - performance.now()));
  }
  return samples;
}

async function getInFlight(address: string): Promise<number | undefined> {
  try {
    const answer = await request(`http://${address}/control/record`, {
      signal: AbortSignal.timeout(1_000),
    });
    const record = await answer.body.json() as { inFlight: number };
    return record.inFlight;
  } catch {
    return undefined;
  }
}

/** Summarises the samples against the limit that `loadFactor` sets. */
export function summariseSkew(
  samples: readonly SkewSample[],
  { loadFactor }: { loadFactor: number },
): SkewSummary {
  const loaded = samples.filter(({ mean }) => mean >= MIN_MEAN_IN_FLIGHT);
  const ratios = loaded.map(({ max, mean }) => max / mean)
    .sort((left, right) => left - right);
  const above = loaded.filter(({ max, mean }) =>
    max > Math.ceil(loadFactor * mean)
  );
  return {
    samples: samples.length,
    loaded: loaded.length,
    p50: getQuantile(ratios, 0.5),
    p99: getQuantile(ratios, 0.99),
    max: ratios.at(-1) ?? 0,
    aboveLimitShare: loaded.length === 0 ? 0 : above.length / loaded.length,
  };
}

function getQuantile(sorted: readonly number[], quantile: number): number {
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
