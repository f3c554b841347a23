/**
 * Chooses the routers that a starting router asks for a newer configuration.
 *
 * Load pattern: the metadata store has returned to an older copy, and routers
 * start before the operators have written again what it lost. A router that
 * has run since before knows the newer configuration; one that starts reads a
 * key from the copy that was taken away.
 */

/** Options of `chooseStartPeers`. */
export interface StartPeersOptions {
  /** Number of times that the store has returned to an older copy. */
  readonly era: number;
  /** Name of the router that starts. */
  readonly self: string;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Routers that are asked. Some of those that are registered may have ended, or
 * may start as well when a whole fleet does.
 */
const MAX_START_PEERS = 5;

/**
 * Returns the names of the routers to ask, none if the store has never returned
 * to a copy.
 */
export function chooseStartPeers(
  routers: readonly string[],
  { era, self, random }: StartPeersOptions,
): string[] {
  if (era === 0) return [];
  const others = routers.filter((name) => name !== self);
  const chosen: string[] = [];
  while (others.length > 0 && chosen.length < MAX_START_PEERS) {
    const index = Math.floor(random() * others.length);
    chosen.push(...others.splice(index, 1));
  }
  return chosen;
}
