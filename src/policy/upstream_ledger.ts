/**
 * Accounts for the in-flight work on one upstream, as known to one router: its
 * own work, and a bound on foreign work (that of other routers) from reports.
 *
 * A report carries no timestamp. It was sent after the request that it answers,
 * so it was made no earlier than the time of that request minus the stated age.
 * This holds however late the report is read, unlike the time of receipt.
 *
 * Own work that began at least the transit bound before a report was made is
 * included in the report's count, or it had ended by then and the router does
 * not know that yet. In both cases it may be subtracted from the count while
 * the router itself still counts it. Own work that has ended since then can't
 * be distinguished from foreign work and counts as foreign until a later
 * report.
 *
 * Abandoned work, whose end the router does not know, counts as own work until
 * it can be replaced by a report that must include it.
 */
import type { LoadReport } from "../types.ts";
import * as Debug from "../debug.ts";

/** Options of a ledger. */
export interface UpstreamLedgerOptions {
  /**
   * Time within which a sent request reaches the upstream, if at all, in
   * milliseconds.
   */
  readonly transitMs: number;
  /** Maximum drift of two clocks over a report's age, in milliseconds. */
  readonly driftMs: number;
}

/** In-flight work on one upstream; all times are in milliseconds. */
export interface UpstreamLedger {
  /** Number of this router's requests in flight. */
  readonly own: number;
  /** Records that a request is sent. */
  begin(now: number): void;
  /** Records the end of a request; `beganAt` is the time passed to `begin`. */
  recordEnd(beganAt: number): void;
  /** Abandons a request that may still be in flight on the upstream. */
  recordAbandoned(beganAt: number): void;
  /** Records a report; `askedAt` is the send time of the request it answers. */
  recordReport(report: LoadReport, askedAt: number): void;
  /**
   * Upper bound on the foreign work that began before `since` and is still in
   * flight; infinite while no report is known to include all of it.
   */
  getForeignBound(since: number): number;
}

/** Creates the ledger of an upstream without any work or reports. */
export function createUpstreamLedger(
  options: UpstreamLedgerOptions,
): UpstreamLedger {
  return new ReportBasedLedger(options);
}

const UNBOUNDED = Infinity;

/** The count of a report. */
interface Reading {
  /** Earliest time at which the report can have been made. */
  readonly madeAt: number;
  readonly inFlight: number;
}

class ReportBasedLedger implements UpstreamLedger {
  readonly #options: UpstreamLedgerOptions;
  /** Start times of own requests in flight, oldest first. */
  readonly #begun: number[] = [];
  /**
   * Readings that can yield the lowest bound for some `since`, oldest first. At
   * least as much own work is subtracted from a later reading as from an
   * earlier one, so it replaces every earlier one with the same or a higher
   * count. The counts are therefore strictly increasing.
   */
  #readings: Reading[] = [];
  /** Readings made earlier may not include all abandoned work. */
  #minMadeAt = -Infinity;
  /** Start times of abandoned requests that still count as own. */
  readonly #abandoned: number[] = [];

  constructor(options: UpstreamLedgerOptions) {
    this.#options = options;
  }

  get own(): number {
    return this.#begun.length;
  }

  begin(now: number): void {
    this.#begun.push(now);
  }

  recordEnd(beganAt: number): void {
    const index = this.#begun.indexOf(beganAt);
    Debug.assert(index >= 0, "unknown-request", () => `began at ${beganAt}`);
    if (index >= 0) this.#begun.splice(index, 1);
  }

  recordAbandoned(beganAt: number): void {
    this.#abandoned.push(beganAt);
    this.#releaseAbandoned();
  }

  recordReport({ inFlight, ageMs }: LoadReport, askedAt: number): void {
    const madeAt = askedAt - ageMs - this.#options.driftMs;
    if (madeAt < this.#minMadeAt) return;
    this.#add({ madeAt, inFlight });
    this.#releaseAbandoned();
  }

  getForeignBound(since: number): number {
    const madeFrom = since + this.#options.transitMs;
    return this.#getMinForeign(this.#begun, madeFrom);
  }

  #add({ madeAt, inFlight }: Reading): void {
    const earlier: Reading[] = [];
    const later: Reading[] = [];
    for (const reading of this.#readings) {
      const isLater = reading.madeAt >= madeAt;
      if (isLater && reading.inFlight <= inFlight) return;
      if (isLater) later.push(reading);
      else if (reading.inFlight < inFlight) earlier.push(reading);
    }
    this.#readings = [...earlier, { madeAt, inFlight }, ...later];
  }

  /** Lowest bound on foreign work from readings made at or after `madeFrom`. */
  #getMinForeign(begun: readonly number[], madeFrom: number): number {
    const { transitMs } = this.#options;
    let min = UNBOUNDED;
    for (const { madeAt, inFlight } of this.#readings) {
      if (madeAt < madeFrom) continue;
      const foreign = inFlight - countUpTo(begun, madeAt - transitMs);
      if (foreign <= 0) return 0;
      if (foreign < min) min = foreign;
    }
    return min;
  }

  /**
   * Turns abandoned work into foreign work if a report includes it and the sum
   * of own and foreign work does not increase.
   */
  #releaseAbandoned(): void {
    for (const beganAt of [...this.#abandoned]) {
      const madeFrom = beganAt + this.#options.transitMs;
      const remaining = this.#begun.toSpliced(this.#begun.indexOf(beganAt), 1);
      const before = this.#getMinForeign(this.#begun, this.#minMadeAt);
      const after = this.#getMinForeign(remaining, madeFrom);
      if (after > before + 1 || !Number.isFinite(after)) continue;
      this.#abandoned.splice(this.#abandoned.indexOf(beganAt), 1);
      this.recordEnd(beganAt);
      this.#minMadeAt = Math.max(this.#minMadeAt, madeFrom);
      this.#readings = this.#readings
        .filter(({ madeAt }) => madeAt >= this.#minMadeAt);
    }
  }
}

/** Counts the values of an ascending list that are at most `bound`. */
function countUpTo(ascending: readonly number[], bound: number): number {
  const index = ascending.findIndex((value) => value > bound);
  return index < 0 ? ascending.length : index;
}
