/**
 * Bounds how fast this router sends to an upstream in cold start.
 *
 * The bound is on the sum over all routers, and must hold while they can't hear
 * each other. The routers are ranked for each upstream by rendezvous hashing;
 * the first few hold a whole number of requests in any second each, which add
 * up to the bound, and the others send nothing. Routers that count each other
 * differently for a moment overlap by little; a reserve is kept for that.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** What an upstream in cold start bears. */
export interface ColdBound {
  /** Requests in any second, over all routers. */
  readonly perSecond: number;
}

/** Options of an allowance. */
export interface ColdAllowanceOptions {
  readonly self: string;
  readonly hash: Hash;
}

const WINDOW_MS = 1_000;
/** Requests that a holder has at least, so that few hold a small bound. */
const LEAST_SHARE = 2;

/** Requests that `self` may send to `upstream` in any second. */
export function shareOfColdBound(
  { perSecond }: ColdBound,
  { self, upstream, routers, hash }: ColdAllowanceOptions & {
    upstream: string;
    routers: readonly string[];
  },
): number {
  const bound = Math.max(1, Math.floor(perSecond));
  const names = routers.includes(self) ? routers : [...routers, self];
  const most = Math.max(1, Math.floor(bound / LEAST_SHARE));
  const holders = Math.min(names.length, most);
  const rank = rankByRendezvous(upstream, names, { hash }).indexOf(self);
  if (rank >= holders) return 0;
  return Math.floor(bound / holders) + (rank < bound % holders ? 1 : 0);
}

/** Counts what this router has sent in the last second; see the module. */
export class ColdAllowance {
  readonly #options: ColdAllowanceOptions;
  readonly #sentAt = new Map<string, number[]>();

  constructor(options: ColdAllowanceOptions) {
    this.#options = options;
  }

  /** Whether another request may go to the cold `upstream`. */
  hasRoom(
    upstream: string,
    { bound, routers, now }: {
      bound: ColdBound;
      routers: readonly string[];
      now: number;
    },
  ): boolean {
    const share = shareOfColdBound(bound, {
      ...this.#options,
      upstream,
      routers,
    });
    return this.#recent(upstream, now).length < share;
  }

  /** Notes a request to any upstream of a service that has cold starts. */
  noteSent(upstream: string, now: number): void {
    this.#recent(upstream, now).push(now);
  }

  /** Forgets upstreams that have had no request within the window. */
  prune(now: number): void {
    for (const upstream of [...this.#sentAt.keys()]) {
      if (this.#recent(upstream, now).length === 0) {
        this.#sentAt.delete(upstream);
      }
    }
  }

  #recent(upstream: string, now: number): number[] {
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
