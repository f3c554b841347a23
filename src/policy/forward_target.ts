/**
 * Chooses the router through which a request goes while this router's own links
 * to the upstreams are down.
 *
 * Load pattern: most routers lose their links at once, and all that they get
 * goes through the few that are left. Each of the two routers that are compared
 * is drawn at random, so that routers which don't know each other's choices
 * spread over all; the one with fewer requests of this router's gets the request.
 */

/** Options of `chooseForwardTarget`. */
export interface ForwardTargetOptions {
  /** Returns how many requests this router has forwarded to `router`. */
  readonly countInFlight: (router: string) => number;
  /** Returns a uniform value in [0, 1). */
  readonly random: () => number;
}

/** Chooses one of `routers`; undefined if there is none. */
export function chooseForwardTarget(
  routers: readonly string[],
  { countInFlight, random }: ForwardTargetOptions,
): string | undefined {
  if (routers.length === 0) return undefined;
  const first = Math.floor(random() * routers.length);
  if (routers.length === 1) return routers[first];
  const offset = 1 + Math.floor(random() * (routers.length - 1));
  const one = routers[first]!;
  const other = routers[(first + offset) % routers.length]!;
  return countInFlight(other) < countInFlight(one) ? other : one;
}
