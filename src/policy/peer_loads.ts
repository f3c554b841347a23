/**
 * Adds up how many requests the other routers have at each upstream, from what
 * they last told. What is too old is left out, and the rest stands for it.
 */

/** Requests in flight at upstreams, by the upstream's id. */
export type LoadCounts = Readonly<Record<string, number>>;

interface Told {
  readonly counts: LoadCounts;
  readonly sequence: number;
  readonly at: number;
}

/** Options of the sum. */
export interface PeerLoadsOptions {
  /** Time after which what a router told is left out, in milliseconds. */
  readonly maxAgeMs?: number;
}

/** Several times the interval of the messages; requests last about as long. */
const MAX_AGE_MS = 2_500;
/** Share of the other routers that must be heard, or the sum says nothing. */
const LEAST_COVERAGE = 0.5;

/** See the module. */
export class PeerLoads {
  readonly #told = new Map<string, Told>();
  readonly #maxAgeMs: number;

  constructor({ maxAgeMs = MAX_AGE_MS }: PeerLoadsOptions = {}) {
    this.#maxAgeMs = maxAgeMs;
  }

  /**
   * Takes a message of `router`. Messages may overtake each other, and a router
   * that has started anew counts from the time of its start.
   */
  take(
    router: string,
    { counts, sequence }: { counts: LoadCounts; sequence: number },
    now: number,
  ): void {
    const last = this.#told.get(router);
    const isFresh = last !== undefined && now - last.at <= this.#maxAgeMs;
    if (isFresh && sequence <= last.sequence) return;
    this.#told.set(router, { counts, sequence, at: now });
  }

  /** Forgets a router that is gone. */
  forget(router: string): void {
    this.#told.delete(router);
  }

  /** Whether enough of `others` routers are heard to trust the sum. */
  isCovering(others: number, now: number): boolean {
    const fresh = this.#listFresh(now).length;
    return others > 0 && fresh >= others * LEAST_COVERAGE;
  }

  /** Requests of the `others` routers by upstream, estimated. */
  sum(
    { others, now }: { others: number; now: number },
  ): ReadonlyMap<string, number> {
    const fresh = this.#listFresh(now);
    const weight = Math.max(1, others / fresh.length);
    const sums = new Map<string, number>();
    for (const { counts } of fresh) {
      for (const [upstream, count] of Object.entries(counts)) {
        sums.set(upstream, (sums.get(upstream) ?? 0) + count * weight);
      }
    }
    return sums;
  }

  #listFresh(now: number): Told[] {
    return [...this.#told.values()]
      .filter(({ at }) => now - at <= this.#maxAgeMs);
  }
}
