/**
 * Formats the status and the explanations that routers return.
 */
import type {
  Explanation,
  PoolStatus,
  RouterStatus,
  UpstreamStatus,
} from "../types_status.ts";
import type { RouterFailure } from "./router_client.ts";

/**
 * Formats the state of the routers, the failure domains and hosts that are out,
 * and each pool as its owner reports it.
 */
export function formatStatuses(
  routers: readonly RouterStatus[],
  unreachable: readonly RouterFailure[],
): string {
  const newest = Math.max(...routers.map(({ version }) => version));
  return [
    ...routers.map((router) => formatRouter(router, newest)),
    ...unreachable.map(({ address, detail }) =>
      `${address}  unreachable  ${detail}`
    ),
    ...formatTakenOut(routers.find(({ version }) => version === newest)),
    ...routers.flatMap(formatOwnedPools),
  ].join("\n");
}

/** Formats where a chat would be placed, and why. */
export function formatExplanation(
  { router, pool, owner, order, home }: Explanation,
): string {
  const lines = [
    `pool ${pool}, owner ${owner ?? "none"}, home ${home ?? "none"}`,
  ];
  if (router !== owner) {
    lines.push(`Answered by ${router}; only the owner knows the chat's home.`);
  }
  order.forEach(({ upstream, reason }, index) => {
    lines.push(`${index + 1}. ${upstream}: ${reason}`);
  });
  return lines.join("\n");
}

function formatRouter(router: RouterStatus, newest: number): string {
  const { name, version, peers, breaches } = router;
  const live = peers.filter((peer) => peer.live).length;
  const behind = version < newest ? ` (newest is ${newest})` : "";
  const parts = [
    name,
    getReadiness(router),
    `version ${version}${behind}`,
    `peers ${live}/${peers.length}`,
  ];
  if (breaches > 0) parts.push(`BREACHES ${breaches}`);
  return parts.join("  ");
}

function getReadiness({ ready, leaving }: RouterStatus): string {
  if (leaving) return "leaving";
  return ready ? "ready" : "not ready";
}

function formatTakenOut(router: RouterStatus | undefined): string[] {
  if (router === undefined) return [];
  return [
    ...router.failureDomainsOut.map((name) => `failure domain ${name}  out`),
    ...router.hostsOut.map((name) => `host ${name}  out`),
  ];
}

function formatOwnedPools({ name, pools }: RouterStatus): string[] {
  return pools.filter(({ owner }) => owner === name).flatMap(formatPool);
}

function formatPool(pool: PoolStatus): string[] {
  const { service, owner, replicas, upstreams } = pool;
  const names = replicas.map((replica) => replica.name).join(", ");
  return [
    `${service} pool ${pool.pool}  owner ${owner}  replicas ${names}`,
    ...upstreams.map(formatUpstream),
  ];
}

function formatUpstream(upstream: UpstreamStatus): string {
  const { name, failureDomain, state, cold, inFlight, limit } = upstream;
  const warmUp = cold ? "cold" : "warm";
  const reportAgeMs = upstream.lastReportAgeMs;
  const report = reportAgeMs === null
    ? "no report"
    : `report ${Math.round(reportAgeMs)} ms`;
  const load = `${inFlight}/${limit}`;
  return `  ${name}  ${failureDomain}  ${state}  ${warmUp}  ${load}  ${report}`;
}
