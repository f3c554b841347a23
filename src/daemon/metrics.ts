/**
 * Prometheus metrics of the daemon.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { PoolSummary } from "../control/pool_summary.ts";

/** All metrics of the daemon and their registry. */
export interface Metrics {
  readonly registry: Registry;
  readonly requests: Counter<"service" | "outcome">;
  readonly refusals: Counter<"code" | "ran">;
  readonly attempts: Counter<"service" | "fate">;
  readonly placements: Counter<"service" | "reason">;
  readonly controlBytes: Counter<"kind" | "direction">;
  readonly invariantBreaches: Counter<"invariant">;
  readonly firstByteSeconds: Histogram<"service">;
  readonly queueSeconds: Histogram<"service">;
  readonly upstreamInFlight: Gauge<"service" | "upstream">;
  readonly upstreamLimit: Gauge<"service" | "upstream">;
  readonly unhandledErrors: Counter;
  readonly configurationVersion: Gauge;
  readonly cachedTokens: Counter<"service">;
  readonly promptTokens: Counter<"service">;
}

const DURATION_BUCKETS_S = [
  0.001,
  0.002,
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.38,
  0.5,
  1,
  2.5,
  5,
  10,
];

/** Creates the metrics in a new registry. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: "corianderflow_requests_total",
      help: "Requests of callers by outcome.",
      labelNames: ["service", "outcome"],
      registers,
    }),
    refusals: new Counter({
      name: "corianderflow_refusals_total",
      help: "Refusals by type and by whether the request ran.",
      labelNames: ["code", "ran"],
      registers,
    }),
    attempts: new Counter({
      name: "corianderflow_attempts_total",
      help: "Attempts at upstreams by how they ended.",
      labelNames: ["service", "fate"],
      registers,
    }),
    placements: new Counter({
      name: "corianderflow_placements_total",
      help: "Placements by reason.",
      labelNames: ["service", "reason"],
      registers,
    }),
    controlBytes: new Counter({
      name: "corianderflow_control_bytes_total",
      help: "Payload bytes of control traffic by kind and direction.",
      labelNames: ["kind", "direction"],
      registers,
    }),
    invariantBreaches: new Counter({
      name: "corianderflow_invariant_breaches_total",
      help: "Breaches of invariants that the program asserts.",
      labelNames: ["invariant"],
      registers,
    }),
    firstByteSeconds: new Histogram({
      name: "corianderflow_first_byte_seconds",
      help: "Time from arrival to the first byte of the answer.",
      labelNames: ["service"],
      buckets: DURATION_BUCKETS_S,
      registers,
    }),
    queueSeconds: new Histogram({
      name: "corianderflow_queue_seconds",
      help: "Time that placed requests spent in the owner's queue.",
      labelNames: ["service"],
      buckets: DURATION_BUCKETS_S,
      registers,
    }),
    upstreamInFlight: new Gauge({
      name: "corianderflow_upstream_in_flight",
      help:
        "Requests in flight on an upstream, as its pool's owner counts them.",
      labelNames: ["service", "upstream"],
      registers,
    }),
    upstreamLimit: new Gauge({
      name: "corianderflow_upstream_limit",
      help: "Limit of an upstream's requests in flight, at its pool's owner.",
      labelNames: ["service", "upstream"],
      registers,
    }),
    unhandledErrors: new Counter({
      name: "corianderflow_unhandled_errors_total",
      help: "Errors that nothing handled; the process went on.",
      registers,
    }),
    configurationVersion: new Gauge({
      name: "corianderflow_configuration_version",
      help: "Version of the configuration in force on this router.",
      registers,
    }),
    cachedTokens: new Counter({
      name: "corianderflow_cached_tokens_total",
      help: "Prompt tokens that upstreams found in their cache.",
      labelNames: ["service"],
      registers,
    }),
    promptTokens: new Counter({
      name: "corianderflow_prompt_tokens_total",
      help: "Prompt tokens of placed requests.",
      labelNames: ["service"],
      registers,
    }),
  };
}

/** Sets the gauges of the upstreams whose pools `owner` owns. */
export function setUpstreamGauges(
  { upstreamInFlight, upstreamLimit }: Metrics,
  pools: readonly PoolSummary[],
  { owner }: { owner: string },
): void {
  // Otherwise a router that lost a pool would keep reporting its last values.
  upstreamInFlight.reset();
  upstreamLimit.reset();
  for (const pool of pools) {
    if (pool.owner !== owner) continue;
    for (const { upstream, inFlight, limit } of pool.upstreams) {
      const labels = { service: pool.service, upstream: upstream.name };
      upstreamInFlight.set(labels, inFlight);
      upstreamLimit.set(labels, limit);
    }
  }
}
