/**
 * How long a router waits between two polls of the store, and between two
 * questions to a relay.
 *
 * Each poll costs the whole fleet, since every router makes it. The pause is as
 * long as the tightest bound on what the store says allows with a poll lost.
 */

/** Bounds on what a router does after the store has said otherwise. */
export interface StoreBounds {
  /** Use of a leaving upstream, in milliseconds. */
  readonly drainMs: number;
  /** Use of an older configuration, in milliseconds. */
  readonly applyMs: number;
}

/** How often the store and the relays are asked, in milliseconds. */
export interface StorePace {
  /** Pause between two polls of the store where every router polls it. */
  readonly pollPauseMs: number;
  /** The same of a relay, from which others hear later. */
  readonly relayPauseMs: number;
  /** Interval at which a relay is asked. */
  readonly askMs: number;
  /** Age from which another relay is asked. */
  readonly staleMs: number;
  /** Age from which a router asks the store itself. */
  readonly ownPollMs: number;
}

/**
 * Three pauses and the calls between them pass before what a lost poll held is
 * known, which leaves a tenth of the bound.
 */
const PAUSE_SHARE = 0.3;
const LEAST_PAUSE_MS = 100;
/** Absence of a route or key is believed up to this age and a half. */
const MOST_PAUSE_MS = 1_000;
/** With a poll and two questions lost, four fifths of the bound pass. */
const RELAY_PAUSE_SHARE = 0.2;
const ASK_SHARE = 0.13;
/** A poll or two questions lost; there is time to ask elsewhere. */
const STALE_SHARE = 0.5;
const OWN_POLL_SHARE = 0.65;

function limitPause(ms: number): number {
  return Math.max(LEAST_PAUSE_MS, Math.min(ms, MOST_PAUSE_MS));
}

/** Pause between two polls, in milliseconds. */
export function getPollPause({ drainMs, applyMs }: StoreBounds): number {
  return limitPause(Math.min(drainMs, applyMs) * PAUSE_SHARE);
}

/** Derives the pace of polls and questions from the tightest bound. */
export function getStorePace(bounds: StoreBounds): StorePace {
  const pollPauseMs = getPollPause(bounds);
  // Bounds above some seconds bring no slower pace, as with polls.
  const bound = pollPauseMs / PAUSE_SHARE;
  return {
    pollPauseMs,
    relayPauseMs: limitPause(bound * RELAY_PAUSE_SHARE),
    askMs: limitPause(bound * ASK_SHARE),
    staleMs: bound * STALE_SHARE,
    ownPollMs: bound * OWN_POLL_SHARE,
  };
}
