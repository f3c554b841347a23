/**
 * Estimates how many requests the other routers have in flight at each upstream
 * from the latest loads that each router sent. Loads that are too old are left
 * out, and the total of the rest is scaled up to all routers. Sums of loads state
 * their age, so that it is known after two hops too.
 */

import { mergePaces, type PaceMeans } from "./upstream_pace.ts";

/** Numbers of requests in flight, by upstream id. */
export type LoadCounts = Readonly<Record<string, number>>;

/** Loads that a router sends to its peers. */
export interface RouterLoads {
  readonly counts: LoadCounts;
  /** Increases with each message of the router. */
  readonly sequence: number;
  /** Number of routers whose requests are counted; 1 if absent. */
  readonly routers?: number;
  /** Number of these routers that can't connect to it, by upstream id. */
  readonly unreachable?: LoadCounts;
  /**
   * Mean age of the counts over these routers when they were sent, in
   * milliseconds. If absent, that of a router's own counts is 0; older releases
   * don't state that of a sum.
   */
  readonly ageMs?: number;
  /** Mean paces of upstreams over these routers, when they were sent. */
  readonly paces?: PaceMeans;
  /**
   * Remaining work in flight in whole milliseconds, by upstream id. Absent from
   * routers whose services don't use it, and from older releases.
   */
  readonly work?: LoadCounts;
}

/** Sum of the loads of several routers. */
export interface LoadSum {
  readonly counts: LoadCounts;
  /** Number of routers whose requests are counted. */
  readonly routers: number;
  /** Number of these routers that can't connect to it, by upstream id. */
  readonly unreachable: LoadCounts;
  /** Mean age of the counts over these routers, in milliseconds. */
  readonly ageMs: number;
  /** Remaining work, by upstream id; undefined if too few routers state it. */
  readonly work: LoadCounts | undefined;
}

/** Estimated requests, or work in milliseconds, of other routers. */
export interface LoadEstimate {
  /** By upstream id. */
  readonly counts: ReadonlyMap<string, number>;
  /** Mean age of the counts, in milliseconds. */
  readonly ageMs: number;
}

interface ReceivedLoads {
  readonly counts: LoadCounts;
  readonly unreachable: LoadCounts;
  readonly sequence: number;
  readonly routers: number;
  /** Age at the time of receipt, in milliseconds. */
  readonly ageMs: number;
  readonly paces: PaceMeans;
  readonly work: LoadCounts | undefined;
  /** Time of receipt, in milliseconds. */
  readonly at: number;
}

/** Options of `PeerLoads`. */
export interface PeerLoadsOptions {
  /** Age above which received loads are ignored, in milliseconds. */
  readonly maxAgeMs?: number;
}

/**
 * Several times the interval between messages; most requests take about as
 * long.
 */
const MAX_AGE_MS = 2_500;
/**
 * Age of a sum that doesn't state it, in milliseconds: half of the interval of
 * each of two hops.
 */
const UNSTATED_SUM_AGE_MS = 200;
/** Fraction of the other routers whose loads an estimate needs. */
const MIN_COVERAGE = 0.5;
/**
 * Interval at which the work of other routers is added up, in milliseconds. A
 * relay has messages of many routers.
 */
const WORK_INTERVAL_MS = 50;

/** Latest loads received from each router. */
export class PeerLoads {
  readonly #latest = new Map<string, ReceivedLoads>();
  readonly #maxAgeMs: number;
  #work: { estimate: LoadEstimate | undefined; at: number } | undefined;

  constructor({ maxAgeMs = MAX_AGE_MS }: PeerLoadsOptions = {}) {
    this.#maxAgeMs = maxAgeMs;
  }

