/**
 * Limits the requests that the target of a rollout order gets during its trial.
 *
 * Load pattern: many routers that each see 1 to 6 requests a second of a service
 * try a version that may be bad. Any of them may be cut off or restarted at any
 * time, and all of them together must stay below a share of all requests. Each
 * router therefore spends a share of its own requests only, and needs nothing
 * from the others.
 */
import { type Hash, rankByRendezvous } from "./rendezvous.ts";

/** Options of `CanaryShare`. */
export interface CanaryShareOptions {
  /** Share of all requests that the target may get, in (0, 1]. */
  readonly share: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Options of `selectCanaryUpstreams`. */
export interface CanaryUpstreamsOptions {
  readonly service: string;
  readonly target: string;
  /** Share of all requests that the target may get, in (0, 1]. */
  readonly share: number;
  readonly hash: Hash;
  /** Whether an upstream can't be used now; it is cold, suspect or leaving. */
  readonly isSkipped?: (id: string) => boolean;
}

/** Part of the share that is used; the rest is left for chance. */
const USED_PART = 0.9;
/** Credit that is kept while it can't be used, in tries. */
const MAX_KEPT_CREDIT = 1;
/** Credit that a bound request may owe to the requests to come, in tries. */
const MAX_DEBT = 1;
/** Separates the names in a key of the ranking. */
const SEPARATOR = "\u0000";

/**
 * The tries at the target that one router may make for one order.
 *
 * The credit of a route begins at a random value below 1, so that the expected
 * number of tries is the share of the requests from the first one on. Without
 * this, routers that see few requests would send none, or each one too early.
 */
export class CanaryShare {
  readonly #increment: number;
  readonly #random: () => number;
  readonly #credits = new Map<string, number>();

  constructor({ share, random }: CanaryShareOptions) {
    this.#increment = share * USED_PART;
    this.#random = random;
  }

  /** Records a request of a caller, before its first try. */
  recordRequest(route: string): void {
    // The limit applies to what is kept. Applied to the sum, it would drop a
    // part of each try's credit.
    const kept = Math.min(this.#getCredit(route), MAX_KEPT_CREDIT);
    this.#credits.set(route, kept + this.#increment);
  }

  /**
   * Whether a try may be sent to the target. A request that is bound to the
   * target, as that of a resumed stream, may also use the credit of requests to
   * come, since no other version can serve it.
   */
  hasCredit(
    route: string,
    { isBound = false }: { readonly isBound?: boolean } = {},
  ): boolean {
    const credit = this.#getCredit(route);
    return isBound ? credit > 1 - MAX_DEBT : credit >= 1;
  }

  /** Records a try that was sent to the target: first, retried or forwarded. */
  recordSent(route: string): void {
    this.#credits.set(route, this.#getCredit(route) - 1);
  }

  #getCredit(route: string): number {
    let credit = this.#credits.get(route);
    if (credit === undefined) {
      credit = this.#random();
      this.#credits.set(route, credit);
    }
    return credit;
  }
}

/**
 * Returns the upstreams of the target that the trial uses, of all `ids` that are
 * registered. All routers with the same view return the same. They are few, so
 * that each bears the load of full operation.
 */
export function selectCanaryUpstreams(
  ids: readonly string[],
  { service, target, share, hash, isSkipped = () => false }:
    CanaryUpstreamsOptions,
): string[] {
  const count = Math.ceil(ids.length * share);
  const key = service + SEPARATOR + target;
  return rankByRendezvous(key, ids, { hash })
    .filter((id) => !isSkipped(id))
    .slice(0, count);
}
