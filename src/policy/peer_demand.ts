/**
 * Adds up the demand of the other routers from the latest message of each.
 */
import { addDemand, type DemandEntry, limitDemand } from "./demand_meter.ts";

/** Demand in a message of a router. */
export interface DemandReport {
  readonly demand: readonly DemandEntry[];
  /** Number of routers whose demand is added up in it. */
  readonly demandRouters: number;
}

interface ReceivedDemand extends DemandReport {
  /** Time of receipt, in milliseconds. */
  readonly at: number;
  readonly sequence: number;
}

/**
 * Age above which a report is ignored, in milliseconds; two intervals between
 * reports and a lost message.
 */
const MAX_AGE_MS = 3_500;
/** Fraction of the other routers whose demand an estimate needs. */
const MIN_COVERAGE = 0.5;

/** Latest demand of each other router. */
export class PeerDemand {
  readonly #latest = new Map<string, ReceivedDemand>();

  /** Stores a report; those that arrive out of order are ignored. */
  record(
    router: string,
    { demand, demandRouters, sequence, now }: DemandReport & {
      sequence: number;
      now: number;
    },
  ): void {
    const last = this.#latest.get(router);
    const isFresh = last !== undefined && now - last.at <= MAX_AGE_MS;
    if (isFresh && sequence <= last.sequence) return;
    this.#latest.set(router, { demand, demandRouters, sequence, at: now });
  }

  /** Drops the demand of a router, or of all. */
  forget(router?: string): void {
    if (router === undefined) this.#latest.clear();
    else this.#latest.delete(router);
  }

  /**
   * Creates the report for another router: `own` demand and that of the routers
   * whose names satisfy `isIncluded`.
   */
  createReport(
    own: readonly DemandEntry[],
    { now, isIncluded }: {
      now: number;
      isIncluded: (router: string) => boolean;
    },
  ): DemandReport {
    const included = this.#listFresh(now)
      .filter(([router]) => isIncluded(router))
      .map(([, report]) => report);
    return {
      demand: limitDemand([
        ...own,
        ...included.flatMap(({ demand }) => demand),
      ]),
      demandRouters: countRouters(included) + 1,
    };
  }

  /**
   * Estimates the demand of the `others` routers; undefined if too few of them
   * have stated theirs lately.
   */
  estimate(
    { others, now }: { others: number; now: number },
  ): DemandEntry[] | undefined {
    const reports = this.#listFresh(now).map(([, report]) => report);
    const routers = countRouters(reports);
    if (others === 0) return [];
    if (routers < others * MIN_COVERAGE) return undefined;
    // Below 1 while a router that changed its relay is counted by both.
    const factor = others / routers;
    return addDemand(reports.flatMap(({ demand }) => demand), factor);
  }

  #listFresh(now: number): [string, ReceivedDemand][] {
    return [...this.#latest].filter(([, { at }]) => now - at <= MAX_AGE_MS);
  }
}

function countRouters(reports: readonly DemandReport[]): number {
  return reports.reduce((sum, { demandRouters }) => sum + demandRouters, 0);
}