  /**
   * Stores a message of `router`. Messages can arrive out of order. A restarted
   * router may send a lower sequence number, which is accepted once its last
   * message has expired.
   */
  recordLoads(
    router: string,
    loads: RouterLoads,
    now: number,
  ): void {
    const { counts, sequence, routers = 1, unreachable = {} } = loads;
    const { ageMs, paces = {}, work } = loads;
    const last = this.#latest.get(router);
    const isFresh = last !== undefined && this.#isFresh(last, now);
    if (isFresh && sequence <= last.sequence) return;
    this.#latest.set(router, {
      counts,
      unreachable,
      sequence,
      routers,
      ageMs: ageMs ?? (routers > 1 ? UNSTATED_SUM_AGE_MS : 0),
      paces,
      work,
      at: now,
    });
  }

  /** Drops the loads of a router that has left the fleet. */
  forget(router: string): void {
    this.#latest.delete(router);
  }

  /**
   * Drops all loads. Called when routers start or stop reporting the loads of
   * other routers too.
   */
  clear(): void {
    this.#latest.clear();
  }

  /**
   * Whether the received loads cover enough of the `others` routers for a
   * useful estimate.
   */
  hasSufficientCoverage(others: number, now: number): boolean {
    const routerCount = countRouters(this.#listFresh(now));
    return others > 0 && routerCount >= others * MIN_COVERAGE;
  }

  /** Adds up the loads from routers whose names satisfy `isIncluded`. */
  sumLoads(now: number, isIncluded: (router: string) => boolean): LoadSum {
    const fresh = this.#listIncluded(now, isIncluded);
    const sums = sumCounts(fresh.map(({ counts }) => counts), 1);
    const reports = sumCounts(fresh.map(({ unreachable }) => unreachable), 1);
    return {
      counts: Object.fromEntries(sums),
      routers: countRouters(fresh),
      unreachable: Object.fromEntries(reports),
      ageMs: getMeanAge(fresh, now),
      work: sumWork(fresh, countRouters(fresh)),
    };
  }

  /** Merges the paces from routers whose names satisfy `isIncluded`. */
  mergePaces(
    now: number,
    isIncluded: (router: string) => boolean = () => true,
  ): PaceMeans {
    const reports = this.#listIncluded(now, isIncluded)
      .map(({ paces, at }) => ({ paces, ageMs: now - at }));
    return mergePaces(reports);
  }

  /** Returns how many other routers can't connect to it, by upstream id. */
  countUnreachable(now: number): ReadonlyMap<string, number> {
    const fresh = this.#listFresh(now);
    return sumCounts(fresh.map(({ unreachable }) => unreachable), 1);
  }

  /** Estimates the requests of the `others` routers, by upstream id. */
  estimateLoads(
    { others, now }: { others: number; now: number },
  ): ReadonlyMap<string, number> {
    const fresh = this.#listFresh(now);
    const weight = Math.max(1, others / countRouters(fresh));
    return sumCounts(fresh.map(({ counts }) => counts), weight);
  }

  /**
   * Estimates the work of the `others` routers; undefined if too few state it.
   * Messages since the last sum count from the next interval on.
   */
  estimateWork(
    { others, now }: { others: number; now: number },
  ): LoadEstimate | undefined {
    const last = this.#work;
    if (last === undefined || now - last.at >= WORK_INTERVAL_MS) {
      const work = sumWork(this.#listFresh(now), others);
      const counts = work && new Map(Object.entries(work));
      const ageMs = this.getMeanAge(now);
      this.#work = { estimate: counts && { counts, ageMs }, at: now };
    }
    return this.#work!.estimate;
  }

  /** Returns the mean age of the loads over their routers, in milliseconds. */
  getMeanAge(now: number): number {
    return getMeanAge(this.#listFresh(now), now);
  }

  #listIncluded(
    now: number,
    isIncluded: (router: string) => boolean,
  ): ReceivedLoads[] {
    return [...this.#latest]
      .filter(([router, loads]) =>
        isIncluded(router) && this.#isFresh(loads, now)
      )
      .map(([, loads]) => loads);
  }

  #listFresh(now: number): ReceivedLoads[] {
    return [...this.#latest.values()]
      .filter((loads) => this.#isFresh(loads, now));
  }

  #isFresh({ at }: ReceivedLoads, now: number): boolean {
    return now - at <= this.#maxAgeMs;
  }
}

function countRouters(loads: readonly ReceivedLoads[]): number {
  return loads.reduce((sum, { routers }) => sum + routers, 0);
}

function getMeanAge(loads: readonly ReceivedLoads[], now: number): number {
  const routerCount = countRouters(loads);
  if (routerCount === 0) return 0;
  const total = loads.reduce(
    (sum, { routers, ageMs, at }) => sum + routers * (ageMs + now - at),
    0,
  );
  return total / routerCount;
}

/**
 * Adds up the work of `routers` routers, scaled for those that don't state it;
 * undefined if too few do.
 */
function sumWork(
  loads: readonly ReceivedLoads[],
  routers: number,
): LoadCounts | undefined {
  const stated = loads.filter(({ work }) => work !== undefined);
  const statedRouters = countRouters(stated);
  if (statedRouters === 0 || statedRouters < routers * MIN_COVERAGE) {
    return undefined;
  }
  const works = stated.map(({ work }) => work!);
  const weight = Math.max(1, routers / statedRouters);
  return Object.fromEntries(sumCounts(works, weight));
}

function sumCounts(
  parts: readonly LoadCounts[],
  weight: number,
): Map<string, number> {
  const sums = new Map<string, number>();
  for (const counts of parts) {
    for (const [upstream, count] of Object.entries(counts)) {
      sums.set(upstream, (sums.get(upstream) ?? 0) + count * weight);
    }
  }
  return sums;
}
