/**
 * Estimates how many requests each upstream has in flight, and how much work
 * they still are.
 *
 * A router knows its own requests exactly. Those of other routers are known
 * from the loads that the routers send or, if too few of them do, from the load
 * that upstreams report with their answers. Such a reported value decays to the
 * mean over the upstreams, since its requests end without another report.
 */
import type { UpstreamLoad } from "../routing/types.ts";
import type { LoadEstimate } from "./peer_loads.ts";
import { discountStaleLoads } from "./stale_loads.ts";
import { getCapacity } from "./two_choices.ts";

/** A request that this router has sent, as far as its work is concerned. */
export interface SentWork {
  /** Identifies the request. */
  readonly key: object;
  /** Estimated work, in milliseconds at usual pace. */
  readonly workMs: number;
  /** Expected pace of the upstream. */
  readonly pace: number;
  readonly sentAt: number;
}

interface Load {
  /** Number of this router's requests in flight. */
  own: number;
  /** Their estimated work. */
  readonly works: Map<object, SentWork>;
  /** Number of other routers' requests, by the upstream's last report. */
  foreign: number;
  /** Time of that report, in milliseconds. */
  reportedAt: number;
  /** Time at which it last rejected a request of this router for want of room. */
  rejectedAt: number;
}

/** An upstream whose load is estimated. */
export interface LoadedUpstream {
  readonly id: string;
  /** Requests that it processes at the same time. */
  readonly slots: number;
  /** How much longer than usual work takes there; 1 is as usual. */
  readonly pace: number;
}

/** Half-life of a reported load, in milliseconds. */
const HALF_LIFE_MS = 2_000;
/**
 * Part of its estimate that a request counts at least until it ends: estimates
 * are often too low, and the request holds its slot.
 */
const MIN_REMAINING_PART = 0.25;
/** Part of a request's work that is left on average while it runs. */
const MEAN_REMAINING_PART = 0.5;

/** Own and reported loads of upstreams. */
export class UpstreamLoads {
  readonly #loads = new Map<string, Load>();

  /** Records that this router sent a request. */
  recordSent(upstream: string, work?: SentWork): void {
    const load = this.#get(upstream);
    load.own++;
    if (work !== undefined) load.works.set(work.key, work);
  }

  /** Records that one of this router's requests, that of `key`, ended. */
  recordEnded(upstream: string, key?: object): void {
    const load = this.#get(upstream);
    load.own = Math.max(0, load.own - 1);
    if (key !== undefined) load.works.delete(key);
  }

  /** Records the load that an upstream reports with an answer. */
  recordReportedLoad(
    upstream: string,
    { running, waiting }: UpstreamLoad,
    now: number,
  ): void {
    const load = this.#get(upstream);
    load.foreign = Math.max(0, running + waiting - load.own);
    load.reportedAt = now;
  }

  /** Records that an upstream has rejected a request for want of room. */
  recordRejected(upstream: string, now: number): void {
    this.#get(upstream).rejectedAt = now;
  }

  /** Number of this router's requests at `upstream`. */
  getOwn(upstream: string): number {
    return this.#loads.get(upstream)?.own ?? 0;
  }

