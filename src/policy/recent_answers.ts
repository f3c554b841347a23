/**
 * Keeps which upstreams have answered this router or others a short time ago.
 *
 * Load pattern: some upstreams of a service take connections and requests, but
 * answer with errors or not at all. Each router sends few requests, so that it
 * knows of few upstreams that they are sound; together the routers know it of
 * nearly all. They tell each other only while a service fails, since these
 * reports would otherwise double the messages for nothing.
 */

/** An upstream that has answered a request, as told to other routers. */
export interface AnswerReport {
  readonly upstream: string;
  /** Time since the answer, in milliseconds. */
  readonly ageMs: number;
}

/** Number of reports in a message; the latest answers go first. */
export const MAX_REPORTED_ANSWERS = 128;
/** Age up to which an answer speaks for an upstream, in milliseconds. */
const RECENT_MS = 1_000;
/**
 * Time after a failure for which answers of the service are reported, in
 * milliseconds; failures of a part of its upstreams come several a second.
 */
const FAILING_MS = 10_000;

/** Times of the last answers. */
export class RecentAnswers {
  /** By upstream, in milliseconds. */
  readonly #answeredAt = new Map<string, number>();
  /** Times until which the answers of services are reported. */
  readonly #reportedUntil = new Map<string, number>();

  /** Records an answer that this router has received. */
  recordAnswer(upstream: string, now: number): void {
    this.#answeredAt.set(upstream, now);
  }

  /** Records that an upstream of `service` has failed a request. */
  recordFailure(service: string, now: number): void {
    this.#reportedUntil.set(service, now + FAILING_MS);
  }

  /** Whether an upstream has answered this router or another lately. */
  hasAnswered(upstream: string, now: number): boolean {
    return now - (this.#answeredAt.get(upstream) ?? -Infinity) <= RECENT_MS;
  }

  /**
   * Returns the recent answers of services that fail, latest first.
   * `getService` returns undefined for an upstream that is gone.
   */
  createReports(
    { now, getService }: {
      now: number;
      getService: (upstream: string) => string | undefined;
    },
  ): AnswerReport[] {
    this.#prune(now);
    if (this.#reportedUntil.size === 0) return [];
    return [...this.#answeredAt]
      .filter(([upstream]) =>
        this.#reportedUntil.has(getService(upstream) ?? "")
      )
      .map(([upstream, at]) => ({ upstream, ageMs: Math.round(now - at) }))
      .sort((one, other) => one.ageMs - other.ageMs)
      .slice(0, MAX_REPORTED_ANSWERS);
  }

  /** Merges the answers that another router knows of. */
  receiveReports(
    reports: readonly AnswerReport[],
    { now, isKnown }: { now: number; isKnown: (upstream: string) => boolean },
  ): void {
    for (const { upstream, ageMs } of reports) {
      if (ageMs > RECENT_MS || !isKnown(upstream)) continue;
      const last = this.#answeredAt.get(upstream) ?? -Infinity;
      this.#answeredAt.set(upstream, Math.max(last, now - ageMs));
    }
  }

  /** Drops the answers of an upstream whose process is new. */
  forget(upstream: string): void {
    this.#answeredAt.delete(upstream);
  }

  #prune(now: number): void {
    for (const upstream of [...this.#answeredAt.keys()]) {
      if (!this.hasAnswered(upstream, now)) this.#answeredAt.delete(upstream);
    }
    for (const [service, until] of this.#reportedUntil) {
      if (now >= until) this.#reportedUntil.delete(service);
    }
  }
}
