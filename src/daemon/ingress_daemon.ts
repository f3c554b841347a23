/**
 * Wires a router that finds its fleet in a metadata store and places requests
 * at the ingress; owns its start and its stop.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { IngressSettings } from "../config/ingress_settings.ts";
import {
  createConfigurationServer,
  fetchConfiguration,
} from "../control/configuration_relay.ts";
import {
  createRoutingController,
  type RoutingController,
} from "../control/routing_controller.ts";
import {
  createPeerExchange,
  type PeerExchange,
} from "../control/peer_exchange.ts";
import { createTaskSystem, type TaskSystem } from "../control/task.ts";
import { createFilterChain } from "../filters/exchange.ts";
import {
  RequestBodyFilter,
  type StopProgress,
} from "../ingress/body_filter.ts";
import { ForwardFilter } from "../ingress/forward_filter.ts";
import type {
  IngressExchange,
  IngressOutcome,
} from "../ingress/ingress_exchange.ts";
import {
  createIngressMetrics,
  type IngressMetrics,
} from "../ingress/ingress_metrics.ts";
import { createIngressHandler } from "../ingress/ingress_server.ts";
import { KeyFilter } from "../ingress/key_filter.ts";
import { Placement } from "../ingress/placement.ts";
import { RouteFilter } from "../ingress/route_filter.ts";
import { createLogFactory, type LogFactory } from "../log.ts";
import { createStdoutLogWriter, type LogWriter } from "../log_writer.ts";
import { createMetadataStore } from "../platform/metadata_store.ts";
import { READY_PATH } from "../platform/names.ts";
import { BALANCER_DRAIN_MS } from "../policy/stop_plan.ts";
import { PeerLoads } from "../policy/peer_loads.ts";
import { getStorePace } from "../policy/poll_pause.ts";
import { RelayPlan } from "../policy/relay_plan.ts";
import { findUnreadyReason } from "../policy/readiness.ts";
import { type Hash, loadHash } from "../policy/rendezvous.ts";
import { createRetryBudget, type RetryBudget } from "../policy/retry_budget.ts";
import type { Instant, RoutingConfiguration } from "../routing/types.ts";
import { bindServer } from "../transport/address.ts";
import { answerClientErrors } from "../transport/client_error.ts";
import { createInFlight } from "../transport/in_flight.ts";
import { createUpstreamConnections } from "../transport/upstream_connections.ts";
import { createLifeCycle, type LifeCycle } from "./life_cycle.ts";

/** Options of the daemon. */
export interface IngressDaemonOptions {
  readonly settings: IngressSettings;
  readonly logs?: LogFactory;
}

/** A running router. */
export interface IngressDaemon {
  /** Stops gracefully: finishes what is in flight, then closes. */
  stop(): Promise<void>;
  /** Takes settings over that may change while the router runs. */
  reload(settings: IngressSettings): void;
  /** Notes that the settings can't be used; those in force stay. */
  rejectReload(faults: string): void;
}

/** Part of the grace time that is left to end the process, in milliseconds. */
const EXIT_MARGIN_MS = 500;
/** Pause between two looks at the readiness, in milliseconds. */
const READINESS_LOOK_MS = 500;
/** Limits of callers before the first configuration, in milliseconds. */
const HEADER_TIMEOUT_MS = 3_000;
const IDLE_TIMEOUT_MS = 15_000;
/** Above the limit of any configuration seen (16 KiB); fixed at the start. */
const MAX_HEADER_BYTES = 32_768;
/** Share of the fleet's retry budget that is used; routers count apart. */
const RETRY_SHARE = 0.9;
const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Starts a router; resolves once it listens. */
export async function startIngressDaemon(
  options: IngressDaemonOptions,
): Promise<IngressDaemon> {
  const hash = await loadHash();
  const daemon = new IngressRouterDaemon({ ...options, hash });
  await daemon.open();
  return daemon;
}

function readClocks(): Instant {
  return { steady: performance.now(), wall: Date.now() };
}

function readSteadyClock(): number {
  return performance.now();
}

class IngressRouterDaemon implements IngressDaemon {
  readonly #settings: IngressSettings;
  #bounds: IngressSettings["bounds"];
  readonly #writer: LogWriter;
  readonly #logs: LogFactory;
  readonly #lifeCycle: LifeCycle = createLifeCycle();
  readonly #tasks: TaskSystem = createTaskSystem();
  readonly #metrics: IngressMetrics = createIngressMetrics();
  readonly #inFlight = createInFlight();
  readonly #retries: RetryBudget;
  readonly #routing: RoutingController;
  readonly #placement: Placement;
  readonly #connections;
  readonly #peerLoads = new PeerLoads();
  readonly #peerExchange: PeerExchange;
  readonly #callers: Server;
  /** Largest delay of a look since the metrics were read, in milliseconds. */
  #loopDelayMs = 0;
  #lookTimer: NodeJS.Timeout | undefined;
  #stopBegunAt: number | undefined;
  #unreadyReason: string | undefined = "no-configuration";

