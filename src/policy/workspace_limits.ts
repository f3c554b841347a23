/**
 * Rate limits of workspaces. Each router applies them to the requests that it
 * receives from callers.
 *
 * The manifest states a workspace's rate for the whole fleet. Each of the n
 * routers refills its token bucket at rate/n, so the fleet never admits more
 * than the rate over time, without messages between routers. A bucket holds the
 * whole burst, because the balancer distributes connections unevenly and a
 * caller may send its whole burst to one router. In the worst case the fleet
 * admits n bursts at once after an idle period. A new bucket starts with
 * burst/n, so that routers that are replaced often do not admit a whole burst
 * each time.
 *
 * Alternatives that were rejected: a bucket size of burst/n would refuse a
 * caller that the balancer has pinned to one router, and exchanging counts
 * would cause control traffic proportional to workspaces times routers. Known
 * limitations: a pinned caller is limited to rate/n over time, and the share of
 * a failed router is unused until the set of routers changes.
 */

/** Limit of a workspace, as stated in the manifest. */
export interface WorkspaceLimit {
  readonly name: string;
  /** Rate for the whole fleet. */
  readonly requestsPerSecond: number;
  /** Maximum number of requests admitted at once. */
  readonly burst: number;
}

/** Result of taking the token of one request. */
export type TakeResult =
  | { readonly kind: "ok" }
  | { readonly kind: "limited"; readonly retryAfterMs: number };

/** Options of `WorkspaceLimits`. */
export interface WorkspaceLimitsOptions {
  /** Number of routers that share each rate; at least 1 is used. */
  routers?: number;
  /** Maximum number of buckets; the least recently used one is evicted. */
  capacity?: number;
}

interface Bucket {
  tokens: number;
  /** Monotonic time up to which it was refilled, in milliseconds. */
  filledAt: number;
}

const DEFAULT_CAPACITY = 10_000;
const MS_PER_SECOND = 1_000;

/** A token bucket for each workspace. */
export class WorkspaceLimits {
  #routers: number;
  readonly #capacity: number;
  /** Least recently used first. */
  readonly #buckets = new Map<string, Bucket>();

  constructor({ routers, capacity }: Required<WorkspaceLimitsOptions>) {
    this.#routers = Math.max(1, routers);
    this.#capacity = Math.max(1, capacity);
  }

  /** Number of buckets in memory. */
  get size(): number {
    return this.#buckets.size;
  }

  /** Sets the number of routers that share each rate. */
  setRouters(routers: number): void {
    this.#routers = Math.max(1, routers);
  }

  /** Takes one token of a workspace at the monotonic time `now`, in ms. */
  take(limit: WorkspaceLimit, now: number): TakeResult {
    const bucket = this.#refill(limit, now);
    if (bucket.tokens >= 1) {
      bucket.tokens--;
      return { kind: "ok" };
    }
    const waitMs = (1 - bucket.tokens) / this.#getTokensPerMs(limit);
    return { kind: "limited", retryAfterMs: Math.ceil(waitMs) };
  }

  #getTokensPerMs({ requestsPerSecond }: WorkspaceLimit): number {
    return requestsPerSecond / MS_PER_SECOND / this.#routers;
  }

  #refill(limit: WorkspaceLimit, now: number): Bucket {
    const bucket = this.#buckets.get(limit.name) ?? this.#create(limit, now);
    const elapsedMs = Math.max(0, now - bucket.filledAt);
    const addedTokens = elapsedMs * this.#getTokensPerMs(limit);
    bucket.tokens = Math.min(limit.burst, bucket.tokens + addedTokens);
    bucket.filledAt = Math.max(now, bucket.filledAt);
    this.#buckets.delete(limit.name);
    this.#buckets.set(limit.name, bucket);
    return bucket;
  }

  #create({ burst }: WorkspaceLimit, now: number): Bucket {
    if (this.#buckets.size >= this.#capacity) {
      const [oldest] = this.#buckets.keys();
      this.#buckets.delete(oldest!);
    }
    return { tokens: Math.max(1, burst / this.#routers), filledAt: now };
  }
}

/** Creates limits without any bucket. */
export function createWorkspaceLimits(
  { routers = 1, capacity = DEFAULT_CAPACITY }: WorkspaceLimitsOptions = {},
): WorkspaceLimits {
  return new WorkspaceLimits({ routers, capacity });
}
