/**
 * What a router knows of the in-flight work on one upstream: its own work, and
 * a bound on the foreign work that a report has seen.
 *
 * A report has no time of its own. It was sent after the request that it
 * answers, so it was made no earlier than that request less the stated age.
 * This holds however late the report is read, where a time of receipt does not.
 *
 * Own work that began a transit bound before a report is part of the report's
 * count, or had ended by then and the router does not know it yet. Either way
 * it may be taken off the count for as long as the router itself still counts
 * it. Own work that has ended since can't be told from foreign work and counts
 * as foreign until a later report.
 *
 * Work that the router gave up on without word of its end stays its own until a
 * report that must have seen it can take its place.
 */
import type { LoadReport } from "../types.ts";
import * as Debug from "../debug.ts";

/** Options of a ledger. */
export interface UpstreamLedgerOptions {
  /** Time in which a request that is sent reaches the upstream, or never. */
  readonly transitMs: number;
  /** Most that two clocks drift apart over a report's age. */
  readonly driftMs: number;
}

/** The in-flight work on one upstream. */
export interface UpstreamLedger {
  /** Requests of this router in flight. */
  readonly own: number;
  /** Notes that a request is sent. */
  begin(now: number): void;
  /** Notes the end of a request; `beganAt` is the time that began it. */
  end(beganAt: number): void;
  /** Gives up on a request that may still be in flight on the upstream. */
  abandon(beganAt: number): void;
  /** Notes a report; `askedAt` is when the request it answers was sent. */
  report(report: LoadReport, askedAt: number): void;
  /**
   * Bound on the foreign work that was begun before `since` and is still in
   * flight; infinite while no report is known to have seen all of it.
   */
  foreign(since: number): number;
}

/** Creates the ledger of an upstream without work and reports. */
export function createUpstreamLedger(
  options: UpstreamLedgerOptions,
): UpstreamLedger {
  return new ReportedLedger(options);
}

const UNBOUNDED = Infinity;

interface Reading {
  /** Earliest time at which the report was made. */
  readonly madeAt: number;
  readonly inFlight: number;
}

class ReportedLedger implements UpstreamLedger {
  readonly #options: UpstreamLedgerOptions;
  /** Starts of the own requests in flight, oldest first. */
  readonly #begun: number[] = [];
  /**
   * Readings that may give the least bound for some time, oldest first. A
   * later reading has at least the credit of an earlier one, so it replaces
   * each earlier one that is not lower: the counts rise strictly.
   */
  #readings: Reading[] = [];
  /** Readings made before have not seen all of the work given up on. */
  #seesAllFrom = -Infinity;
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

  end(beganAt: number): void {
    const index = this.#begun.indexOf(beganAt);
    Debug.assert(index >= 0, "unknown-request", () => `began at ${beganAt}`);
    if (index >= 0) this.#begun.splice(index, 1);
  }

  abandon(beganAt: number): void {
    this.#abandoned.push(beganAt);
    this.#releaseAbandoned();
  }

  report({ inFlight, ageMs }: LoadReport, askedAt: number): void {
    const madeAt = askedAt - ageMs - this.#options.driftMs;
    if (madeAt < this.#seesAllFrom) return;
    this.#add({ madeAt, inFlight });
    this.#releaseAbandoned();
  }

  foreign(since: number): number {
    const madeFrom = since + this.#options.transitMs;
    return this.#leastForeign(this.#begun, madeFrom);
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

  #leastForeign(begun: readonly number[], madeFrom: number): number {
    const { transitMs } = this.#options;
    let least = UNBOUNDED;
    for (const { madeAt, inFlight } of this.#readings) {
      if (madeAt < madeFrom) continue;
      const foreign = inFlight - countUpTo(begun, madeAt - transitMs);
      if (foreign <= 0) return 0;
      if (foreign < least) least = foreign;
    }
    return least;
  }

  /**
   * Turns abandoned work into foreign work where a report has seen it and the
   * sum of the two is no larger for it.
   */
  #releaseAbandoned(): void {
    for (const beganAt of [...this.#abandoned]) {
      const madeFrom = beganAt + this.#options.transitMs;
      const rest = this.#begun.toSpliced(this.#begun.indexOf(beganAt), 1);
      const before = this.#leastForeign(this.#begun, this.#seesAllFrom);
      const after = this.#leastForeign(rest, madeFrom);
      if (after > before + 1 || !Number.isFinite(after)) continue;
      this.#abandoned.splice(this.#abandoned.indexOf(beganAt), 1);
      this.end(beganAt);
      this.#seesAllFrom = Math.max(this.#seesAllFrom, madeFrom);
      this.#readings = this.#readings
        .filter(({ madeAt }) => madeAt >= this.#seesAllFrom);
    }
  }
}

/** Counts the entries of an ascending list up to `bound`. */
function countUpTo(ascending: readonly number[], bound: number): number {
  const index = ascending.findIndex((value) => value > bound);
  return index < 0 ? ascending.length : index;
}