  constructor(
    { settings, logs, hash }: IngressDaemonOptions & { hash: Hash },
  ) {
    const { router, bounds, store: { address } } = settings;
    this.#settings = settings;
    this.#bounds = bounds;
    this.#writer = createStdoutLogWriter({
      router: router.name,
      linesPerSecond: settings.log.linesPerS,
    });
    this.#logs = logs ?? createLogFactory({
      router: router.name,
      level: settings.log.level,
      write: (line) => this.#writer.write(line),
    });
    this.#retries = createRetryBudget({
      ratio: bounds.retryRatio * RETRY_SHARE,
      windowMs: bounds.retryWindowS * MS_PER_SECOND,
      slack: bounds.retrySlack * RETRY_SHARE,
    });
    const store = createMetadataStore({
      address,
      now: readClocks,
    });
    this.#lifeCycle.own("metadata store", () => store.close());
    const pace = getStorePace(bounds);
    const { linkMbps } = router;
    const plan = new RelayPlan({
      self: router.name,
      linkMbps,
      hash,
      ...pace,
    });
    this.#routing = createRoutingController({
      self: { name: router.name, address: settings.listen.peers, linkMbps },
      store,
      now: readClocks,
      log: this.#logs("config"),
      tasks: this.#tasks,
      revocationMs: bounds.revocationMs,
      pace,
      plan,
      fetchConfiguration,
      heartbeatMs: bounds.heartbeatMs,
      onConfiguration: (configuration) => this.#configured(configuration),
      onNewUpstream: ({ id, address }) => {
        this.#placement.forget(id);
        this.#connections.dropIdle(address);
      },
      onRouters: (count) => this.#shareRetries(count),
      onCall: (isAnswered) =>
        this.#metrics.storeCalls.inc({
          outcome: isAnswered ? "answered" : "lost",
        }),
    });
    this.#connections = createUpstreamConnections({
      clock: readSteadyClock,
      onOpen: () => this.#metrics.connections.inc(),
    });
    this.#lifeCycle.own("connections", () => this.#connections.close());
    this.#placement = new Placement({
      self: router.name,
      routing: this.#routing,
      hash,
      clock: readSteadyClock,
      coldFactor: bounds.coldFactor,
      peerLoads: this.#peerLoads,
    });
    this.#peerExchange = createPeerExchange({
      self: router.name,
      address: settings.listen.peers,
      now: readClocks,
      log: this.#logs("peers"),
      plan,
      keeper: this.#routing,
      getOwnLoads: () => this.#placement.listOwnLoads(),
      peerLoads: this.#peerLoads,
      ...pace,
    });
    this.#callers = this.#createCallerServer(hash);
  }

  async open(): Promise<void> {
    const { listen: addresses, router } = this.#settings;
    this.#routing.open();
    this.#lifeCycle.own("routing", () => this.#routing.close());
    await this.#peerExchange.open();
    this.#lifeCycle.own("peer exchange", () => this.#peerExchange.close());
    await this.#openServer(
      createConfigurationServer(() => this.#routing.table()?.configuration),
      addresses.peers,
    );
    await bindServer(this.#callers, addresses.callers);
    const readiness = createServer((request, response) => {
      const isReadyPath = request.url === READY_PATH;
      const isReady = this.#findUnreadyReason() === undefined;
      answer(response, isReadyPath && isReady ? STATUS_OK : STATUS_UNAVAILABLE);
    });
    await this.#openServer(readiness, addresses.ready);
    const metrics = createServer((request, response) => {
      void this.#answerMetrics(request, response);
    });
    await this.#openServer(metrics, addresses.metrics);
    this.#look(readSteadyClock() + READINESS_LOOK_MS);
    this.#lifeCycle.own("readiness", () => clearTimeout(this.#lookTimer));
    this.#logs("daemon").info("The router has started.", {
      router: router.name,
      failureDomain: router.failureDomain,
      callers: addresses.callers,
    });
  }

  reload({ bounds }: IngressSettings): void {
    this.#bounds = bounds;
    this.#shareRetries(this.#routing.routers().size);
    this.#logs("daemon").info("The settings were read again.", { bounds });
  }

  rejectReload(faults: string): void {
    this.#logs("daemon").error("The changed settings can't be used.", {
      faults,
    });
  }

  async stop(): Promise<void> {
    const log = this.#logs("daemon");
    const begunAt = readSteadyClock();
    this.#stopBegunAt = begunAt;
    log.info("The router stops.", { inFlight: this.#inFlight.count });
    await sleep(Math.min(BALANCER_DRAIN_MS, this.#getStop()!.lifetimeMs));
    await Promise.race([
      this.#inFlight.idle(),
      sleep(this.#getStop()!.lifetimeMs),
    ]);
    this.#callers.close();
    // What came while the last answers ended.
    await Promise.race([
      this.#inFlight.idle(),
      sleep(this.#getStop()!.lifetimeMs),
    ]);
    // What is left ends here, and must not be tried at another upstream.
    this.#callers.closeAllConnections();
    for (const { name, cause } of await this.#lifeCycle.close()) {
      log.warn("A resource failed to close.", { name, cause: String(cause) });
    }
    this.#tasks.close();
    log.info("The router has stopped.", {
      inFlight: this.#inFlight.count,
      ms: Math.round(readSteadyClock() - begunAt),
    });
  }

  #getStop(): StopProgress | undefined {
    if (this.#stopBegunAt === undefined) return undefined;
    const stoppingMs = readSteadyClock() - this.#stopBegunAt;
    const graceMs = this.#bounds.graceS * MS_PER_SECOND - EXIT_MARGIN_MS;
    return { stoppingMs, lifetimeMs: Math.max(0, graceMs - stoppingMs) };
  }

  #createCallerServer(hash: Hash): Server {
    const chain = createFilterChain<IngressExchange, IngressOutcome>([
      new RouteFilter({ routing: this.#routing, now: readClocks }),
      new KeyFilter({ routing: this.#routing, now: readClocks }),
      new RequestBodyFilter({
        getStop: () => this.#getStop(),
        clock: readSteadyClock,
      }),
      new ForwardFilter({
        routing: this.#routing,
        placement: this.#placement,
        connections: this.#connections,
        retries: this.#retries,
        clock: readSteadyClock,
        hash,
        onTry: (service, end) => this.#metrics.tries.inc({ service, end }),
      }),
    ]);
    const server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADER_TIMEOUT_MS,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        noDelay: true,
      },
      createIngressHandler({
        chain,
        clock: readSteadyClock,
        log: this.#logs("route"),
        metrics: this.#metrics,
        inFlight: this.#inFlight,
        getTable: () => this.#routing.table(),
        isStopping: () => this.#stopBegunAt !== undefined,
      }),
    );
    server.maxConnections = this.#settings.limits.maxConnections;
    answerClientErrors(server);
    return server;
  }

  async #openServer(server: Server, address: string): Promise<void> {
    await bindServer(server, address);
    this.#lifeCycle.own(`server ${address}`, () => {
      server.closeAllConnections();
      server.close();
    });
  }

  #configured({ limits, version }: RoutingConfiguration): void {
    this.#callers.keepAliveTimeout = limits.idleTimeoutMs;
    this.#callers.headersTimeout = limits.headerTimeoutMs;
    this.#metrics.configurationVersion.set(version);
  }

  /** Each router takes an equal part of what the fleet may add. */
  #shareRetries(routers: number): void {
    const { retrySlack } = this.#bounds;
    this.#retries.setSlack(retrySlack * RETRY_SHARE / Math.max(1, routers));
  }

  #findUnreadyReason(): string | undefined {
    return findUnreadyReason({
      isStopping: this.#stopBegunAt !== undefined,
      hasConfiguration: this.#routing.table() !== undefined,
      isConfirmed: this.#routing.isTrustedAt(readClocks()),
    });
  }

  /** Looks at `dueAt`, and again and again; a look that is late tells how. */
  #look(dueAt: number): void {
    this.#lookTimer = setTimeout(() => {
      const now = readSteadyClock();
      this.#loopDelayMs = Math.max(this.#loopDelayMs, now - dueAt);
      this.#noteReadiness();
      this.#look(now + READINESS_LOOK_MS);
    }, dueAt - readSteadyClock());
  }

  #noteReadiness(): void {
    const reason = this.#findUnreadyReason();
    if (reason === this.#unreadyReason) return;
    this.#unreadyReason = reason;
    const ageMs = Math.round(this.#routing.ageAt(readClocks()));
    const log = this.#logs("daemon");
    if (reason === undefined) log.info("The router is ready.", { ageMs });
    else log.warn("The router is not ready.", { reason, ageMs });
  }

  async #answerMetrics(
    _request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { registry, ...metrics } = this.#metrics;
    const ageMs = this.#routing.ageAt(readClocks());
    metrics.configurationAgeSeconds.set(ageMs / MS_PER_SECOND);
    metrics.upstreams.set(this.#routing.directory.size);
    metrics.routers.set(this.#routing.routers().size);
    metrics.logLinesDropped.set(this.#writer.dropped);
    metrics.eventLoopDelaySeconds.set(this.#loopDelayMs / MS_PER_SECOND);
    this.#loopDelayMs = 0;
    const text = await registry.metrics();
    response.writeHead(STATUS_OK, { "content-type": registry.contentType });
    response.end(text);
  }
}

function answer(response: ServerResponse, status: number): void {
  response.writeHead(status, { "content-length": "0" });
  response.end();
}
