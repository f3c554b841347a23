/**
 * The limit of an upstream's load at a moment.
 *
 * The mean comes from the owner's count of its own in-flight work, which is
 * exact, plus the foreign work that upstreams report. The foreign part is as
 * late as the reports are: their age, plus the way to the router, plus the time
 * between two of them. After a change of owner the mean is thus off for one
 * such interval by the work that the former owner began or finished in it. The
 * limit that follows may then be off by the load factor times that work over
 * the count of upstreams; the hard and cold limits do not depend on the mean.
 *
 * The capacity shares divide what an upstream can bear, not the load factor's
 * part. A mean that the shares have lowered would lower the limit, and so the
 * shares, again: with one rank of three lost, 2/3 of 1.25 times the mean is
 * below the mean, and the load falls to a few requests and stays there. The
 * load factor needs no division: loads that are each within the factor of their
 * own mean are so together, but for the rounding of each router that admits.
 *
 * The limit is rounded up, so that a service with little work can place it: an
 * upstream may pass the load factor by less than one request.
 */

/** What a service's mean load is computed from. */
export interface MeanOptions {
  /** In-flight work of the service, with the request to be admitted. */
  readonly inFlight: number;
  /** Upstreams of the service that are in service. */
  readonly upstreamCount: number;
}

/** What an upstream can bear. */
export interface CapacityLimitOptions {
  /** Limit of the warm upstream, or the limit of its ramp. */
  readonly hardLimit: number;
  readonly coldLimit: number;
  readonly cold: boolean;
}

/** What the load factor's part of a limit is computed from. */
export interface LoadLimitOptions {
  /** Largest load of an upstream, as a multiple of the mean. */
  readonly loadFactor: number;
  /** Mean load of the service with the request to be admitted. */
  readonly meanInFlight: number;
  /** Upstreams of the service that are in service. */
  readonly upstreamCount: number;
}

/** What an upstream's limit is computed from. */
export type LimitOptions = CapacityLimitOptions & LoadLimitOptions;

/** Computes the mean load of the upstreams that are in service. */
export function getMeanInFlight(
  { inFlight, upstreamCount }: MeanOptions,
): number {
  return upstreamCount === 0 ? 0 : inFlight / upstreamCount;
}

/** Computes how many requests an upstream may have in flight, at least 1. */
export function limitOf(options: LimitOptions): number {
  return Math.min(capacityLimitOf(options), loadLimitOf(options));
}

/** What the upstream itself can bear, at least 1; divided by capacity shares. */
export function capacityLimitOf(
  { hardLimit, coldLimit, cold }: CapacityLimitOptions,
): number {
  const limit = Math.min(hardLimit, cold ? coldLimit : Infinity);
  return Math.max(1, Math.floor(limit));
}

/**
 * The load factor's part of the limit, at least 1. An upstream that is alone
 * carries the mean itself, whatever its load.
 */
export function loadLimitOf(
  { loadFactor, meanInFlight, upstreamCount }: LoadLimitOptions,
): number {
  if (upstreamCount <= 1) return Infinity;
  return Math.max(1, Math.ceil(loadFactor * meanInFlight));
}
