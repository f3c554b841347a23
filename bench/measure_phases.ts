/** Phases of a measured run: a day compressed into whole seconds. */

/** A part of a run, in seconds since its start. */
export interface Phase {
  readonly from: number;
  readonly to: number;
}

/** Phases of a run, in seconds since its start. */
export interface Schedule {
  /** Caches fill and cold starts end; compared with no target. */
  readonly warm: Phase;
  /** No upstream changes; the load of one workspace surges. */
  readonly steady: Phase;
  /** An engine is killed and restarted; another one leaves and returns. */
  readonly churn: Phase;
  /** A failure domain is out, from one second after the start. */
  readonly domain: Phase;
  /** Time without requests. */
  readonly idleSeconds: number;
}

/** Schedule of a full run. */
export const FULL_SCHEDULE: Schedule = {
  warm: { from: 0, to: 5 },
  steady: { from: 5, to: 13 },
  churn: { from: 13, to: 23 },
  domain: { from: 23, to: 32 },
  idleSeconds: 8,
};

/** Schedule of a quick run. */
export const QUICK_SCHEDULE: Schedule = {
  warm: { from: 0, to: 4 },
  steady: { from: 4, to: 10 },
  churn: { from: 10, to: 18 },
  domain: { from: 18, to: 25 },
  idleSeconds: 6,
};

/** Returns the length of a phase in seconds. */
export function getSeconds({ from, to }: Phase): number {
  return to - from;
}

/** Returns whether a second is part of a phase. */
export function isWithin({ from, to }: Phase, second: number): boolean {
  return second >= from && second < to;
}
