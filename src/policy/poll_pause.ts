/**
 * Intervals at which a router polls the store and sends requests to a relay.
 *
 * Every router polls, so the cost of a poll is multiplied by the size of the
 * fleet. The pause between polls is therefore as long as the tightest bound on
 * the use of outdated data allows if one poll is lost.
 */

/** Bounds on how long a router may act on data that the store has replaced. */
export interface StoreBounds {
  /** Time for which a leaving upstream may be used, in milliseconds. */
  readonly drainMs: number;
  /** Time for which an older configuration may be used, in milliseconds. */
  readonly applyMs: number;
}

/** Intervals of store polls and relay requests, in milliseconds. */
export interface StorePollIntervals {
  /** Pause between two polls of the store if every router polls it. */
  readonly pollPauseMs: number;
  /** Pause between two polls by a relay; other routers get its data later. */
  readonly relayPauseMs: number;
  /** Interval between requests to a relay. */
  readonly askMs: number;
  /** Age of the data above which another relay is asked. */
  readonly staleMs: number;
  /** Age of the data above which a router polls the store itself. */
  readonly ownPollMs: number;
}

/**
 * Pause between polls as a fraction of the bound. If one poll is lost, three
 * pauses and the calls between them pass before its data is known, which leaves
 * a tenth of the bound.
 */
const PAUSE_SHARE = 0.3;
const MIN_PAUSE_MS = 100;
/**
 * A router relies on the absence of a route or key for up to 1.5 times this
 * value.
 */
const MAX_PAUSE_MS = 1_000;
/**
 * Fractions of the bound. If one poll and two relay requests are lost, data is
 * known after four fifths of the bound.
 */
const RELAY_PAUSE_SHARE = 0.2;
const RELAY_REQUEST_SHARE = 0.13;
/**
 * Exceeded after one lost poll or two lost relay requests; enough of the bound
 * remains to ask another relay.
 */
const STALE_AGE_FRACTION = 0.5;
const OWN_POLL_SHARE = 0.65;

function clampInterval(ms: number): number {
  return Math.max(MIN_PAUSE_MS, Math.min(ms, MAX_PAUSE_MS));
}

/** Returns the pause between two polls, in milliseconds. */
export function getPollPause({ drainMs, applyMs }: StoreBounds): number {
  return clampInterval(Math.min(drainMs, applyMs) * PAUSE_SHARE);
}

/** Derives all intervals from the tighter of the two bounds. */
export function getStorePollIntervals(bounds: StoreBounds): StorePollIntervals {
  const pollPauseMs = getPollPause(bounds);
  // Derived from the limited pause: above a few seconds, longer bounds do not
  // lengthen the other intervals either.
  const bound = pollPauseMs / PAUSE_SHARE;
  return {
    pollPauseMs,
    relayPauseMs: clampInterval(bound * RELAY_PAUSE_SHARE),
    askMs: clampInterval(bound * RELAY_REQUEST_SHARE),
    staleMs: bound * STALE_AGE_FRACTION,
    ownPollMs: bound * OWN_POLL_SHARE,
  };
}
