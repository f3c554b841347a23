/**
 * Rate limits of workspaces, kept by each router for the requests it takes in.
 *
 * The manifest states a workspace's rate for the fleet. Each of the n routers
 * refills its bucket with rate/n, so the fleet never admits more than the rate
 * over time, without a message between routers. A bucket holds the whole burst,
 * since the balancer spreads connections unevenly: a caller may find its burst
 * at any one router. In the worst case the fleet admits n bursts at once after a
 * quiet time. A bucket starts with burst/n, so that routers that are replaced
 * often do not hand out a burst each time.
 *
 * Ruled out: burst/n as the size, which refuses a caller that the balancer has
 * pinned to one router, and counts exchanged between routers, whose control
 * traffic grows with workspaces times routers. What remains is that a pinned
 * caller gets rate/n in the long run, and that the part of a router that has
 * failed lies idle until the set of routers changes.
 */

/** The limit of a workspace as the manifest states it. */
export interface WorkspaceLimit {
  readonly name: string;
  /** Rate of the whole fleet. */
  readonly requestsPerSecond: number;
  /** Requests that may come at once. */
  readonly burst: number;
}

/** Outcome of taking one request. */
export type Take =
  | { readonly kind: "ok" }
  | { readonly kind: "limited"; readonly retryAfterMs: number };

/** Options of the limits. */
export interface WorkspaceLimitsOptions {
  /** Number of routers that share each rate. */
  routers?: number;
  /** Most buckets that are kept; the one unused for longest goes. */
  capacity?: number;
}

interface Bucket {
  tokens: number;
  /** Monotonic time in milliseconds up to which it was refilled. */
  filledAt: number;
}

const DEFAULT_CAPACITY = 10_000;
const MS_PER_SECOND = 1_000;

/** A token bucket for each workspace; see the module. */
export class WorkspaceLimits {
  #routers: number;
  readonly #capacity: number;
  /** Least recently used first. */
  readonly #buckets = new Map<string, Bucket>();

  constructor({ routers, capacity }: Required<WorkspaceLimitsOptions>) {
    this.#routers = Math.max(1, routers);
    this.#capacity = Math.max(1, capacity);
  }

  /** Number of buckets kept. */
  get size(): number {
    return this.#buckets.size;
  }

  /** Sets the number of routers that share each rate. */
  setRouters(routers: number): void {
    this.#routers = Math.max(1, routers);
  }

  /** Takes one request of a workspace at the monotonic time `now`. */
  take(limit: WorkspaceLimit, now: number): Take {
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
    const gained = elapsedMs * this.#getTokensPerMs(limit);
    bucket.tokens = Math.min(limit.burst, bucket.tokens + gained);
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
