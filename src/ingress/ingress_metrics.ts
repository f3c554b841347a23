/**
 * Prometheus metrics of the ingress.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Metrics of a router whose ingress chooses the upstreams itself. */
export interface IngressMetrics {
  readonly registry: Registry;
  readonly requests: Counter<"route" | "outcome">;
  readonly tries: Counter<"service" | "end">;
  readonly upstreamNotices: Counter<"kind">;
  readonly rollouts: Gauge<"service" | "target" | "phase">;
  readonly rolloutRequests: Counter<"service" | "side">;
  readonly rolloutVerdicts: Counter<"service" | "verdict">;
  readonly seconds: Histogram<"route">;
  readonly admissionRefusals: Counter<"service" | "priority" | "reason">;
  readonly admissionWaitSeconds: Histogram<"service">;
  readonly admissionWaiting: Gauge<"service">;
  readonly serviceFreeSlots: Gauge<"service">;
  readonly storeCalls: Counter<"outcome">;
  readonly storeItemsUnused: Gauge<"reason">;
  readonly storeViewPartial: Gauge;
  readonly connections: Counter;
  readonly unhandledErrors: Counter;
  readonly configurationVersion: Gauge;
  readonly configurationFaults: Gauge;
  readonly configurationRejected: Gauge;
  readonly configurationAgeSeconds: Gauge;
  readonly upstreams: Gauge;
  readonly routers: Gauge;
  readonly upstreamsLimited: Gauge;
  readonly linksDown: Gauge;
  readonly peerLoadsAgeSeconds: Gauge;
  readonly upstreamPace: Gauge;
  readonly callSeconds: Gauge<"service">;
  readonly workRatio: Histogram<"route">;
  readonly promptPartsQuarantined: Gauge;
  readonly streamsKnown: Gauge;
  readonly heldBytes: Gauge;
  readonly heldMessagesDropped: Counter<"kind">;
  readonly logLinesDropped: Gauge;
  readonly eventLoopDelaySeconds: Gauge;
}

/** Upper bounds of the request duration buckets, in seconds. */
const SECONDS_BUCKETS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.4,
  0.8,
  1.5,
  3,
  6,
  15,
];

/** Upper bounds of the buckets of estimated by measured work. */
const RATIO_BUCKETS = [0.125, 0.25, 0.5, 0.75, 1, 1.33, 2, 4, 8];
/** Upper bounds of the buckets of the time held for admission, in seconds. */
const WAIT_SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4];

