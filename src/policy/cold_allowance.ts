/**
 * Bounds the rate at which this router sends requests to an upstream in cold
 * start.
 *
 * The bound applies to the sum over all routers, and must hold while they can't
 * communicate. The routers are ranked for each upstream by rendezvous hashing.
 * Each of the first few may send a whole number of requests in any second;
 * these shares add up to the bound, and the other routers send nothing. Routers
 * that temporarily see different sets of routers exceed the bound slightly; a
 * reserve is kept for that.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** Rate that an upstream in cold start can serve. */
export interface ColdBound {
  /** Maximum requests in any second, summed over all routers. */
  readonly perSecond: number;
}

/** Options of a `ColdAllowance`. */
export interface ColdAllowanceOptions {
  readonly self: string;
  readonly hash: Hash;
}

const WINDOW_MS = 1_000;
/**
 * Minimum share of a router that may send, so that a small bound is split among
 * few routers.
 */
const MIN_SHARE_PER_SECOND = 2;

/** Computes the requests that `self` may send to `upstream` in any second. */
export function getColdShare(
  { perSecond }: ColdBound,
  { self, upstream, routers, hash }: ColdAllowanceOptions & {
    upstream: string;
    routers: readonly string[];
  },
): number {
  const bound = Math.max(1, Math.floor(perSecond));
  const names = routers.includes(self) ? routers : [...routers, self];
  const maxHolders = Math.max(1, Math.floor(bound / MIN_SHARE_PER_SECOND));
  const holders = Math.min(names.length, maxHolders);
  const rank = rankByRendezvous(upstream, names, { hash }).indexOf(self);
  if (rank >= holders) return 0;
  return Math.floor(bound / holders) + (rank < bound % holders ? 1 : 0);
}

/** Counts the requests that this router has sent in the last second. */
export class ColdAllowance {
  readonly #options: ColdAllowanceOptions;
  readonly #sentAt = new Map<string, number[]>();

  constructor(options: ColdAllowanceOptions) {
    this.#options = options;
  }

  /** Whether another request may be sent to the cold `upstream`. */
  hasRoom(
    upstream: string,
    { bound, routers, now }: {
      bound: ColdBound;
      routers: readonly string[];
      now: number;
    },
  ): boolean {
    const share = getColdShare(bound, {
      ...this.#options,
      upstream,
      routers,
    });
    return this.#getRecentTimes(upstream, now).length < share;
  }

  /** Records a request that was sent to an upstream, cold or not. */
  recordSent(upstream: string, now: number): void {
    this.#getRecentTimes(upstream, now).push(now);
  }

  /** Removes upstreams that were sent no request within the window. */
  prune(now: number): void {
    for (const upstream of [...this.#sentAt.keys()]) {
      if (this.#getRecentTimes(upstream, now).length === 0) {
        this.#sentAt.delete(upstream);
      }
    }
  }

  #getRecentTimes(upstream: string, now: number): number[] {
    const times = this.#sentAt.get(upstream) ?? [];
    let expired = 0;
    while (expired < times.length && times[expired]! <= now - WINDOW_MS) {
      expired++;
    }
    times.splice(0, expired);
    this.#sentAt.set(upstream, times);
    return times;
  }
}
