/** What a test of requests that crash upstreams collects, and its figures. */
import type { Call } from "../store_chaos_evidence.ts";
import type { StoreFleet } from "../store_chaos_fleet.ts";

/** Sound requests and crashing ones that were sent to a fleet. */
export interface CrashRun {
  readonly fleet: StoreFleet;
  readonly sound: readonly Call[];
  readonly crashing: readonly Call[];
}

/**
 * Returns how often crashing requests reached an upstream that were sent
 * `contactMs` milliseconds after the crash with number `crashCount`, or later.
 */
export function countLaterArrivals(
  { fleet, crashing }: CrashRun,
  { crashCount, contactMs }: { crashCount: number; contactMs: number },
): number {
  const crash = fleet.crashes[crashCount - 1];
  const knownAtMs = (crash?.atMs ?? Infinity) + contactMs;
  const later = new Set(
    crashing.filter(({ fromMs }) => fromMs > knownAtMs)
      .map(({ requestId }) => requestId),
  );
  return fleet.arrivals.filter(({ requestId }) => later.has(requestId)).length;
}

/** Returns the share of sound requests sent from `fromMs` on that were served. */
export function getServedShare(
  { sound }: CrashRun,
  fromMs: number,
): number {
  const sent = sound.filter((call) => call.fromMs >= fromMs);
  return sent.filter(({ first }) => first.end === "whole").length / sent.length;
}
