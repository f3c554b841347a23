/**
 * Bounds the age of the configuration that a router serves.
 *
 * A key that the operators have revoked must not be accepted after the
 * revocation bound. A router that gets no response from the store knows only
 * the configuration as of the last response, so it stops serving keyed requests
 * before the bound has passed since then.
 */
import type { Instant } from "../routing/types.ts";

/**
 * Maximum delay of a watch while the store compacts its history, in
 * milliseconds. According to the platform's PROTOCOL document, a watch receives
 * nothing for one second.
 */
export const MAX_WATCH_LAG_MS = 1_000;
/** Margin for late timers and slow clocks, in milliseconds. */
export const CONFIRMATION_MARGIN_MS = 300;

/**
 * Computes the time since `past`, in milliseconds. The monotonic clock stops
 * while a host is suspended and the time of day may jump back, so the larger of
 * the two differences is used.
 */
export function elapsedSince(past: Instant, now: Instant): number {
  return Math.max(now.steady - past.steady, now.wall - past.wall, 0);
}

/** Options of a `Confirmation`. */
export interface ConfirmationOptions {
  /** Maximum time that a revoked key is still accepted, in milliseconds. */
  readonly revocationMs: number;
}

/** Tracks when the current configuration was last confirmed. */
export class Confirmation {
  readonly #maxAgeMs: number;
  #confirmedAt: Instant | undefined;

  constructor({ revocationMs }: ConfirmationOptions) {
    this.#maxAgeMs = revocationMs - MAX_WATCH_LAG_MS - CONFIRMATION_MARGIN_MS;
  }

  /** Records that a call sent at `sentAt` returned the current state. */
  confirm(sentAt: Instant): void {
    const latest = this.#confirmedAt?.steady ?? -Infinity;
    if (sentAt.steady < latest) return;
    this.#confirmedAt = sentAt;
  }

  /**
   * Gets the time since the last confirmation, in milliseconds; infinite before
   * the first one.
   */
  ageAt(now: Instant): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return elapsedSince(this.#confirmedAt, now);
  }

  /** Whether keys of the current configuration may still be accepted. */
  isTrustedAt(now: Instant): boolean {
    return this.ageAt(now) <= this.#maxAgeMs;
  }
}
