/**
 * Selects the routers with which a router keeps a control connection.
 *
 * In a small fleet these are all other routers. In a large fleet they are the
 * routers that share a pool with it, with which it exchanges loans of ranks,
 * and the nearest routers on a ring of all router names. The ring carries
 * configurations between pools that have no router in common. The selection is
 * symmetric, so that both ends of a connection make it, and its size does not
 * grow with the fleet.
 */
import type { Router } from "../types.ts";

/** Options of `selectPeers`. */
export interface PeerSelectionOptions {
  /** Name of this router. */
  readonly self: string;
  /** Names of the routers that share a pool with this one. */
  readonly poolPeers: readonly string[];
  /** Number of routers up to which every router connects to every other. */
  readonly smallFleet?: number;
  /** Number of nearest routers on each side of the ring. */
  readonly ringReach?: number;
}

const MAX_SMALL_FLEET_ROUTERS = 8;
const DEFAULT_RING_REACH = 2;

/** Selects the peers of `self` from the routers of the fleet. */
export function selectPeers(
  routers: readonly Router[],
  {
    self,
    poolPeers,
    smallFleet = MAX_SMALL_FLEET_ROUTERS,
    ringReach = DEFAULT_RING_REACH,
  }: PeerSelectionOptions,
): Router[] {
  const others = routers.filter(({ name }) => name !== self);
  if (routers.length <= smallFleet) return others;
  const names = new Set([
    ...poolPeers,
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
