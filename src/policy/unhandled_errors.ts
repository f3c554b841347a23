/**
 * Decides whether a process goes on after an error that nothing handled.
 *
 * Load pattern: one request of many meets a fault of the code. Its state is its
 * own, and ending the process would cost all other callers their requests. If
 * such errors come often, the state of the process itself may be wrong, and a
 * new process serves better.
 */

/** Errors within the window that are too many. */
const MAX_ERRORS = 20;
const WINDOW_MS = 10_000;

/** Counts the errors of the last seconds. */
export class UnhandledErrors {
  /** Times of the latest errors, oldest first. */
  readonly #times: number[] = [];

  /** Records an error at `now`; returns whether the process should stop. */
  record(now: number): "go-on" | "stop" {
    this.#times.push(now);
    if (this.#times.length > MAX_ERRORS) this.#times.shift();
    const areMany = this.#times.length === MAX_ERRORS &&
      now - this.#times[0]! < WINDOW_MS;
    return areMany ? "stop" : "go-on";
  }
}
