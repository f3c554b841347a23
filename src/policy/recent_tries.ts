/**
 * Keeps the tries at a service that were sent a short time ago, and counts those
 * in flight, by software version.
 *
 * Load pattern: the upstreams of a new version have registered before the order
 * of their rollout. They get as many requests as the old ones until the routers
 * have read the order. These requests count against the share of the trial, and
 * in a short trial they are a good part of its evidence.
 */

/** How a try ended; `end` is undefined if that says nothing of its upstream. */
export interface TryEnd {
  readonly end: "answered" | "failed" | undefined;
  /** Time to the end of the response; for a stream, divided by its events. */
  readonly durationMs: number;
}

/** A try that was sent. */
export interface RecentTry {
  readonly service: string;
  readonly upstream: string;
  readonly route: string;
  readonly version: string;
  /** Monotonic time, in milliseconds. */
  readonly sentAt: number;
  /** Undefined while it is in flight. */
  result?: TryEnd;
}

/**
 * Tries that are kept: several seconds of a router that gets 6 requests a second
 * of a service.
 */
const MAX_RECENT = 64;

/** The tries at one service. */
export class RecentTries {
  readonly #inFlight = new Map<string, number>();
  /** The oldest is overwritten. */
  readonly #recent: RecentTry[] = [];
  #next = 0;

  /** Records that a try was sent. */
  recordSent(sent: RecentTry): void {
    const { version } = sent;
    this.#inFlight.set(version, (this.#inFlight.get(version) ?? 0) + 1);
    this.#recent[this.#next] = sent;
    this.#next = (this.#next + 1) % MAX_RECENT;
  }

  /** Records that a try has ended. */
  recordEnd(sent: RecentTry, result: TryEnd): void {
    sent.result = result;
    const { version } = sent;
    const left = (this.#inFlight.get(version) ?? 1) - 1;
    if (left > 0) this.#inFlight.set(version, left);
    else this.#inFlight.delete(version);
  }

  /** Number of tries in flight at versions other than `target`. */
  countOthersInFlight(target: string): number {
    let count = 0;
    for (const [version, each] of this.#inFlight) {
      if (version !== target) count += each;
    }
    return count;
  }

  /** Returns the tries that were sent since `at`, as far as they are kept. */
  listSince(at: number): RecentTry[] {
    return this.#recent.filter(({ sentAt }) => sentAt >= at);
  }
}
