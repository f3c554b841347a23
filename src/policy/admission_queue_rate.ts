/**
 * Observed rate at which waiters leave the admission queue.
 *
 * Averages intervals rather than rates, because capacity is released in bursts
 * and an interval may be 0. Time in which the queue was empty is not counted.
 */

const MIN_UNIT_MS = 0.01;
/** Weight of the newest interval in the exponential moving average. */
const SMOOTHING = 0.1;

/** Moving average of the time that one unit of cost takes to leave. */
export class DepartureRate {
  #unitMs: number;
  /** Time of the last departure, or of a later arrival at an empty queue. */
  #intervalStart = 0;

  /** `unitMs` is the average assumed before the first departure. */
  constructor(unitMs: number) {
    this.#unitMs = unitMs;
  }

  /** Records an arrival at the empty queue. */
  recordArrival(now: number): void {
    this.#intervalStart = now;
  }

  /** Records that a waiter of `cost` units has left the queue. */
  recordDeparture(cost: number, now: number): void {
    const unitMs = Math.max(0, now - this.#intervalStart) / cost;
    this.#unitMs += SMOOTHING * (unitMs - this.#unitMs);
    this.#intervalStart = now;
  }

  /** Gets the milliseconds per unit of cost; grows while nothing leaves. */
  getUnitMs(now: number): number {
    const stalledMs = Math.max(0, now - this.#intervalStart - this.#unitMs);
    return Math.max(MIN_UNIT_MS, this.#unitMs + SMOOTHING * stalledMs);
  }
}
