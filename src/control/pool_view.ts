/**
 * Snapshot of the upstreams of a pool, used to place requests.
 *
 * Each upstream is read once per snapshot, not once per request.
 */
import type { CapacityShares } from "../policy/capacity_shares.ts";
import {
  getCapacityLimit,
  getLoadLimit,
  getMeanInFlight,
} from "../policy/load_bound.ts";
import type { Candidate } from "../policy/placement.ts";
import type { AcquireRequest } from "./pool.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** Snapshot of an upstream that is in service. */
export interface UpstreamView {
  /** Maximum number of in-flight requests that the upstream can handle. */
  readonly capacityLimit: number;
  /** The capacity limit, bounded by what the load factor allows. */
  readonly limit: number;
  readonly cold: boolean;
  readonly inFlight: number;
  /** Number of further requests that fit in this router's capacity share. */
  readonly remainingShare: number;
  /** Number of further requests that may be admitted now. */
  readonly room: number;
}

/** Snapshot of the upstreams of a pool that are in service. */
export interface PoolView {
  /** Monotonic time of the snapshot, in milliseconds. */
  readonly now: number;
  /** Views by name of the upstream. */
  readonly upstreams: ReadonlyMap<string, UpstreamView>;
  /** Whether any of the upstreams has room. */
  readonly hasRoom: boolean;
}

/** Creates the placement candidate of an upstream for one request. */
export function createCandidate(
  state: UpstreamState,
  { request, view }: { request: AcquireRequest; view: PoolView },
): Candidate {
  const { name, failureDomain } = state.upstream;
  const upstreamView = view.upstreams.get(name);
  const inFlight = upstreamView?.inFlight ?? 0;
  return {
    upstream: state.index,
    room: upstreamView?.room ?? 0,
    inFlight,
    limit: upstreamView?.limit ?? 0,
    cold: upstreamView?.cold ?? true,
    inService: upstreamView !== undefined && !request.excluded.includes(name),
    failureDomain,
    msPerPromptToken: state.msPerPromptToken,
    expectedWaitMs: state.serviceMs / Math.max(1, inFlight),
  };
}

/** Creates a snapshot of `states`, the upstreams that are in service. */
export function createPoolView(
  states: readonly UpstreamState[],
  { shares, now }: { shares: CapacityShares; now: number },
): PoolView {
  const inFlightCounts = states.map(({ upstream }) =>
    shares.estimateInFlight(upstream.name, now)
  );
  const upstreamCount = states.length;
  const inFlight = inFlightCounts.reduce((sum, each) => sum + each, 1);
  const meanInFlight = getMeanInFlight({ inFlight, upstreamCount });
  const upstreams = new Map<string, UpstreamView>();
  states.forEach((state, index) => {
    const { upstream, coldStart, service } = state;
    const cold = coldStart.isCold(now);
    const capacityLimit = getCapacityLimit({
      hardLimit: coldStart.limit(now),
      coldLimit: upstream.coldLimit,
      cold,
    });
    const { loadFactor } = service;
    const loadLimit = getLoadLimit({
      loadFactor,
      meanInFlight,
      upstreamCount,
    });
    const inFlight = inFlightCounts[index]!;
    const remainingShare = shares.roomFor(upstream.name, capacityLimit, now);
    upstreams.set(upstream.name, {
      capacityLimit,
      limit: Math.min(capacityLimit, loadLimit),
      cold,
      inFlight,
      remainingShare,
      room: Math.min(remainingShare, loadLimit - inFlight),
    });
  });
  const hasRoom = [...upstreams.values()].some(({ room }) => room > 0);
  return { now, upstreams, hasRoom };
}
