/**
 * Adds up how many requests the other routers have at each upstream, from what
 * they last told. What is too old is left out, and the rest stands for it.
 */

/** Requests in flight at upstreams, by the upstream's id. */
export type LoadCounts = Readonly<Record<string, number>>;

/** What a router tells of loads. */
export interface ToldLoads {
  readonly counts: LoadCounts;
  /** Grows with each message of a router. */
  readonly sequence: number;
  /** Routers whose requests are counted; 1 if absent. */
  readonly routers?: number;
}

/** A sum of loads over some routers. */
export interface LoadSum {
  readonly counts: LoadCounts;
  readonly routers: number;
}

interface Told {
  readonly counts: LoadCounts;
  readonly sequence: number;
  readonly routers: number;
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
    { counts, sequence, routers = 1 }: ToldLoads,
    now: number,
  ): void {
    const last = this.#told.get(router);
    const isFresh = last !== undefined && this.#isFresh(last, now);
    if (isFresh && sequence <= last.sequence) return;
    this.#told.set(router, { counts, sequence, routers, at: now });
  }

  /** Forgets a router that is gone. */
  forget(router: string): void {
    this.#told.delete(router);
  }

  /** Forgets all, when routers begin to speak for others or cease to. */
  clear(): void {
    this.#told.clear();
  }

  /** Whether enough of `others` routers are heard to trust the sum. */
  isCovering(others: number, now: number): boolean {
    const heard = countRouters(this.#listFresh(now));
    return others > 0 && heard >= others * LEAST_COVERAGE;
  }

  /** Adds up what was told by routers whose name `isIncluded`. */
  add(now: number, isIncluded: (router: string) => boolean): LoadSum {
    const fresh = [...this.#told]
      .filter(([router, told]) =>
        isIncluded(router) && this.#isFresh(told, now)
      )
      .map(([, told]) => told);
    const sums = sumCounts(fresh, 1);
    return {
      counts: Object.fromEntries(sums),
      routers: countRouters(fresh),
    };
  }

  /** Requests of the `others` routers by upstream, estimated. */
  sum(
    { others, now }: { others: number; now: number },
  ): ReadonlyMap<string, number> {
    const fresh = this.#listFresh(now);
    return sumCounts(fresh, Math.max(1, others / countRouters(fresh)));
  }

  #listFresh(now: number): Told[] {
    return [...this.#told.values()]
      .filter((told) => this.#isFresh(told, now));
  }

  #isFresh({ at }: Told, now: number): boolean {
    return now - at <= this.#maxAgeMs;
  }
}

function countRouters(told: readonly Told[]): number {
  return told.reduce((sum, { routers }) => sum + routers, 0);
}

function sumCounts(
  told: readonly Told[],
  weight: number,
): Map<string, number> {
  const sums = new Map<string, number>();
  for (const { counts } of told) {
    for (const [upstream, count] of Object.entries(counts)) {
      sums.set(upstream, (sums.get(upstream) ?? 0) + count * weight);
    }
  }
  return sums;
}
