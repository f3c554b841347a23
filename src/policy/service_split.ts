/**
 * Compares the demand for a service with its capacity, and estimates waits.
 *
 * The capacity that is split is more than the slots while few requests wait, and
 * less while many do. Upstreams thus always have some that wait, errors of the
 * estimates even out, and no slot stays idle for them.
 */
import { type DemandPart, splitCapacity } from "./capacity_split.ts";
import {
  addDemand,
  type DemandEntry,
  encodeDemandKey,
} from "./demand_meter.ts";
import {
  estimateRoom,
  type ServiceLoad,
  type ServiceRoom,
} from "./service_room.ts";

/** Split of a service's capacity at one time. */
export interface ServiceSplit {
  readonly at: number;
  /** Whether the demand of enough other routers is known. */
  readonly isFleetKnown: boolean;
  readonly entries: readonly DemandEntry[];
  readonly parts: ReadonlyMap<string, DemandPart>;
  /** Entries with the part of their work that fits. */
  readonly admitted: readonly DemandEntry[];
  /** Requests a second of all routers, and of this one. */
  readonly rate: number;
  readonly ownRate: number;
  /** Mean duration of a request, in milliseconds. */
  readonly meanMs: number;
}

/** What waits are estimated from. */
export interface WaitState {
  readonly split: ServiceSplit;
  readonly room: ServiceRoom;
}

/** Options of `createServiceSplit`. */
export interface ServiceSplitOptions {
  readonly at: number;
  readonly load: ServiceLoad;
  /** Demand at this router. */
  readonly own: readonly DemandEntry[];
  /** Demand at the other routers; undefined if too few have stated theirs. */
  readonly peers: readonly DemandEntry[] | undefined;
  /** Returns the usual work of a workspace. */
  readonly getUsual: (workspace: string | undefined) => number;
}

/** Capacity relative to the slots while as many requests are there as slots. */
const MAX_CAPACITY_FACTOR = 1.05;
/**
 * Decrease of that factor with each request that waits for a slot. Requests of
 * 0.06 s act on loads that are known 0.5 s late, and the load swings if the
 * product of slope and 0.5 / 0.06 reaches pi / 2.
 */
const CAPACITY_SLOPE = 0.1;
/**
 * Load by slots above which the factor decreases faster, before upstreams reject
 * urgent requests with the rest. Errors of the demand, which lags at the start
 * of a burst, are corrected there.
 */
const HIGH_FILL = 3;
const HIGH_SLOPE = 0.2;
const MIN_CAPACITY_FACTOR = 0.3;
/** Smallest part of the capacity that remains for a priority, for its wait. */
const MIN_CAPACITY_LEFT = 0.1;
const MS_PER_SECOND = 1_000;

function sumWork(
  entries: readonly DemandEntry[],
  isIncluded: (entry: DemandEntry) => boolean,
): number {
  return entries.filter(isIncluded).reduce((sum, { work }) => sum + work, 0);
}

function sumRates(entries: readonly DemandEntry[]): number {
  return entries.reduce((sum, { rate }) => sum + rate, 0);
}

function getCapacityFactor(fill: number): number {
  const factor = MAX_CAPACITY_FACTOR -
    CAPACITY_SLOPE * Math.max(0, fill - 1) -
    HIGH_SLOPE * Math.max(0, fill - HIGH_FILL);
  return Math.max(MIN_CAPACITY_FACTOR, factor);
}

/**
 * Splits the capacity. Without the demand of the others, this router's own is
 * compared with its part of the slots.
 */
export function createServiceSplit(
  { at, load, own, peers, getUsual }: ServiceSplitOptions,
): ServiceSplit {
  const entries = addDemand([...own, ...peers ?? []]);
  const isFleetKnown = peers !== undefined;
  const slots = isFleetKnown ? load.slots : load.slots / load.routers;
  const rate = sumRates(entries);
  const parts = splitCapacity(entries, {
    capacity: slots * getCapacityFactor(estimateRoom(load).fill),
    getUsual,
  });
  return {
    at,
    isFleetKnown,
    entries,
    parts,
    admitted: entries.map((entry) => {
      const { fraction } = parts.get(encodeDemandKey(entry))!;
      return { ...entry, work: entry.work * fraction };
    }),
    rate,
    ownRate: sumRates(own),
    meanMs: rate > 0 ? sumWork(entries, () => true) / rate * MS_PER_SECOND : 0,
  };
}

/**
 * Estimates how long a request waits at the upstreams. Of those that wait there,
 * as many go before it as its priority and the more urgent ones have of the
 * demand, and more urgent ones that arrive meanwhile.
 */
export function estimateWaitMs(
  { priority }: { readonly priority: number },
  { split: { admitted, meanMs }, room: { backlog, slots } }: WaitState,
): number {
  const total = sumWork(admitted, () => true);
  if (total === 0) return 0;
  const upTo = sumWork(admitted, (each) => each.priority <= priority);
  const before = sumWork(admitted, (each) => each.priority < priority);
  const left = Math.max(MIN_CAPACITY_LEFT, 1 - before / slots);
  return backlog * (upTo / total) * meanMs / slots / left;
}

/**
 * Estimates the time until a request of a priority finds room, in milliseconds;
 * infinite if its priority and the more urgent ones ask for all slots, so that
 * no end of the demand is in sight.
 */
export function estimateRoomWaitMs(
  request: { readonly priority: number },
  { split, room }: WaitState,
): number {
  const work = sumWork(
    split.entries,
    ({ priority }) => priority <= request.priority,
  );
  return work < room.slots
    ? estimateWaitMs(request, { split, room })
    : Infinity;
}
