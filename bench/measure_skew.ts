/**
 * Load skew in two ways: from the owners' log line at each admission, and from
 * samples of all engines' own counts, which exist for the baselines too.
 */
import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

/** One admission as its owner logged it. */
export interface PlacedLine {
  /** Wall-clock time, milliseconds since the epoch. */
  readonly at: number;
  readonly upstream: string;
  readonly reason: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly waitedMs: number;
}

/** Counts of all engines at about the same moment. */
export interface SkewSample {
  /** Milliseconds since the start of the run. */
  readonly atMs: number;
  readonly mean: number;
  readonly max: number;
}

/** What the samples amount to. */
export interface SkewSummary {
  readonly samples: number;
  /** Samples in which the mean was high enough for a ratio to say much. */
  readonly loaded: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
  /** Share of the loaded samples in which the largest count is above
   * `ceil(loadFactor x mean)`. */
  readonly aboveLimitShare: number;
}

const SAMPLE_MS = 50;
const MIN_MEAN = 2;
const PLACED = "place: Placed a request.";

/** Reads the admissions from routers' log files. */
export function readPlacedLines(files: readonly string[]): PlacedLine[] {
  const lines: PlacedLine[] = [];
  for (const file of files) {
    for (const text of readFileSync(file, "utf8").split("\n")) {
      if (!text.includes(PLACED)) continue;
      const line = tryParse(text);
      if (line !== undefined) lines.push(line);
    }
  }
  return lines.sort((left, right) => left.at - right.at);
}

function tryParse(text: string): PlacedLine | undefined {
  try {
    const line = JSON.parse(text) as Omit<PlacedLine, "at"> & { at: string };
    return { ...line, at: Date.parse(line.at) };
  } catch {
    // A killed process may leave half a line.
    return undefined;
  }
}

/** Samples the engines' counts until `signal` aborts. */
export async function sampleSkew(
  addresses: readonly string[],
  { started, signal }: { started: number; signal: AbortSignal },
): Promise<SkewSample[]> {
  const samples: SkewSample[] = [];
  while (!signal.aborted) {
    const next = performance.now() + SAMPLE_MS;
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
    await sleep(Math.max(1, next - performance.now()));
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

/** Summarises samples. */
export function summariseSkew(
  samples: readonly SkewSample[],
  { loadFactor }: { loadFactor: number },
): SkewSummary {
  const loaded = samples.filter(({ mean }) => mean >= MIN_MEAN);
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
