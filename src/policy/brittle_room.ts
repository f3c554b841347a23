/**
 * Decides whether an upstream that falls over from rejections may get another
 * request.
 *
 * Load pattern: more requests than the upstreams of a service can run, while each
 * of them names how many it bears to reject in a second, from all routers
 * together. The routers know its load with some delay and send at the same time.
 * Each of them therefore holds a fixed share of its slots, which add up to fewer
 * than all. Beyond that a request is sent only while few slots are taken, or with
 * a share of the rejections that the upstream bears, as routers share a rate that
 * it names. A router whose request was rejected all the same leaves the upstream
 * alone for a time, so that all routers that are wrong at once stay below what it
 * bears.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** Part of the slots that the shares of the routers add up to. */
const SHARED_PART = 0.9;
/**
 * Part of the slots up to which routers send without regard to their shares;
 * several may do so before they know of each other.
 */
const FREE_PART = 0.25;
/**
 * Time for which a router's rank is not computed again, in milliseconds; ranking
 * hundreds of routers for each request takes longer than all else in its way.
 */
const RANK_LIFETIME_MS = 500;
/** Bounds of the time after a rejection, in milliseconds. */
const MIN_REJECTION_PAUSE_MS = 500;
const MAX_REJECTION_PAUSE_MS = 4_000;
const MS_PER_SECOND = 1_000;

/** What a router knows of a brittle upstream. */
export interface BrittleLoad {
  /** Estimated requests in flight, of all routers. */
  readonly load: number;
  /** Requests in flight of this router. */
  readonly own: number;
  /** Requests that it processes at the same time. */
  readonly slots: number;
  /** Slots that are this router's. */
  readonly share: number;
  /** Whether this router's part of the rejections allows one. */
  readonly hasAllowance: boolean;
}

/**
 * How a brittle upstream may get one more request: `free`, or `at-risk` at the
 * cost of a part of the rejections; `none` if it may not.
 */
export type BrittleRoom = "free" | "at-risk" | "none";

/** Returns the room at a brittle upstream. */
export function getBrittleRoom(
  { load, own, slots, share, hasAllowance }: BrittleLoad,
): BrittleRoom {
  if (load + 1 > slots) return "none";
  if (own + 1 <= share || load + 1 <= slots * FREE_PART) return "free";
  return hasAllowance ? "at-risk" : "none";
}

/** Options of `SlotShares`. */
export interface SlotSharesOptions {
  /** Name of this router. */
  readonly self: string;
  readonly hash: Hash;
}

/** This router's shares of the slots of upstreams. */
export class SlotShares {
  readonly #options: SlotSharesOptions;
  readonly #ranks = new Map<string, { rank: number; at: number }>();

  constructor(options: SlotSharesOptions) {
    this.#options = options;
  }

  /** Returns how many slots of `upstream` are this router's. */
  getShare(
    upstream: string,
    { slots, routers, now }: {
      slots: number;
      routers: ReadonlyMap<string, unknown>;
      now: number;
    },
  ): number {
    const { self } = this.#options;
    const count = routers.size + (routers.has(self) ? 0 : 1);
    const shared = Math.max(1, Math.floor(slots * SHARED_PART));
    const isOneMore = this.#getRank(upstream, { routers, now }) <
      shared % count;
    return Math.floor(shared / count) + (isOneMore ? 1 : 0);
  }

  /** Drops the ranks at upstreams that are no longer brittle. */
  prune(now: number): void {
    for (const [upstream, { at }] of this.#ranks) {
      if (now - at > RANK_LIFETIME_MS) this.#ranks.delete(upstream);
    }
  }

  #getRank(
    upstream: string,
    { routers, now }: { routers: ReadonlyMap<string, unknown>; now: number },
  ): number {
    const known = this.#ranks.get(upstream);
    if (known !== undefined && now - known.at <= RANK_LIFETIME_MS) {
      return known.rank;
    }
    const { self, hash } = this.#options;
    const names = new Set([...routers.keys(), self]);
    const rank = rankByRendezvous(upstream, [...names], { hash }).indexOf(self);
    this.#ranks.set(upstream, { rank, at: now });
    return rank;
  }
}

/**
 * Returns the time for which a router leaves an upstream alone that has rejected
 * one of its requests, in milliseconds. `limit` is the number of rejections that
 * it bears in a second.
 */
export function getRejectionPause(
  { limit, routers }: { limit: number; routers: number },
): number {
  const equalShareMs = routers / Math.max(limit, 1) * MS_PER_SECOND;
  return Math.min(
    MAX_REJECTION_PAUSE_MS,
    Math.max(MIN_REJECTION_PAUSE_MS, equalShareMs),
  );
}
