/**
 * Computes the limit of in-flight requests on an upstream.
 *
 * The mean load is the pool owner's count of its own in-flight requests, which
 * is exact, plus the foreign requests that upstreams report. The foreign part
 * lags by the age of the reports, plus their transit time to the router, plus
 * the interval between two of them. After a change of owner, the mean is
 * therefore wrong for one such interval by the number of requests that the
 * previous owner started or finished in it. The resulting limit may be wrong by
 * the load factor times that number, divided by the number of upstreams. The
 * hard and cold limits don't depend on the mean.
 *
 * Capacity shares divide the capacity limit, not the load limit. Dividing the
 * load limit would create a feedback loop: shares that lower the mean would
 * lower the limit, and with it the shares, again. With one of three ranks lost,
 * 2/3 of 1.25 times the mean is below the mean, so the load would fall to a few
 * requests and stay there. The load limit needs no division: if the load of
 * each router is within the load factor of its own mean, the total is too,
 * apart from the rounding of each router that admits requests.
 *
 * The load limit is rounded up, so that a service with few requests can place
 * them. An upstream may exceed the load factor by less than one request.
 */

/** Inputs of a service's mean load. */
export interface MeanOptions {
  /** In-flight requests of the service, including the one to be admitted. */
  readonly inFlight: number;
  /** Number of the service's upstreams that are in service. */
  readonly upstreamCount: number;
}

/** Inputs of an upstream's capacity limit, in requests. */
export interface CapacityLimitOptions {
  /** Limit of a warm upstream, or the current limit of its ramp-up. */
  readonly hardLimit: number;
  /** Limit while the upstream is cold. */
  readonly coldLimit: number;
  readonly cold: boolean;
}

/** Inputs of the limit that the load factor sets. */
export interface LoadLimitOptions {
  /** Maximum load of an upstream, as a multiple of the mean. */
  readonly loadFactor: number;
  /** Mean load per upstream, including the request to be admitted. */
  readonly meanInFlight: number;
  /** Number of the service's upstreams that are in service. */
  readonly upstreamCount: number;
}

/** Inputs of an upstream's limit. */
export type LimitOptions = CapacityLimitOptions & LoadLimitOptions;

/** Returns the mean number of requests per upstream; 0 without upstreams. */
export function getMeanInFlight(
  { inFlight, upstreamCount }: MeanOptions,
): number {
  return upstreamCount === 0 ? 0 : inFlight / upstreamCount;
}

/** Returns how many requests an upstream may have in flight; at least 1. */
export function getUpstreamLimit(options: LimitOptions): number {
  return Math.min(getCapacityLimit(options), getLoadLimit(options));
}

/**
 * Returns the number of requests that the upstream itself can handle; at least
 * 1. Capacity shares divide this limit between routers.
 */
export function getCapacityLimit(
  { hardLimit, coldLimit, cold }: CapacityLimitOptions,
): number {
  const limit = Math.min(hardLimit, cold ? coldLimit : Infinity);
  return Math.max(1, Math.floor(limit));
}

/**
 * Returns the number of requests that the load factor allows; at least 1. A
 * single upstream has no load limit, since its load is the mean.
 */
export function getLoadLimit(
  { loadFactor, meanInFlight, upstreamCount }: LoadLimitOptions,
): number {
  if (upstreamCount <= 1) return Infinity;
  return Math.max(1, Math.ceil(loadFactor * meanInFlight));
}
