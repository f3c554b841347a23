/**
 * Which routers a router keeps a control connection with.
 *
 * In a small fleet that is every other one. In a large one it is the routers
 * that share a pool with it, whose ranks it lends and borrows, and its nearest
 * routers on a ring of all names, by which configurations spread though a pool
 * never meets another. The choice is symmetric, so that both ends make it, and
 * its size does not grow with the fleet.
 */
import type { Router } from "../types.ts";

/** Options of a selection. */
export interface PeerSelectionOptions {
  readonly self: string;
  /** Names of the routers that share a pool with this one. */
  readonly neighbours: readonly string[];
  /** Size up to which every router keeps a connection with every other. */
  readonly smallFleet?: number;
  /** Routers on either side of the ring. */
  readonly ringReach?: number;
}

const SMALL_FLEET = 8;
const RING_REACH = 2;

/** Selects the peers of `self` among the routers of the fleet. */
export function selectPeers(
  routers: readonly Router[],
  {
    self,
    neighbours,
    smallFleet = SMALL_FLEET,
    ringReach = RING_REACH,
  }: PeerSelectionOptions,
): Router[] {
  const others = routers.filter(({ name }) => name !== self);
  if (routers.length <= smallFleet) return others;
  const names = new Set([
    ...neighbours,
    ...findRingNames(routers, { self, ringReach }),
  ]);
  return others.filter(({ name }) => names.has(name));
}

function findRingNames(
  routers: readonly Router[],
  { self, ringReach }: { self: string; ringReach: number },
): string[] {
  const ring = routers.map(({ name }) => name).sort();
  const position = ring.indexOf(self);
  if (position < 0) return [];
  const names: string[] = [];
  for (let step = 1; step <= ringReach; step++) {
    names.push(ring[(position + step) % ring.length]!);
    names.push(ring[(position - step + ring.length) % ring.length]!);
  }
  return names;
}
