/** The day that is measured, compressed into phases of whole seconds. */

/** A part of a run, in seconds since its start. */
export interface Phase {
  readonly from: number;
  readonly to: number;
}

/** When what happens, in seconds since the start of a run. */
export interface Schedule {
  /** Caches fill and cold starts end; nothing is judged. */
  readonly warm: Phase;
  /** No upstream changes; one workspace surges. */
  readonly steady: Phase;
  /** An engine is killed and started again; another leaves for a while. */
  readonly churn: Phase;
  /** A failure domain is out from a second after the start. */
  readonly domain: Phase;
  /** Nothing is sent. */
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

/** Length of a phase. */
export function getSeconds({ from, to }: Phase): number {
  return to - from;
}

/** Whether a second falls into a phase. */
export function isWithin({ from, to }: Phase, second: number): boolean {
  return second >= from && second < to;
}
