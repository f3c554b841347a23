/**
 * Exponentially weighted moving averages by key. A sample loses half its weight
 * with each half-life, so that the mean follows changes however many samples
 * arrive in a second; the first sample sets the mean.
 */

/** Options of `DecayingMeans`. */
export interface DecayingMeansOptions {
  /** In milliseconds. */
  readonly halfLifeMs: number;
  /** Time without a sample after which a mean is dropped, in milliseconds. */
  readonly lifetimeMs?: number;
}

interface MeanRecord {
  mean: number;
  /** Sum of the weights of the samples. */
  weight: number;
  /** Number of samples since the mean was set first. */
  count: number;
  /** Time of the last sample, in milliseconds. */
  updatedAt: number;
}

const DEFAULT_LIFETIME_MS = 60_000;

/** Means of recent samples. */
export class DecayingMeans {
  readonly #options: Required<DecayingMeansOptions>;
  readonly #records = new Map<string, MeanRecord>();

  constructor(options: DecayingMeansOptions) {
    this.#options = { lifetimeMs: DEFAULT_LIFETIME_MS, ...options };
  }

  /** Records a sample at `now`, in milliseconds. */
  record(key: string, sample: number, now: number): void {
    const last = this.#find(key, now);
    if (last === undefined) {
      this.#records.set(key, {
        mean: sample,
        weight: 1,
        count: 1,
        updatedAt: now,
      });
      return;
    }
    last.count++;
    last.weight = this.#getWeight(last, now) + 1;
    last.mean += (sample - last.mean) / last.weight;
    last.updatedAt = now;
  }

  /** Returns the mean; undefined without a sample in the lifetime. */
  find(key: string, now: number): number | undefined {
    return this.#find(key, now)?.mean;
  }

  /** Returns the mean and the sum of the weights of its samples by now. */
  findWeighted(
    key: string,
    now: number,
  ): { mean: number; weight: number } | undefined {
    const record = this.#find(key, now);
    if (record === undefined) return undefined;
    return { mean: record.mean, weight: this.#getWeight(record, now) };
  }

  /** Returns the number of samples of a mean; 0 if there is none. */
  getCount(key: string, now: number): number {
    return this.#find(key, now)?.count ?? 0;
  }

  /** Returns the keys that have a mean. */
  list(now: number): string[] {
    return [...this.#records.keys()]
      .filter((key) => this.#find(key, now) !== undefined);
  }

  forget(key: string): void {
    this.#records.delete(key);
  }

  /** Drops the means that have expired. */
  prune(now: number): void {
    for (const key of [...this.#records.keys()]) {
      if (this.#find(key, now) === undefined) this.#records.delete(key);
    }
  }

  #getWeight({ weight, updatedAt }: MeanRecord, now: number): number {
    return weight * 0.5 ** ((now - updatedAt) / this.#options.halfLifeMs);
  }

  #find(key: string, now: number): MeanRecord | undefined {
    const record = this.#records.get(key);
    if (record === undefined) return undefined;
    const isExpired = now - record.updatedAt > this.#options.lifetimeMs;
    return isExpired ? undefined : record;
  }
}