/** Creates the metrics in a new registry. */
export function createIngressMetrics(): IngressMetrics {
  const registry = new Registry();
  const registers = [registry];
  function createGauge(name: string, help: string): Gauge {
    return new Gauge({ name: `corianderflow_${name}`, help, registers });
  }
  return {
    registry,
    requests: new Counter({
      name: "corianderflow_ingress_requests_total",
      help: "Requests of callers by kind of route and outcome.",
      labelNames: ["route", "outcome"],
      registers,
    }),
    tries: new Counter({
      name: "corianderflow_tries_total",
      help: "Tries at upstreams by how they ended.",
      labelNames: ["service", "end"],
      registers,
    }),
    upstreamNotices: new Counter({
      name: "corianderflow_upstream_notices_total",
      help:
        "Answers in which an upstream is leaving, asks for a pause, or begins " +
        "or ends a limit of requests.",
      labelNames: ["kind"],
      registers,
    }),
    rollouts: new Gauge({
      name: "corianderflow_rollouts",
      help: "Rollouts of software versions by phase; 1 for each.",
      labelNames: ["service", "target", "phase"],
      registers,
    }),
    rolloutRequests: new Counter({
      name: "corianderflow_rollout_requests_total",
      help: "Tries while a rollout runs, at its target and at other versions.",
      labelNames: ["service", "side"],
      registers,
    }),
    rolloutVerdicts: new Counter({
      name: "corianderflow_rollout_verdicts_total",
      help: "Changes of this router's verdict on the target of a rollout.",
      labelNames: ["service", "verdict"],
      registers,
    }),
    seconds: new Histogram({
      name: "corianderflow_request_seconds",
      help: "Time from the arrival of a request to the end of its answer.",
      labelNames: ["route"],
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    admissionRefusals: new Counter({
      name: "corianderflow_admission_refusals_total",
      help: "Requests that were refused for want of room at their service.",
      labelNames: ["service", "priority", "reason"],
      registers,
    }),
    admissionWaitSeconds: new Histogram({
      name: "corianderflow_admission_wait_seconds",
      help: "Time for which requests were held for want of room.",
      labelNames: ["service"],
      buckets: WAIT_SECONDS_BUCKETS,
      registers,
    }),
    admissionWaiting: new Gauge({
      name: "corianderflow_admission_waiting",
      help: "Requests that are held for want of room.",
      labelNames: ["service"],
      registers,
    }),
    serviceFreeSlots: new Gauge({
      name: "corianderflow_service_free_slots",
      help: "Estimated free slots of services that are shared.",
      labelNames: ["service"],
      registers,
    }),
    storeCalls: new Counter({
      name: "corianderflow_store_calls_total",
      help: "Calls to the metadata store by outcome.",
      labelNames: ["outcome"],
      registers,
    }),
    storeItemsUnused: new Gauge({
      name: "corianderflow_store_items_unused",
      help: "Items of the metadata store that are not used, by reason, as of " +
        "the last read of all items.",
      labelNames: ["reason"],
      registers,
    }),
    storeViewPartial: createGauge(
      "store_view_partial",
      "1 while items that are needed may be missing for want of room.",
    ),
    connections: new Counter({
      name: "corianderflow_upstream_connections_total",
      help: "Connections opened to upstreams.",
      registers,
    }),
    unhandledErrors: new Counter({
      name: "corianderflow_unhandled_errors_total",
      help: "Errors that nothing handled; the process went on.",
      registers,
    }),
    configurationVersion: createGauge(
      "configuration_version",
      "Version of the configuration in force.",
    ),
    configurationFaults: createGauge(
      "configuration_faults",
      "Parts of the configuration in force that are not used as written.",
    ),
    configurationRejected: createGauge(
      "configuration_rejected",
      "1 while the metadata store holds a configuration that can't be used.",
    ),
    configurationAgeSeconds: createGauge(
      "configuration_age_seconds",
      "Time since the configuration was last confirmed.",
    ),
    upstreams: createGauge("upstreams", "Upstreams that are known."),
    routers: createGauge("routers", "Routers that are registered."),
    upstreamsLimited: createGauge(
      "upstreams_limited",
      "Upstreams that state how many requests a second they take.",
    ),
    linksDown: createGauge(
      "links_down",
      "Services whose upstreams this router can't reach by itself.",
    ),
    peerLoadsAgeSeconds: createGauge(
      "peer_loads_age_seconds",
      "Mean age of the loads of other routers.",
    ),
    upstreamPace: createGauge(
      "upstream_pace",
      "Mean pace of the upstreams that state one; 1 is as usual, 2 half as fast.",
    ),
    callSeconds: new Gauge({
      name: "corianderflow_call_seconds",
      help: "Mean duration of answered tries, as the choice of upstreams uses.",
      labelNames: ["service"],
      registers,
    }),
    workRatio: new Histogram({
      name: "corianderflow_work_ratio",
      help: "Estimated by measured work of answered tries by kind of route.",
      labelNames: ["route"],
      buckets: RATIO_BUCKETS,
      registers,
    }),
    promptPartsQuarantined: createGauge(
      "prompt_parts_quarantined",
      "Prompt parts and requests that crash upstreams.",
    ),
    streamsKnown: createGauge(
      "streams_known",
      "Resumable streams whose software version this router knows.",
    ),
    heldBytes: createGauge(
      "held_bytes",
      "Memory that is held for messages that have not been passed on.",
    ),
    heldMessagesDropped: new Counter({
      name: "corianderflow_held_messages_dropped_total",
      help: "Messages that were dropped to bound the memory that is held.",
      labelNames: ["kind"],
      registers,
    }),
    logLinesDropped: createGauge(
      "log_lines_dropped",
      "Log lines that were dropped to bound the volume.",
    ),
    eventLoopDelaySeconds: createGauge(
      "event_loop_delay_seconds",
      "Largest delay of a timer since the metrics were read.",
    ),
  };
}
