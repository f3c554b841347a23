/**
 * Tracks the upstreams that have asked this router to send nothing for a time.
 *
 * Load pattern: an upstream that has more work than it can do refuses requests
 * and states when it will accept some again. Requests that keep arriving until
 * then cost it the time that it needs to recover, so none is sent.
 */

/** What became of the time that an upstream asked for. */
export type PauseRequest = "recorded" | "shortened";

/**
 * Longest pause that is granted, in milliseconds. A longer one is taken for an
 * error, which must not put an upstream out of use for good.
 */
const MAX_PAUSE_MS = 600_000;

/** Pauses by upstream. */
export class UpstreamPauses {
  /** Monotonic times at which the pauses end, in milliseconds. */
  readonly #endsAt = new Map<string, number>();

  /** Records that `upstream` wants no request for `pauseMs` milliseconds. */
  recordPause(
    upstream: string,
    { pauseMs, now }: { pauseMs: number; now: number },
  ): PauseRequest {
    const endsAt = now + Math.min(pauseMs, MAX_PAUSE_MS);
    this.#endsAt.set(
      upstream,
      Math.max(endsAt, this.#endsAt.get(upstream) ?? -Infinity),
    );
    return pauseMs > MAX_PAUSE_MS ? "shortened" : "recorded";
  }

  /** Returns the remaining time of a pause, in milliseconds; 0 without one. */
  getRemaining(upstream: string, now: number): number {
    return Math.max(0, (this.#endsAt.get(upstream) ?? now) - now);
  }

  /** Ends the pause of an upstream whose process is new. */
  forget(upstream: string): void {
    this.#endsAt.delete(upstream);
  }

  /** Drops the pauses that have ended. */
  prune(now: number): void {
    for (const [upstream, endsAt] of this.#endsAt) {
      if (endsAt <= now) this.#endsAt.delete(upstream);
    }
  }
}
