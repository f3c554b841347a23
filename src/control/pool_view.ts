/**
 * The upstreams of a pool as the decisions of one moment see them.
 *
 * Every upstream is read once, however many requests are decided upon.
 */
import type { CapacityShares } from "../policy/capacity_shares.ts";
import {
  capacityLimitOf,
  getMeanInFlight,
  loadLimitOf,
} from "../policy/load_bound.ts";
import type { Candidate } from "../policy/placement.ts";
import type { AcquireRequest } from "./pool.ts";
import type { UpstreamState } from "./upstream_state.ts";

/** An upstream that is in service, as the decisions of a moment see it. */
export interface UpstreamView {
  /** What the upstream can bear. */
  readonly capacityLimit: number;
  /** The same, and no more than the load factor allows. */
  readonly limit: number;
  readonly cold: boolean;
  readonly inFlight: number;
  /** Requests that this router's capacity share has left. */
  readonly share: number;
  readonly room: number;
}

/** The upstreams in service at a moment. */
export interface PoolView {
  readonly now: number;
  readonly upstreams: ReadonlyMap<string, UpstreamView>;
  readonly hasRoom: boolean;
}

/** Describes an upstream to the placement of one request. */
export function toCandidate(
  state: UpstreamState,
  { request, view }: { request: AcquireRequest; view: PoolView },
): Candidate {
  const { name, failureDomain } = state.upstream;
  const known = view.upstreams.get(name);
  const inFlight = known?.inFlight ?? 0;
  return {
    upstream: state.index,
    room: known?.room ?? 0,
    inFlight,
    limit: known?.limit ?? 0,
    cold: known?.cold ?? true,
    inService: known !== undefined && !request.excluded.includes(name),
    failureDomain,
    msPerPromptToken: state.msPerPromptToken,
    expectedWaitMs: state.serviceMs / Math.max(1, inFlight),
  };
}

/** Reads the upstreams `states`, which are in service. */
export function readPoolView(
  states: readonly UpstreamState[],
  { shares, now }: { shares: CapacityShares; now: number },
): PoolView {
  const inFlights = states.map(({ upstream }) =>
    shares.inFlightEstimate(upstream.name, now)
  );
  const upstreamCount = states.length;
  const inFlight = inFlights.reduce((sum, each) => sum + each, 1);
  const meanInFlight = getMeanInFlight({ inFlight, upstreamCount });
  const upstreams = new Map<string, UpstreamView>();
  states.forEach((state, index) => {
    const { upstream, coldStart, service } = state;
    const cold = coldStart.isCold(now);
    const capacityLimit = capacityLimitOf({
      hardLimit: coldStart.limit(now),
      coldLimit: upstream.coldLimit,
      cold,
    });
    const { loadFactor } = service;
    const loadLimit = loadLimitOf({
      loadFactor,
      meanInFlight,
      upstreamCount,
    });
    const inFlight = inFlights[index]!;
    const share = shares.roomFor(upstream.name, capacityLimit, now);
    upstreams.set(upstream.name, {
      capacityLimit,
      limit: Math.min(capacityLimit, loadLimit),
      cold,
      inFlight,
      share,
      room: Math.min(share, loadLimit - inFlight),
    });
  });
  const hasRoom = [...upstreams.values()].some(({ room }) => room > 0);
  return { now, upstreams, hasRoom };
}
