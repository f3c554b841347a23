/**
 * Finds upstreams that fail more than their peers, by what their answers show.
 *
 * A service may fail a share of its requests at every upstream; only one that
 * fails clearly more often than the others is avoided. An upstream that can't
 * be connected to is avoided at once, for a time that doubles while it lasts.
 */

/** How a request at an upstream ended. */
export type RequestEnd = "answered" | "failed" | "unreachable";

interface EndCounts {
  /** Ends and failures, fading. */
  ends: number;
  failures: number;
  updatedAt: number;
  /** Unreachable ends in a row. */
  unreachable: number;
  avoidedUntil: number;
}

/** Time in which a count loses half of its weight, in milliseconds. */
const HALF_LIFE_MS = 2_000;
/** Failures below which an upstream is not judged. */
const LEAST_FAILURES = 2.5;
/** Share of failures from which an upstream is avoided. */
const SUSPECT_SHARE = 0.3;
/** How much more than its peers it must fail. */
const SUSPECT_FACTOR = 2;
/** The time of a connection attempt, in milliseconds. */
const FIRST_AVOIDANCE_MS = 400;
/** Most upstreams that went down are back or gone by then, in milliseconds. */
const MAX_AVOIDANCE_MS = 3_200;

/** See the module. */
export class UpstreamHealth {
  readonly #records = new Map<string, EndCounts>();

  noteEnd(upstream: string, end: RequestEnd, now: number): void {
    const record = this.#fade(upstream, now);
    record.ends++;
    if (end === "answered") {
      record.unreachable = 0;
      record.avoidedUntil = 0;
      return;
    }
    record.failures++;
    if (end !== "unreachable") return;
    const factor = 2 ** Math.min(record.unreachable, 10);
    record.unreachable++;
    const avoidance = Math.min(FIRST_AVOIDANCE_MS * factor, MAX_AVOIDANCE_MS);
    record.avoidedUntil = now + avoidance;
  }

  /** Forgets what was seen of an upstream, when it has started anew. */
  forget(upstream: string): void {
    this.#records.delete(upstream);
  }

  /** Which of `upstreams`, all of one service, are to be avoided. */
  findSuspects(upstreams: readonly string[], now: number): Set<string> {
    const suspects = new Set<string>();
    let ends = 0;
    let failures = 0;
    for (const upstream of upstreams) {
      if (!this.#records.has(upstream)) continue;
      const record = this.#fade(upstream, now);
      ends += record.ends;
      failures += record.failures;
    }
    for (const upstream of upstreams) {
      const record = this.#records.get(upstream);
      if (record === undefined) continue;
      const others = (failures - record.failures) /
        Math.max(1, ends - record.ends);
      const share = record.failures / record.ends;
      const isFailing = record.failures >= LEAST_FAILURES &&
        share >= SUSPECT_SHARE && share >= SUSPECT_FACTOR * others;
      if (isFailing || now < record.avoidedUntil) suspects.add(upstream);
    }
    return suspects;
  }

  #fade(upstream: string, now: number): EndCounts {
    let record = this.#records.get(upstream);
    if (record === undefined) {
      record = {
        ends: 0,
        failures: 0,
        updatedAt: now,
        unreachable: 0,
        avoidedUntil: 0,
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
