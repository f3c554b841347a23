/**
 * How long a router waits between two polls of the store.
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

/**
 * Three pauses and the calls between them pass before what a lost poll held is
 * known, which leaves a tenth of the bound.
 */
const PAUSE_SHARE = 0.3;
const LEAST_PAUSE_MS = 100;
/** Absence of a route or key is believed up to this age and a half. */
const MOST_PAUSE_MS = 1_000;

/** Pause between two polls, in milliseconds. */
export function getPollPause({ drainMs, applyMs }: StoreBounds): number {
  const pause = Math.min(drainMs, applyMs) * PAUSE_SHARE;
  return Math.max(LEAST_PAUSE_MS, Math.min(pause, MOST_PAUSE_MS));
}
