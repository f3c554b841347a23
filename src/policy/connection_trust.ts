/**
 * Decides when a request that must not run twice needs a new connection, because
 * its upstream has answered on a reused one what can't be told from a late copy.
 *
 * Load pattern: an upstream that repeats answers for some time, or refuses many
 * requests without their ids. On a reused connection the request behind such an
 * answer is lost; a new connection can't carry a copy. Upstreams that repeat an
 * answer once in hundreds of requests cost only some new connections.
 */

interface Doubt {
  /** Requests that still get a new connection. */
  left: number;
  /** Monotonic time in milliseconds. */
  endsAt: number;
}

/** Requests that get a new connection after an unclear answer. */
const MAX_NEW_CONNECTIONS = 16;
/** Time in which they do, in milliseconds. */
const DOUBT_MS = 10_000;

/** Addresses whose reused connections are avoided for now. */
export class ConnectionTrust {
  readonly #doubts = new Map<string, Doubt>();

  /**
   * Records an answer from `address`, on a reused connection, that may be for an
   * earlier request. Returns whether the address was trusted before.
   */
  recordUnclear(address: string, now: number): boolean {
    this.#prune(now);
    const isNew = !this.#doubts.has(address);
    this.#doubts.set(address, {
      left: MAX_NEW_CONNECTIONS,
      endsAt: now + DOUBT_MS,
    });
    return isNew;
  }

  /**
   * Whether the next request to `address` that must not run twice needs a new
   * connection, which is counted.
   */
  takeNewConnection(address: string, now: number): boolean {
    const doubt = this.#doubts.get(address);
    if (doubt === undefined) return false;
    if (doubt.left === 0 || now >= doubt.endsAt) {
      this.#doubts.delete(address);
      return false;
    }
    doubt.left--;
    return true;
  }

  #prune(now: number): void {
    for (const [address, { endsAt }] of this.#doubts) {
      if (now >= endsAt) this.#doubts.delete(address);
    }
  }
}