  /** Returns the numbers of own requests by upstream, without zeros. */
  listOwn(): Record<string, number> {
    const counts = [...this.#loads]
      .filter(([, { own }]) => own > 0)
      .map(([upstream, { own }]) => [upstream, own] as const);
    return Object.fromEntries(counts);
  }

  /**
   * Returns the remaining work of own requests by upstream, in whole
   * milliseconds, without zeros.
   */
  listOwnWork(now: number): Record<string, number> {
    const works: Record<string, number> = {};
    for (const [upstream, load] of this.#loads) {
      const workMs = Math.round(getOwnWork(load, now));
      if (workMs > 0) works[upstream] = workMs;
    }
    return works;
  }

  /**
   * Estimates the number of requests at each of `upstreams`. `foreign`, if
   * given, holds the requests of other routers; an upstream without an entry
   * has none.
   */
  estimate(
    upstreams: readonly string[],
    { now, foreign: peerCounts }: {
      now: number;
      foreign?: ReadonlyMap<string, number> | undefined;
    },
  ): number[] {
    const loads = upstreams.map((each) => this.#get(each));
    if (peerCounts !== undefined) {
      return loads.map(({ own }, index) =>
        own + (peerCounts.get(upstreams[index]!) ?? 0)
      );
    }
    const foreign = loads.reduce((sum, each) => sum + each.foreign, 0);
    const mean = loads.length === 0 ? 0 : foreign / loads.length;
    return loads.map((each) => {
      const weight = 0.5 ** ((now - each.reportedAt) / HALF_LIFE_MS);
      return each.own + mean + (each.foreign - mean) * weight;
    });
  }

  /**
   * Estimates the requests that are at each of `upstreams` by now, all of one
   * service whose requests take `durationMs` on average. In contrast to
   * `estimate`, what is known of other routers loses weight with its age, and an
   * upstream that has rejected a request within that time has no free slot.
   */
  estimateExpected(
    upstreams: readonly LoadedUpstream[],
    { now, foreign, durationMs }: {
      now: number;
      foreign: LoadEstimate | undefined;
      durationMs: number;
    },
  ): number[] {
    const known = upstreams.map(({ id, slots, pace }) => {
      const { foreign: reported, reportedAt } = this.#get(id);
      return {
        count: foreign === undefined ? reported : foreign.counts.get(id) ?? 0,
        ageMs: foreign?.ageMs ?? now - reportedAt,
        capacity: getCapacity({ slots, pace }),
      };
    });
    return discountStaleLoads(known, durationMs).map((load, index) => {
      const { id, slots } = upstreams[index]!;
      const { own, rejectedAt } = this.#get(id);
      return load + own + (now - rejectedAt < durationMs ? slots : 0);
    });
  }

  /**
   * Estimates the remaining work at each of `upstreams`, in milliseconds at usual
   * pace. `meanMs` is the mean work of a request, and `expectedLoads` are the
   * results of `estimateExpected`. Where the work of other routers isn't known,
   * their requests count as average. The result is the mean of the stated work
   * and of the work of that many average requests, since the estimates of single
   * requests are often wrong.
   */
  estimateWork(
    upstreams: readonly LoadedUpstream[],
    { now, foreign, durationMs, meanMs, expectedLoads }: {
      now: number;
      foreign: LoadEstimate | undefined;
      durationMs: number;
      meanMs: number;
      expectedLoads: readonly number[];
    },
  ): number[] {
    const discounted = foreign && discountStaleLoads(
      upstreams.map(({ id, slots, pace }) => ({
        count: foreign.counts.get(id) ?? 0,
        ageMs: foreign.ageMs,
        capacity: getCapacity({ slots, pace }),
      })),
      durationMs,
    );
    return upstreams.map(({ id }, index) => {
      const load = this.#get(id);
      const expected = expectedLoads[index]!;
      const meanLeftMs = meanMs * MEAN_REMAINING_PART;
      const others = discounted?.[index] ??
        Math.max(0, expected - load.own) * meanLeftMs;
      return (getOwnWork(load, now) + others + expected * meanLeftMs) / 2;
    });
  }

  /** Drops upstreams that are unknown and have no own requests. */
  prune(isKnown: (upstream: string) => boolean): void {
    for (const [upstream, { own }] of this.#loads) {
      if (own === 0 && !isKnown(upstream)) this.#loads.delete(upstream);
    }
  }

  #get(upstream: string): Load {
    let load = this.#loads.get(upstream);
    if (load === undefined) {
      load = {
        own: 0,
        works: new Map(),
        foreign: 0,
        reportedAt: 0,
        rejectedAt: -Infinity,
      };
      this.#loads.set(upstream, load);
    }
    return load;
  }
}

/** Returns the remaining work of this router's requests, in milliseconds. */
function getOwnWork({ works }: Load, now: number): number {
  let total = 0;
  for (const { workMs, pace, sentAt } of works.values()) {
    const left = workMs - (now - sentAt) / pace;
    total += Math.max(left, workMs * MIN_REMAINING_PART);
  }
  return total;
}
