/**
 * Renders a router's state in the format of `/admin/status`.
 */
import type { Configuration } from "../config/configuration.ts";
import type { PeerStatus, PoolStatus, RouterStatus } from "../types_status.ts";
import type { PoolSummary, UpstreamSummary } from "../control/pool_summary.ts";

/** State from which `renderStatus` renders a status. */
export interface StatusParts {
  readonly name: string;
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly configuration: Configuration;
  readonly pools: readonly PoolSummary[];
  readonly peers: readonly PeerStatus[];
  readonly breaches: number;
}

/** Renders the status of a router. */
export function renderStatus(parts: StatusParts): RouterStatus {
  const { configuration, pools, peers, ...rest } = parts;
  return {
    ...rest,
    version: configuration.version,
    pools: pools.map(renderPool),
    peers: [...peers],
    failureDomainsOut: [...configuration.failureDomainsOut],
    hostsOut: [...configuration.hostsOut],
  };
}

function renderPool(pool: PoolSummary): PoolStatus {
  return {
    service: pool.service,
    pool: pool.id,
    owner: pool.owner ?? null,
    replicas: pool.replicas.map((name, rank) => ({ name, rank })),
    upstreams: pool.upstreams.map(renderUpstream),
  };
}

function renderUpstream(summary: UpstreamSummary) {
  const { name, host, failureDomain } = summary.upstream;
  const { reportAgeMs } = summary;
  const hasReport = Number.isFinite(reportAgeMs);
  return {
    name,
    host,
    failureDomain,
    state: renderState(summary),
    cold: summary.isCold,
    inFlight: summary.inFlight,
    limit: summary.limit,
    lastReportAgeMs: hasReport ? Math.round(reportAgeMs) : null,
  };
}

function renderState(
  { isLeaving, isInService }: UpstreamSummary,
): "in" | "out" | "leaving" {
  if (isLeaving) return "leaving";
  return isInService ? "in" : "out";
}
