/**
 * Detects upstreams that fail more often than their peers, from the results of
 * requests.
 *
 * A service may fail a fraction of its requests at every upstream. Only an
 * upstream that fails much more often than the others is avoided. An upstream
 * that can't be connected to is avoided at once, for a time that doubles with
 * each further failed connection, up to a maximum. One whose answers exceed what
 * an answer may have is avoided in the same way, after more than one of them in a
 * row, since a request may cause a single one.
 */

/** Result of a request sent to an upstream. */
export type RequestEnd = "answered" | "failed" | "excess" | "unreachable";

interface EndRecord {
  /** Ended and failed requests, with exponential decay. */
  ends: number;
  failures: number;
  /** Time of the last decay, in milliseconds. */
  updatedAt: number;
  /** Consecutive answers that exceeded what an answer may have. */
  excesses: number;
  /** Consecutive requests that could not connect, or count like these. */
  unreachable: number;
  /** Time of the last of these, in milliseconds. */
  unreachableAt: number;
  /** Time until which the upstream is avoided, in milliseconds. */
  avoidedUntil: number;
  /** Time of the last answer, in milliseconds. */
  answeredAt: number;
}

/** Half-life of the counts, in milliseconds. */
const HALF_LIFE_MS = 2_000;
/** Minimum decayed failures for an upstream to be suspect. */
const MIN_FAILURES = 2.5;
/** Minimum failure rate for an upstream to be suspect. */
const SUSPECT_FAILURE_RATE = 0.3;
/** Minimum ratio of its failure rate to that of its peers. */
const SUSPECT_FACTOR = 2;
/** Consecutive excessive answers after which an upstream is avoided. */
const MIN_EXCESSES = 2;
/** Initial avoidance time: a connection attempt's duration, in milliseconds. */
const MIN_AVOIDANCE_MS = 400;
/**
 * Maximum avoidance time, in milliseconds; by then most failed upstreams are
 * back or removed.
 */
const MAX_AVOIDANCE_MS = 3_200;

/**
 * Age up to which an answer says more than the reports of other routers, in
 * milliseconds; about the time that a report takes.
 */
const RECENT_ANSWER_MS = 1_000;

/**
 * Time for which a failure to connect is reported to other routers, in
 * milliseconds; several times the interval of the reports.
 */
const REPORT_MS = 2_000;

/** Failure rates and avoidance times of upstreams. */
export class UpstreamHealth {
  readonly #records = new Map<string, EndRecord>();

  /** Records the result of a request at `now`, in milliseconds. */
  recordEnd(upstream: string, end: RequestEnd, now: number): void {
    const record = this.#getDecayed(upstream, now);
    record.ends++;
    if (end === "answered") {
      record.excesses = 0;
      record.unreachable = 0;
      record.avoidedUntil = 0;
      record.answeredAt = now;
      return;
    }
    record.failures++;
    if (end === "failed") return;
    if (end === "excess" && ++record.excesses < MIN_EXCESSES) return;
    const factor = 2 ** Math.min(record.unreachable, 10);
    record.unreachable++;
    record.unreachableAt = now;
    const avoidance = Math.min(MIN_AVOIDANCE_MS * factor, MAX_AVOIDANCE_MS);
    record.avoidedUntil = now + avoidance;
  }

  /** Drops the counts of an upstream that has restarted. */
  forget(upstream: string): void {
    this.#records.delete(upstream);
  }

  /**
   * Lists the upstreams to which a connection failed lately, or whose answers
   * were excessive, without an answer since.
   */
  listUnreachable(now: number): string[] {
    return [...this.#records]
      .filter(([, { unreachable, unreachableAt }]) =>
        unreachable > 0 && now - unreachableAt < REPORT_MS
      )
      .map(([upstream]) => upstream);
  }

  /** Whether `upstream` has answered within the last second. */
  hasAnsweredLately(upstream: string, now: number): boolean {
    const answeredAt = this.#records.get(upstream)?.answeredAt ?? -Infinity;
    return now - answeredAt <= RECENT_ANSWER_MS;
  }

  /** Returns which of `upstreams`, all of one service, should be avoided. */
  findSuspects(upstreams: readonly string[], now: number): Set<string> {
    const suspects = new Set<string>();
    let ends = 0;
    let failures = 0;
    for (const upstream of upstreams) {
      if (!this.#records.has(upstream)) continue;
      const record = this.#getDecayed(upstream, now);
      ends += record.ends;
      failures += record.failures;
    }
    for (const upstream of upstreams) {
      const record = this.#records.get(upstream);
      if (record === undefined) continue;
      const peerFailureRate = (failures - record.failures) /
        Math.max(1, ends - record.ends);
      const failureRate = record.failures / record.ends;
      const isFailing = record.failures >= MIN_FAILURES &&
        failureRate >= SUSPECT_FAILURE_RATE &&
        failureRate >= SUSPECT_FACTOR * peerFailureRate;
      if (isFailing || now < record.avoidedUntil) suspects.add(upstream);
    }
    return suspects;
  }

  /** Returns the record of `upstream` with its counts decayed to `now`. */
  #getDecayed(upstream: string, now: number): EndRecord {
    let record = this.#records.get(upstream);
    if (record === undefined) {
      record = {
        ends: 0,
        failures: 0,
        updatedAt: now,
        excesses: 0,
        unreachable: 0,
        unreachableAt: -Infinity,
        avoidedUntil: 0,
        answeredAt: -Infinity,
      };
      this.#records.set(upstream, record);
    }
    const weight = 0.5 ** ((now - record.updatedAt) / HALF_LIFE_MS);
    record.ends *= weight;
    record.failures *= weight;
    record.updatedAt = now;
    return record;
  }
}
