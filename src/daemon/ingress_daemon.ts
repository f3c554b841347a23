/**
 * Creates the components of a router that discovers its fleet in a metadata
 * store and places requests at the ingress; controls their start and stop.
 */
import type { RequestListener, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { getHeapStatistics } from "node:v8";
import type { IngressSettings } from "../config/ingress_settings.ts";
import {
  createConfigurationHandler,
  fetchConfiguration,
  isConfigurationRequest,
} from "../control/configuration_relay.ts";
import {
  createRoutingController,
  type RoutingController,
} from "../control/routing_controller.ts";
import {
  createPeerExchange,
  type PeerExchange,
} from "../control/peer_exchange.ts";
import {
  type InquiryReport,
  StreamExchange,
} from "../control/stream_exchange.ts";
import {
  createRolloutController,
  type RolloutController,
  type ServiceTimes,
} from "../control/rollout_controller.ts";
import { createTaskSystem, type TaskSystem } from "../control/task.ts";
import { createFilterChain, type FilterChain } from "../filters/exchange.ts";
import { AdmissionFilter } from "../ingress/admission_filter.ts";
import { RequestBodyFilter } from "../ingress/body_filter.ts";
import { CrashWatch } from "../ingress/crash_watch.ts";
import { ForwardFilter } from "../ingress/forward_filter.ts";
import { GraceEnd } from "../ingress/grace_end.ts";
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
import { LinkWatch } from "../ingress/link_watch.ts";
import { Placement } from "../ingress/placement.ts";
import { PresenceFilter } from "../ingress/presence_filter.ts";
import { RolloutWatch } from "../ingress/rollout_watch.ts";
import { RouteFilter } from "../ingress/route_filter.ts";
import { RouterForwarding } from "../ingress/router_forwarding.ts";
import { StopFilter, type StopProgress } from "../ingress/stop_filter.ts";
import type {
  NoticeDetails,
  UpstreamNotice,
} from "../ingress/upstream_notices.ts";
import { createLogFactory, type Log, type LogFactory } from "../log.ts";
import { createStdoutLogWriter, type LogWriter } from "../log_writer.ts";
import { createMetadataStore } from "../platform/metadata_store.ts";
import { READY_PATH } from "../platform/names.ts";
import { Admission } from "../policy/admission.ts";
import { findSharedServices } from "../policy/admission_scope.ts";
import { type Eviction, MemoryBudget } from "../policy/memory_budget.ts";
import { AnswerDurations } from "../policy/answer_durations.ts";
import {
  getFieldBytesLimit,
  getHeldBytesLimit,
} from "../policy/memory_limits.ts";
import { BALANCER_DRAIN_MS } from "../policy/stop_plan.ts";
import type { PortUse } from "../policy/bind_retry.ts";
import { PeerDemand } from "../policy/peer_demand.ts";
import { PeerLoads } from "../policy/peer_loads.ts";
import { getStorePollIntervals } from "../policy/poll_pause.ts";
import { RelayPlan } from "../policy/relay_plan.ts";
import { findUnreadyReason } from "../policy/readiness.ts";
import { type Hash, loadHash } from "../policy/rendezvous.ts";
import { createRetryBudget, type RetryBudget } from "../policy/retry_budget.ts";
import { StaleArrivals } from "../policy/stale_arrivals.ts";
import { createUnknownService } from "../policy/route_table.ts";
import type {
  Instant,
  RoutedService,
  RoutingConfiguration,
} from "../routing/types.ts";
import { bindServer } from "../transport/address.ts";
import { handleClientErrors } from "../transport/client_error.ts";
import { createTurnListener } from "../transport/connection_turns.ts";
import { createInFlightCounter } from "../transport/in_flight.ts";
import { createUpstreamConnections } from "../transport/upstream_connections.ts";
import { getCodeCacheState } from "./code_cache.ts";
import { createLifeCycle, type LifeCycle } from "./life_cycle.ts";
import { createPageServer, type Page, sendPage } from "./page.ts";
import { openOrClose, PortBinding } from "./port_binding.ts";
import type { RunningDaemon } from "./process_life.ts";

/** Options of `startIngressDaemon`. */
export interface IngressDaemonOptions {
  readonly settings: IngressSettings;
  readonly logs?: LogFactory;
  /**
   * Ends the wait for ports that are taken. The start then resolves with a
   * daemon that has to be stopped.
   */
  readonly stopSignal?: AbortSignal;
  /** Time for which the start waited for valid settings, in milliseconds. */
  readonly settingsWaitedMs?: number;
}

/** A running router. */
export interface IngressDaemon extends RunningDaemon {
  /**
   * Stops gracefully: waits for the requests in flight, at most for the grace
   * time, then closes.
   */
  stop(): Promise<void>;
  /** Applies the settings that may change while the router runs. */
  reload(settings: IngressSettings): void;
  /** Logs that the changed settings are invalid; the current ones stay. */
  rejectReload(faults: string): void;
}

/** Part of the grace time reserved for ending the process. */
const EXIT_MARGIN_MS = 500;
/**
 * Time in which requests are answered whose response has not begun when the
 * grace time ends, in milliseconds; part of the margin.
 */
const LAST_ANSWERS_MS = 200;
const READINESS_CHECK_INTERVAL_MS = 500;
/** Timeouts of the caller port until the first configuration is applied. */
const INITIAL_HEADER_TIMEOUT_MS = 3_000;
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
/**
 * Limit of the HTTP parser, which can't change after the server is created.
 * The largest limit seen in a configuration is 16 KiB.
 */
const MAX_HEADER_BYTES = 32_768;
/**
 * Idle time after which a connection of another router is closed, in
 * milliseconds; longer than routers keep idle connections.
 */
const ROUTER_IDLE_TIMEOUT_MS = 15_000;
/**
 * Share of the fleet's retry budget that is used. Below 1, since each router
 * counts its retries separately.
 */
const RETRY_BUDGET_SHARE = 0.9;
/** Log line of each notice. */
const NOTICE_LINES: Readonly<
  Record<UpstreamNotice, { level: "info" | "warn"; message: string }>
> = {
  "leaving": {
    level: "info",
    message: "An upstream states that it is leaving.",
  },
  "pause": { level: "info", message: "An upstream asks for a pause." },
  "long-pause": {
    level: "warn",
    message: "An upstream asks for a pause that is too long.",
  },
  "limit": { level: "info", message: "An upstream limits its requests." },
  "limit-ended": {
    level: "info",
    message: "An upstream no longer limits its requests.",
  },
  "bad-limit": {
    level: "warn",
    message: "An upstream states a limit that can't be read.",
  },
  "brittle": {
    level: "info",
    message: "An upstream bears few rejections.",
  },
  "brittle-ended": {
    level: "info",
    message: "An upstream no longer limits its rejections.",
  },
  "other-process": {
    level: "info",
    message: "An upstream has restarted, and its entry is not here yet.",
  },
  "bad-brittle": {
    level: "warn",
    message: "An upstream states a limit of rejections that can't be read.",
  },
  "unclear": {
    level: "warn",
    message: "An upstream's answer may be for an earlier request.",
  },
};
/**
 * Intervals of the reports of demand, in milliseconds: of all messages while a
 * service has no room, and else as often as the usual demand is learned.
 */
const CONTENDED_DEMAND_INTERVAL_MS = 0;
const DEMAND_INTERVAL_MS = 1_000;
/** Share of the requests that is moved in the time reserved for it. */
const MOVED_SHARE = 0.995;
const MS_PER_SECOND = 1_000;
/** The limit that the command line sets, or else Node's own. */
const HEAP_LIMIT_BYTES = getHeapStatistics().heap_size_limit;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Starts a router; resolves once it is listening. */
export async function startIngressDaemon(
  options: IngressDaemonOptions,
): Promise<IngressDaemon> {
  const hash = await loadHash();
  const daemon = new IngressRouterDaemon({ ...options, hash });
  await openOrClose(daemon, options);
  return daemon;
}

function readClocks(): Instant {
  return { steady: performance.now(), wall: Date.now() };
}

function readSteadyClock(): number {
  return performance.now();
}

class IngressRouterDaemon implements IngressDaemon {
  readonly log: Log;
  readonly #settings: IngressSettings;
  readonly #settingsWaitedMs: number;
  #bounds: IngressSettings["bounds"];
  readonly #logWriter: LogWriter;
  readonly #logs: LogFactory;
  readonly #lifeCycle: LifeCycle = createLifeCycle();
  readonly #tasks: TaskSystem = createTaskSystem();
  readonly #metrics: IngressMetrics = createIngressMetrics();
  readonly #inFlight = createInFlightCounter();
  readonly #graceEnd = new GraceEnd();
  readonly #staleArrivals = new StaleArrivals({ startedAt: readSteadyClock() });
  readonly #retryBudget: RetryBudget;
  readonly #memory: MemoryBudget;
  readonly #routing: RoutingController;
  readonly #placement: Placement;
  readonly #rollouts: RolloutController;
  readonly #answerDurations = new AnswerDurations();
  readonly #connections;
  readonly #crashes: CrashWatch;
  readonly #links: LinkWatch;
  readonly #peerLoads = new PeerLoads();
  readonly #peerDemand = new PeerDemand();
  readonly #admission: Admission;
  readonly #admissionFilter: AdmissionFilter;
  /** Services to which admission control applies. */
  #sharedServices: ReadonlySet<string> = new Set();
  readonly #peerExchange: PeerExchange;
  readonly #streams: StreamExchange;
  readonly #chain: FilterChain<IngressExchange, IngressOutcome>;
  readonly #callers: Server;
  readonly #ports: PortBinding;
  #isListening = false;
  /** Longest delay of a readiness check since the metrics were last read. */
  #maxEventLoopDelayMs = 0;
  #readinessTimer: NodeJS.Timeout | undefined;
  #stopStartedAt: number | undefined;
  #unreadyReason: string | undefined = "no-configuration";

  constructor(
    { settings, logs, hash, settingsWaitedMs = 0 }: IngressDaemonOptions & {
      hash: Hash;
    },
  ) {
    const { router, bounds, store: { address } } = settings;
    this.#settings = settings;
    this.#settingsWaitedMs = settingsWaitedMs;
    this.#bounds = bounds;
    this.#logWriter = createStdoutLogWriter({
      router: router.name,
      linesPerSecond: settings.log.linesPerS,
    });
    this.#logs = logs ?? createLogFactory({
      router: router.name,
      level: settings.log.level,
      writer: this.#logWriter,
    });
    this.log = this.#logs("daemon");
    this.#ports = new PortBinding({
      log: this.log,
      clock: readSteadyClock,
    });
    this.#retryBudget = createRetryBudget({
      ratio: bounds.retryRatio * RETRY_BUDGET_SHARE,
      windowMs: bounds.retryWindowS * MS_PER_SECOND,
      slack: bounds.retrySlack * RETRY_BUDGET_SHARE,
    });
    this.#memory = new MemoryBudget({
      limitBytes: getHeldBytesLimit(settings.limits.memoryMb),
      heapLimitBytes: getFieldBytesLimit(HEAP_LIMIT_BYTES),
      onEvict: (eviction) => this.#recordEviction(eviction),
    });
    const store = createMetadataStore({
      address,
      now: readClocks,
      memory: this.#memory,
    });
    this.#lifeCycle.addCleanup("metadata store", () => store.close());
    const pace = getStorePollIntervals(bounds);
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
      fetchConfiguration: (peer, peerOptions) =>
        fetchConfiguration(peer, { ...peerOptions, memory: this.#memory }),
      heartbeatMs: bounds.heartbeatMs,
      rollouts: {
        receive: (change) => this.#rollouts.receive(change),
        recordStoreRestored: () => this.#rollouts.recordStoreRestored(),
        writeChanges: (rank) => this.#rollouts.writeChanges(rank),
      },
      onConfiguration: (configuration) =>
        this.#applyConfiguration(configuration),
      onNewUpstream: ({ id, address }) => {
        this.#placement.forget(id);
        this.#connections.closeIdle(address);
      },
      onRouters: (count) => this.#updateRetrySlack(count),
      onCall: (isAnswered) =>
        this.#metrics.storeCalls.inc({
          outcome: isAnswered ? "answered" : "lost",
        }),
    });
    this.#connections = createUpstreamConnections({
      clock: readSteadyClock,
      onOpen: () => this.#metrics.connections.inc(),
    });
    this.#lifeCycle.addCleanup("connections", () => this.#connections.close());
    this.#placement = new Placement({
      self: router.name,
      failureDomain: router.failureDomain,
      routing: this.#routing,
      hash,
      clock: readSteadyClock,
      coldFactor: bounds.coldFactor,
      peerLoads: this.#peerLoads,
      onWork: ({ kind, estimatedMs, measuredMs }) => {
        if (measuredMs === 0) return;
        const ratio = estimatedMs / measuredMs;
        this.#metrics.workRatio.observe({ route: kind }, ratio);
      },
    });
    this.#rollouts = createRolloutController({
      self: router.name,
      startedAt: Date.now(),
      directory: this.#routing.directory,
      store,
      now: readClocks,
      hash,
      log: this.#logs("rollout"),
      ...bounds,
      listRouters: () => [...this.#routing.routers().keys()],
      listRelays: () =>
        plan.isRelay ? [...plan.relays, router.name] : plan.relays,
      getViewAgeMs: () => this.#routing.getChangesAgeMs(),
      listSuspects: (service) =>
        this.#placement.listSuspects(this.#findService(service)),
      getServiceTimes: (service) => this.#getServiceTimes(service),
      events: {
        onTry: (service, side) =>
          this.#metrics.rolloutRequests.inc({ service, side }),
        onVerdict: (service, verdict) =>
          this.#metrics.rolloutVerdicts.inc({ service, verdict }),
      },
    });
    this.#links = new LinkWatch({
      self: router.name,
      routing: this.#routing,
      connections: this.#connections,
      clock: readSteadyClock,
      log: this.#logs("route"),
    });
    this.#crashes = new CrashWatch({
      hash,
      clock: readSteadyClock,
      connections: this.#connections,
      links: this.#links,
      log: this.#logs("route"),
    });
    this.#streams = new StreamExchange({
      self: router.name,
      hash,
      clock: readSteadyClock,
      listRouters: () => [...this.#routing.routers().keys()],
      send: (message, name) => this.#peerExchange.send(message, name),
      findVersions: (service, spanMs) =>
        this.#routing.directory.findVersions(service, {
          now: readSteadyClock(),
          spanMs,
        }),
      getViewAgeMs: () => this.#routing.getViewAgeMs(),
      confirmView: () => this.#routing.confirmView(),
      onInquiryEnd: (report) => this.#logInquiry(report),
    });
    this.#admission = new Admission({
      peers: this.#peerDemand,
      countOthers: () => this.#routing.routers().size - 1,
      random: Math.random,
    });
    this.#admissionFilter = new AdmissionFilter({
      admission: this.#admission,
      placement: this.#placement,
      hash,
      clock: readSteadyClock,
      metrics: this.#metrics,
    });
    this.#peerExchange = createPeerExchange({
      self: router.name,
      address: settings.listen.peers,
      now: readClocks,
      log: this.#logs("peers"),
      plan,
      keeper: this.#routing,
      getOwnLoads: () => this.#placement.listOwnLoads(),
      getOwnPaces: () => this.#placement.listOwnPaces(),
      getOwnWork: () => this.#placement.listOwnWork(),
      getUnreachable: () => this.#placement.listUnreachable(),
      peerLoads: this.#peerLoads,
      findings: {
        createReport: (receiver) => ({
          promptParts: this.#crashes.createReports(),
          rates: this.#placement.createRateReports(),
          rejections: this.#placement.createRejectionReports(),
          links: this.#links.createReports(),
          answers: this.#placement.createAnswerReports(),
          ...this.#rollouts.createReport(receiver),
        }),
        receiveReport: (report, from) => {
          const { promptParts = [], rates = [], answers = [] } = report;
          const { rejections = [], links = [] } = report;
          this.#crashes.receiveReports(promptParts);
          this.#placement.receiveRateReports(rates);
          this.#placement.receiveRejectionReports(rejections);
          this.#links.receiveReports(links);
          this.#placement.receiveAnswerReports(answers);
          this.#rollouts.receiveReport(report, from);
        },
      },
      demand: {
        getIntervalMs: () => this.#getDemandIntervalMs(),
        createReport: (isIncluded) =>
          this.#admission.createReport(readSteadyClock(), isIncluded),
        receiveReport: (name, report) =>
          this.#peerDemand.record(name, { ...report, now: readSteadyClock() }),
        forget: (name) => this.#peerDemand.forget(name),
      },
      onStreamMessage: (message) => this.#streams.receive(message),
      ...pace,
    });
    this.#chain = this.#createChain(hash);
    this.#callers = this.#createCallerServer();
  }

  async open(): Promise<void> {
    const { listen: addresses, router } = this.#settings;
    this.#routing.open();
    this.#lifeCycle.addCleanup("routing", () => this.#routing.close());
    // Without its peers' datagrams, a router reads the store itself.
    await this.#ports.open({
      setting: "[listen] peers",
      address: addresses.peers,
      use: "optional",
      bind: () => this.#peerExchange.open(),
    });
    this.#lifeCycle.addCleanup(
      "peer exchange",
      () => this.#peerExchange.close(),
    );
    this.#streams.open();
    this.#lifeCycle.addCleanup("streams", () => this.#streams.close());
    this.#links.open();
    this.#lifeCycle.addCleanup("links", () => this.#links.close());
    await this.#openServer(this.#createRouterServer(), "peers", "optional");
    const readiness = createPageServer((request, response) => {
      const isReadyPath = request.url === READY_PATH;
      const isReady = this.#findUnreadyReason() === undefined;
      sendEmptyResponse(
        response,
        isReadyPath && isReady ? STATUS_OK : STATUS_UNAVAILABLE,
      );
    });
    await this.#openServer(readiness, "ready", "required");
    const metrics = createPageServer((_request, response) => {
      void sendPage(response, {
        render: () => this.#renderMetrics(),
        log: this.log,
      });
    });
    await this.#openServer(metrics, "metrics", "optional");
    // Last, so that a start that fails has served nobody.
    await this.#openPort(this.#callers, "callers", "required");
    if (!this.#callers.listening || !readiness.listening) return;
    this.#isListening = true;
    this.#scheduleReadinessCheck(
      readSteadyClock() + READINESS_CHECK_INTERVAL_MS,
    );
    this.#lifeCycle.addCleanup(
      "readiness",
      () => clearTimeout(this.#readinessTimer),
    );
    this.#logs("daemon").info("The router has started.", {
      router: router.name,
      failureDomain: router.failureDomain,
      callers: addresses.callers,
      codeCache: getCodeCacheState(),
      startMs: Math.round(readSteadyClock()),
      settingsWaitedMs: this.#settingsWaitedMs,
      portsWaitedMs: this.#ports.waitedMs,
    });
  }

  countUnhandledError(): void {
    this.#metrics.unhandledErrors.inc();
  }

  endWait(): void {
    this.#ports.close();
  }

  async abandon(): Promise<void> {
    this.#ports.close();
    this.#callers.close();
    await this.#lifeCycle.close();
  }

  reload({ bounds, limits }: IngressSettings): void {
    this.#bounds = bounds;
    this.#updateRetrySlack(this.#routing.routers().size);
    this.#callers.maxConnections = limits.maxConnections;
    this.#memory.limitBytes = getHeldBytesLimit(limits.memoryMb);
    this.#logs("daemon").info("The settings were reloaded.", {
      bounds,
      limits,
    });
  }

  rejectReload(faults: string): void {
    this.#logs("daemon").error("The changed settings are invalid.", {
      faults,
    });
  }

  async stop(): Promise<void> {
    const log = this.#logs("daemon");
    const startedAt = readSteadyClock();
    this.#stopStartedAt = startedAt;
    this.#ports.close();
    this.#admissionFilter.stop();
    log.info("Graceful stop started.", { inFlight: this.#inFlight.count });
    // A router that callers can't reach has none to wait for.
    const drainMs = this.#isListening ? BALANCER_DRAIN_MS : 0;
    await sleep(Math.min(drainMs, this.#getStopProgress()!.lifetimeMs));
    await this.#endInFlight();
    this.#callers.close();
    // Wait for requests that arrived while the last answers were being sent.
    await this.#endInFlight();
    this.#callers.closeAllConnections();
    for (const { name, cause } of await this.#lifeCycle.close()) {
      log.warn("A resource failed to close.", { name, cause: String(cause) });
    }
    this.#tasks.close();
    log.info("The router has stopped.", {
      inFlight: this.#inFlight.count,
      ms: Math.round(readSteadyClock() - startedAt),
    });
  }

  /**
   * Waits for the requests in flight, at most until the grace time ends. Then
   * answers those whose response has not begun, and ends the remaining ones: by
   * resetting the callers' connections before those to the upstreams are closed,
   * so that none is retried at another upstream.
   */
  async #endInFlight(): Promise<void> {
    if (await this.#waitUntilIdle(this.#getStopProgress()!.lifetimeMs)) return;
    const unanswered = this.#inFlight.count;
    this.#graceEnd.reach();
    await this.#waitUntilIdle(LAST_ANSWERS_MS);
    this.#logs("daemon").warn("The grace time ended amid requests.", {
      unanswered,
      reset: this.#inFlight.count,
    });
    this.#inFlight.resetConnections();
  }

  /** Whether no request is in flight within `timeoutMs` milliseconds. */
  #waitUntilIdle(timeoutMs: number): Promise<boolean> {
    return Promise.race([
      this.#inFlight.waitUntilIdle().then(() => true),
      // The connections of the requests keep the process running.
      sleep(timeoutMs, false, { ref: false }),
    ]);
  }

  #getStopProgress(): StopProgress | undefined {
    if (this.#stopStartedAt === undefined) return undefined;
    const stoppingMs = readSteadyClock() - this.#stopStartedAt;
    const graceMs = this.#bounds.graceS * MS_PER_SECOND - EXIT_MARGIN_MS;
    return { stoppingMs, lifetimeMs: Math.max(0, graceMs - stoppingMs) };
  }

  #createChain(hash: Hash): FilterChain<IngressExchange, IngressOutcome> {
    const { name: self } = this.#settings.router;
    const routing = this.#routing;
    const links = this.#links;
    return createFilterChain<IngressExchange, IngressOutcome>([
      new PresenceFilter({
        arrivals: this.#staleArrivals,
        clock: readSteadyClock,
      }),
      new RouteFilter({ routing, now: readClocks }),
      new KeyFilter({ routing, now: readClocks }),
      new RequestBodyFilter({ memory: this.#memory, clock: readSteadyClock }),
      new StopFilter({
        getStop: () => this.#getStopProgress(),
        clock: readSteadyClock,
        durations: this.#answerDurations,
      }),
      this.#admissionFilter,
      new ForwardFilter({
        routing,
        placement: this.#placement,
        connections: this.#connections,
        memory: this.#memory,
        crashes: this.#crashes,
        links,
        rollouts: new RolloutWatch({
          rollouts: this.#rollouts,
          placement: this.#placement,
          links,
          clock: readSteadyClock,
        }),
        routers: new RouterForwarding({
          self,
          routing,
          links,
          clock: readSteadyClock,
        }),
        streams: this.#streams,
        retries: this.#retryBudget,
        graceEnd: this.#graceEnd,
        clock: readSteadyClock,
        getViewAgeMs: () => routing.getViewAgeMs(),
        hash,
        onTry: (service, end) => this.#metrics.tries.inc({ service, end }),
        onNotice: (kind, details) => this.#recordNotice(kind, details),
      }),
    ]);
  }

  #findService(name: string): RoutedService {
    return this.#routing.table()?.findService(name) ??
      createUnknownService(name);
  }

  /** Returns how long the requests of a service take, by its routes. */
  #getServiceTimes(service: string): ServiceTimes {
    const routes = this.#routing.table()?.configuration.routes ?? [];
    const times = routes.filter(({ targets }) =>
      targets.some((target) => target.service === service && target.weight > 0)
    ).map(({ name, timeoutMs }) => ({
      timeoutMs,
      usualMs: this.#answerDurations.findMs(name, MOVED_SHARE) ?? timeoutMs,
    }));
    return {
      timeoutMs: Math.max(0, ...times.map(({ timeoutMs }) => timeoutMs)),
      usualMs: Math.max(0, ...times.map(({ usualMs }) => usualMs)),
    };
  }

  #createRequestHandler(
    { isForRouters }: { isForRouters: boolean },
  ): RequestListener {
    return createIngressHandler({
      chain: this.#chain,
      clock: readSteadyClock,
      log: this.#logs("route"),
      metrics: this.#metrics,
      inFlight: this.#inFlight,
      memory: this.#memory,
      getTable: () => this.#routing.table(),
      awaitTable: (remainingMs) => this.#routing.awaitTable(remainingMs),
      isStopping: () => this.#stopStartedAt !== undefined,
      isForRouters,
    });
  }

  #createCallerServer(): Server {
    const server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
        keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
        noDelay: true,
      },
      createTurnListener(
        this.#createRequestHandler({ isForRouters: false }),
        { inFlight: this.#inFlight },
      ),
    );
    server.maxConnections = this.#settings.limits.maxConnections;
    handleClientErrors(server);
    return server;
  }

  /** Serves the configuration and the requests that other routers forward. */
  #createRouterServer(): Server {
    const serveRequest = this.#createRequestHandler({ isForRouters: true });
    const serveConfiguration = createConfigurationHandler(
      () => this.#routing.table()?.configuration,
    );
    const server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: ROUTER_IDLE_TIMEOUT_MS,
        noDelay: true,
      },
      createTurnListener((request, response) => {
        const serve = isConfigurationRequest(request)
          ? serveConfiguration
          : serveRequest;
        serve(request, response);
      }, { inFlight: this.#inFlight }),
    );
    server.maxConnections = this.#settings.limits.maxConnections;
    handleClientErrors(server);
    return server;
  }

  #logInquiry({ service, outcome, ...fields }: InquiryReport): void {
    const log = this.#logs("route");
    if (outcome === "told") {
      log.debug("Another router knows a stream.", { service, ...fields });
    } else if (outcome === "sole-version") {
      log.info("A stream that no router knows is of the only version.", {
        service,
        ...fields,
      });
    } else {
      log.info("A stream that no router knows is refused.", {
        service,
        reason: outcome,
        ...fields,
      });
    }
  }

  #recordNotice(kind: UpstreamNotice, details: NoticeDetails): void {
    this.#metrics.upstreamNotices.inc({ kind });
    const { level, message } = NOTICE_LINES[kind];
    this.#logs("route")[level](message, { ...details });
  }

  #recordEviction({ kind, ...fields }: Eviction): void {
    this.#metrics.heldMessagesDropped.inc({ kind });
    this.#logs("route").warn("A message was dropped to bound memory.", {
      kind,
      ...fields,
    });
  }

  async #openServer(
    server: Server,
    key: keyof IngressSettings["listen"],
    use: PortUse,
  ): Promise<void> {
    this.#lifeCycle.addCleanup(`server of ${key}`, () => {
      server.closeAllConnections();
      server.close();
    });
    await this.#openPort(server, key, use);
  }

  #openPort(
    server: Server,
    key: keyof IngressSettings["listen"],
    use: PortUse,
  ): Promise<void> {
    const setting = `[listen] ${key}`;
    const address = this.#settings.listen[key];
    const onError = (cause: Error) =>
      this.#logs("daemon").warn("A server failed.", {
        setting,
        address,
        cause: cause.message,
      });
    return this.#ports.open({
      setting,
      address,
      use,
      bind: () => bindServer(server, address, { onError }),
    });
  }

  /** Demand matters only for services that are shared. */
  #getDemandIntervalMs(): number {
    if (this.#sharedServices.size === 0) return Infinity;
    return this.#admission.isContended(readSteadyClock())
      ? CONTENDED_DEMAND_INTERVAL_MS
      : DEMAND_INTERVAL_MS;
  }

  #applyConfiguration(configuration: RoutingConfiguration): void {
    const { limits, version, faults } = configuration;
    this.#sharedServices = findSharedServices(configuration);
    this.#callers.keepAliveTimeout = limits.idleTimeoutMs;
    this.#callers.headersTimeout = limits.headerTimeoutMs;
    this.#metrics.configurationVersion.set(version);
    this.#metrics.configurationFaults.set(faults?.count ?? 0);
  }

  /** Sets this router's slack to an equal part of the fleet's. */
  #updateRetrySlack(routers: number): void {
    const { retrySlack } = this.#bounds;
    this.#retryBudget.setSlack(
      retrySlack * RETRY_BUDGET_SHARE / Math.max(1, routers),
    );
  }

  #findUnreadyReason(): string | undefined {
    return findUnreadyReason({
      isStopping: this.#stopStartedAt !== undefined,
      isListening: this.#callers.listening,
      hasConfiguration: this.#routing.table() !== undefined,
      isConfirmed: this.#routing.isTrustedAt(readClocks()),
    });
  }

  /**
   * Checks the readiness at `dueAt` and periodically after that. The delay of
   * each check measures how long the event loop was blocked.
   */
  #scheduleReadinessCheck(dueAt: number): void {
    this.#readinessTimer = setTimeout(() => {
      const now = readSteadyClock();
      this.#maxEventLoopDelayMs = Math.max(
        this.#maxEventLoopDelayMs,
        now - dueAt,
      );
      this.#staleArrivals.recordDelay(now - dueAt, now);
      this.#logReadinessChange();
      this.#scheduleReadinessCheck(now + READINESS_CHECK_INTERVAL_MS);
    }, dueAt - readSteadyClock());
  }

  #logReadinessChange(): void {
    const reason = this.#findUnreadyReason();
    if (reason === this.#unreadyReason) return;
    this.#unreadyReason = reason;
    const ageMs = Math.round(this.#routing.ageAt(readClocks()));
    const log = this.#logs("daemon");
    if (reason === undefined) log.info("The router is ready.", { ageMs });
    else log.warn("The router is not ready.", { reason, ageMs });
  }

  async #renderMetrics(): Promise<Page> {
    const { registry, ...metrics } = this.#metrics;
    const ageMs = this.#routing.ageAt(readClocks());
    metrics.configurationAgeSeconds.set(ageMs / MS_PER_SECOND);
    metrics.serviceFreeSlots.reset();
    for (const service of this.#sharedServices) {
      const { free } = this.#placement.getServiceLoad(service);
      metrics.serviceFreeSlots.set({ service }, free);
    }
    const { invalid, leftOut, isViewPartial } = this.#routing.getStoreGaps();
    metrics.storeItemsUnused.set({ reason: "invalid" }, invalid);
    metrics.storeItemsUnused.set({ reason: "no-room" }, leftOut);
    metrics.storeViewPartial.set(isViewPartial ? 1 : 0);
    metrics.configurationRejected.set(
      this.#routing.isConfigurationRejected ? 1 : 0,
    );
    metrics.upstreams.set(this.#routing.directory.size);
    metrics.upstreamsLimited.set(this.#placement.limitedCount);
    metrics.streamsKnown.set(this.#streams.knownCount);
    metrics.promptPartsQuarantined.set(this.#crashes.quarantinedCount);
    metrics.rollouts.reset();
    for (const rollout of this.#rollouts.listStatus()) {
      metrics.rollouts.set({ ...rollout }, 1);
    }
    metrics.linksDown.set(this.#links.downCount);
    metrics.peerLoadsAgeSeconds.set(
      this.#peerLoads.getMeanAge(readSteadyClock()) / MS_PER_SECOND,
    );
    metrics.upstreamPace.set(this.#placement.meanPace);
    metrics.callSeconds.reset();
    for (const [service, ms] of this.#placement.listDurations()) {
      metrics.callSeconds.set({ service }, ms / MS_PER_SECOND);
    }
    metrics.routers.set(this.#routing.routers().size);
    metrics.heldBytes.set(this.#memory.heldBytes);
    metrics.logLinesDropped.set(this.#logWriter.droppedLines);
    metrics.eventLoopDelaySeconds.set(
      this.#maxEventLoopDelayMs / MS_PER_SECOND,
    );
    this.#maxEventLoopDelayMs = 0;
    return {
      contentType: registry.contentType,
      body: await registry.metrics(),
    };
  }
}

function sendEmptyResponse(response: ServerResponse, status: number): void {
  response.writeHead(status, { "content-length": "0" });
  response.end();
}
