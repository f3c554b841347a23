/**
 * Observed rate at which waiters leave the admission queue.
 *
 * Intervals are averaged rather than rates, since places come free in bursts
 * and an interval may be 0. Time in which the queue was empty is left out.
 */

const MIN_UNIT_MS = 0.01;
/** Weight of the newest interval in the moving average. */
const SMOOTHING = 0.1;

/** Moving average of the time in which one unit of cost leaves. */
export class DepartureRate {
  #unitMs: number;
  /** Time of the last departure, or of the arrival at the empty queue. */
  #since = 0;

  /** `unitMs` is assumed until departures are seen. */
  constructor(unitMs: number) {
    this.#unitMs = unitMs;
  }

  /** Notes an arrival at the empty queue. */
  start(now: number): void {
    this.#since = now;
  }

  /** Notes that `cost` units have left. */
  observe(cost: number, now: number): void {
    const unitMs = Math.max(0, now - this.#since) / cost;
    this.#unitMs += SMOOTHING * (unitMs - this.#unitMs);
    this.#since = now;
  }

  /** Milliseconds for a unit to leave; grows while a queue is stalled. */
  getUnitMs(now: number): number {
    const stalledMs = Math.max(0, now - this.#since - this.#unitMs);
    return Math.max(MIN_UNIT_MS, this.#unitMs + SMOOTHING * stalledMs);
  }
}
