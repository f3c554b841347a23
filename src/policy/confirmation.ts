/**
 * How old the router's knowledge of the configuration may be.
 *
 * A key that the operators have taken away must not be served after the
 * revocation bound. A router that the store has not answered since some moment
 * knows the configuration of that moment only, so that it stops serving keyed
 * requests before the bound has passed since then.
 */
import type { Instant } from "../routing/types.ts";

/**
 * Time by which a watch of the store may lag while the store drops its
 * history, in milliseconds; PROTOCOL of the platform: a watch hears nothing for
 * a second.
 */
export const WATCH_LAG_MS = 1_000;
/** Room for timers and clocks that run late, in milliseconds. */
export const CONFIRMATION_MARGIN_MS = 300;

/**
 * Time that has passed since `past`, in milliseconds. The steady clock stands
 * still while a host is suspended and the time of day may jump back, so that
 * the later of the two counts.
 */
export function elapsedSince(past: Instant, now: Instant): number {
  return Math.max(now.steady - past.steady, now.wall - past.wall, 0);
}

/** Options of a confirmation. */
export interface ConfirmationOptions {
  /** Bound on the use of a key after it was taken away, in milliseconds. */
  readonly revocationMs: number;
}

/** Knows since when the configuration in force has been confirmed. */
export class Confirmation {
  readonly #limitMs: number;
  #confirmedAt: Instant | undefined;

  constructor({ revocationMs }: ConfirmationOptions) {
    this.#limitMs = revocationMs - WATCH_LAG_MS - CONFIRMATION_MARGIN_MS;
  }

  /** Notes that a call sent at `sentAt` was answered with the current state. */
  confirm(sentAt: Instant): void {
    const latest = this.#confirmedAt?.steady ?? -Infinity;
    if (sentAt.steady < latest) return;
    this.#confirmedAt = sentAt;
  }

  /** Age of the configuration in milliseconds; infinite before the first. */
  ageAt(now: Instant): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return elapsedSince(this.#confirmedAt, now);
  }

  /** Whether keys may still be trusted. */
  isTrustedAt(now: Instant): boolean {
    return this.ageAt(now) <= this.#limitMs;
  }
}
