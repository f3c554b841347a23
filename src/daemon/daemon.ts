/**
 * Creates the components of a router and controls their start and stop.
 */
import { randomBytes, randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { Server } from "node:http";
import type { Upstream } from "../config/manifest.ts";
import { createConfigurationStore } from "../config/configuration_store.ts";
import type { Configuration } from "../config/configuration.ts";
import { createManifestIndex } from "../config/manifest_index.ts";
import type { Settings } from "../config/settings.ts";
import {
  type CacheEventsController,
  createCacheEventsController,
} from "../control/cache_events_controller.ts";
import { createCacheEventSource } from "../control/cache_events_controller_source.ts";
import {
  type ConfigurationController,
  type ConfigurationStatus,
  createConfigurationController,
  hasRoutersGap,
} from "../control/configuration_controller.ts";
import {
  createDirectoriesController,
  type DirectoriesController,
} from "../control/directories_controller.ts";
import {
  createHostsController,
  type HostsController,
} from "../control/hosts_controller.ts";
import {
  createOrdersController,
  type OrdersController,
} from "../control/orders_controller.ts";
import { createWeightSlots } from "../control/orders_controller_slots.ts";
import type { Heartbeat, PoolOffer, PoolReturn } from "../control/heartbeat.ts";
import {
  createPeersController,
  type PeersController,
} from "../control/peers_controller.ts";
import { createPoolController } from "../control/pool_controller.ts";
import {
  createPoolsController,
  type PoolsController,
} from "../control/pools_controller.ts";
import {
  createRegistryController,
  type RegistryController,
} from "../control/registry_controller.ts";
import { createRetentionLease } from "../control/retention_lease.ts";
import { createTaskSystem, type TaskSystem } from "../control/task.ts";
import { createUpstreamOrders } from "../control/upstream_orders.ts";
import type { Clock } from "../control/views.ts";
import * as Debug from "../debug.ts";
import { BodyFilter } from "../filters/body_filter.ts";
import { DeadlineFilter } from "../filters/deadline_filter.ts";
import { createFilterChain, type Exchange } from "../filters/exchange.ts";
import { IdempotencyFilter } from "../filters/idempotency_filter.ts";
import { RateLimitFilter } from "../filters/rate_limit_filter.ts";
import { LocateFilter } from "../filters/locate_filter.ts";
import { ServiceFilter } from "../filters/service_filter.ts";
import { scopeChat, UpstreamFilter } from "../filters/upstream_filter.ts";
import { WorkspaceFilter } from "../filters/workspace_filter.ts";
import { createEtcdKeyValue } from "../store/etcd_key_value.ts";
import { createHttpHostList } from "../store/host_list.ts";
import { createFailoverKeyValue } from "../store/failover_key_value.ts";
import type { KeyValue } from "../store/key_value.ts";
import { createHttpWeightStore } from "../store/weight_store.ts";
import type { ChatHash } from "../policy/chat_directory.ts";
import { selectPeers } from "../policy/peer_selection.ts";
import { type Hash, loadHash } from "../policy/rendezvous.ts";
import { createRetryBudget } from "../policy/retry_budget.ts";
import { createWorkspaceLimits } from "../policy/workspace_limits.ts";
import { createCallerHandler } from "../transport/caller_server.ts";
import { createInFlightCounter } from "../transport/in_flight.ts";
import { createForwardHandler } from "../transport/forward_server.ts";
import { deriveForwardToken } from "../transport/handshake.ts";
import { createHttpClient, type HttpClient } from "../transport/http_client.ts";
import {
  createServerCloser,
  listenForHttp,
  type ServerLimits,
} from "../transport/http_server.ts";
import type { Router } from "../types.ts";
import type { Explanation, RouterStatus } from "../types_status.ts";
import { renderStatus } from "./status.ts";
import { createLoadPoller } from "./load_poller.ts";
import { createLifeCycle, type LifeCycle } from "./life_cycle.ts";
import { createLogFactory, type Log, type LogFactory } from "../log.ts";
import { createMetrics, type Metrics, setUpstreamGauges } from "./metrics.ts";
import { type ChatQuery, createAdminHandler } from "./admin.ts";
import { openOrClose, PortBinding } from "./port_binding.ts";
import type { RunningDaemon } from "./process_life.ts";

/** Options of `startDaemon`. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly fleetKey: string;
  readonly logs?: LogFactory;
  /**
   * Ends the wait for ports that are taken. The start then resolves with a
   * daemon that has to be stopped.
   */
  readonly stopSignal?: AbortSignal;
}

/** A running router. */
export interface Daemon extends RunningDaemon {
  /** Stops gracefully: waits for the requests in flight, then closes. */
  stop(): Promise<void>;
}

const INCARNATION_BYTES = 4;
/**
 * Time without a message from a router after which its unfinished calls count
 * as abandoned.
 */
const ABANDONED_CALL_TIMEOUT_MS = 10_000;
/** Retries that a router may make per minute however few its requests are. */
const MIN_RETRIES_PER_MINUTE = 10;
const CONFIG_READ_TIMEOUT_MS = 2_000;
/** Timeout of a whole request as a multiple of the header timeout. */
const REQUEST_TIMEOUT_FACTOR = 6;

/** Starts a router; resolves once it is listening. */
export async function startDaemon(options: DaemonOptions): Promise<Daemon> {
  const hash = await loadHash();
  const daemon = new RouterDaemon({ ...options, hash });
  await openOrClose(daemon, options);
  return daemon;
}

class RouterDaemon implements Daemon {
  readonly log: Log;
  readonly #settings: Settings;
  readonly #fleetKey: string;
  readonly #hash: Hash;
  readonly #logs: LogFactory;
  readonly #self: Router;
  readonly #incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  readonly #clock: Clock = () => performance.now();
  readonly #lifeCycle: LifeCycle = createLifeCycle();
  readonly #tasks: TaskSystem = createTaskSystem();
  readonly #metrics: Metrics = createMetrics();
  readonly #inFlight = createInFlightCounter();
  readonly #ports: PortBinding;
  #isListening = false;
  readonly #retryBudget = createRetryBudget({ floor: MIN_RETRIES_PER_MINUTE });
  readonly #workspaceLimits = createWorkspaceLimits();
  readonly #client: HttpClient;
  readonly #keyValue: KeyValue;
  /**
   * A second client of the key-value service, for idempotency records; its
   * bytes are counted separately.
   */
  readonly #idempotencyKeyValue: KeyValue;
  readonly #configuration: ConfigurationController;
  readonly #peers: PeersController;
  readonly #pools: PoolsController;
  readonly #directories: DirectoriesController;
  readonly #hosts: HostsController;
  readonly #registry: RegistryController;
  readonly #orders: OrdersController;
  readonly #cacheEvents: CacheEventsController;
  #index = createManifestIndex(undefined);

  constructor(options: DaemonOptions & { hash: Hash }) {
    const { settings } = options;
    const { listen } = settings;
    this.#settings = settings;
    this.#fleetKey = options.fleetKey;
    this.#hash = options.hash;
    this.#logs = options.logs ?? createLogFactory({
      router: settings.router.name,
      ...settings.log,
    });
    this.log = this.#logs("daemon");
    this.#ports = new PortBinding({
      log: this.log,
      clock: this.#clock,
    });
    this.#self = {
      name: settings.router.name,
      failureDomain: settings.router.failureDomain,
      controlAddress: listen.announceControl ?? listen.control,
      forwardAddress: listen.announceForward ?? listen.forward,
    };
    this.#client = createHttpClient({
      connectTimeoutMs: settings.timing.transitMs / 2,
    });
    this.#keyValue = this.#createKeyValue("key-value");
    this.#idempotencyKeyValue = this.#createKeyValue("records");
    const store = createConfigurationStore({ keyValue: this.#keyValue });
    this.#configuration = createConfigurationController({
      keyValue: this.#keyValue,
      store,
      clock: this.#clock,
      log: this.#logs("config"),
      tasks: this.#tasks,
      requestFromPeer: (peer, after) => this.#readFromPeer(peer, after),
      onChange: (configuration, previous) =>
        this.#applyConfiguration(configuration, previous),
    });
    this.#pools = createPoolsController({
      self: this.#self.name,
      hash: this.#hash,
      createPool: (id) => this.#createPool(id),
    });
    this.#peers = this.#createPeers();
    this.#directories = createDirectoriesController({
      pools: this.#pools,
      peers: this.#peers,
    });
    const hostList = createHttpHostList({
      address: settings.platform.hostList,
      onBytes: this.#createByteCounter("host-list"),
    });
    this.#lifeCycle.addCleanup("host list", () => hostList.close());
    this.#hosts = createHostsController({
      hostList,
      log: this.#logs("hosts"),
      tasks: this.#tasks,
    });
    this.#registry = createRegistryController({
      self: this.#self,
      keyValue: this.#keyValue,
      store,
      configuration: this.#configuration,
      clock: this.#clock,
      log: this.#logs("registry"),
      tasks: this.#tasks,
    });
    this.#orders = this.#createOrders();
    this.#cacheEvents = this.#createCacheEvents();
  }

  async open(): Promise<void> {
    const log = this.#logs("daemon");
    this.#reportInvariantBreaches();
    const { callers, forward, control } = this.#settings.listen;
    await this.#openPort("forward", forward, async () => {
      const server = await listenForHttp(forward, {
        limits: this.#getServerLimits(),
        handle: this.#createForwardHandler(),
        onError: (cause) => this.#recordServerError(forward, cause),
      });
      this.#addServerCloser("forward server", server);
    });
    await this.#openPort("control", control, () => this.#peers.open());
    this.#lifeCycle.addCleanup("peers", () => this.#peers.close());
    this.#configuration.open();
    this.#lifeCycle.addCleanup(
      "configuration",
      () => this.#configuration.close(),
    );
    this.#hosts.open();
    this.#lifeCycle.addCleanup("hosts", () => this.#hosts.close());
    this.#registry.open();
    this.#lifeCycle.addCleanup("registry", () => this.#registry.close());
    this.#lifeCycle.addCleanup("pools", () => this.#pools.close());
    this.#directories.open();
    this.#lifeCycle.addCleanup("directories", () => this.#directories.close());
    this.#orders.open();
    this.#lifeCycle.addCleanup("orders", () => this.#orders.close());
    this.#cacheEvents.open();
    this.#lifeCycle.addCleanup("cache events", () => this.#cacheEvents.close());
    await this.#openPort("callers", callers, async () => {
      const server = await listenForHttp(callers, {
        limits: this.#getServerLimits(),
        handle: this.#createCallerHandler(),
        onError: (cause) => this.#recordServerError(callers, cause),
      });
      this.#addServerCloser("caller server", server);
      this.#isListening = true;
    });
    if (!this.#isListening) return;
    log.info("The router is listening.", {
      callers,
      incarnation: this.#incarnation,
      portsWaitedMs: this.#ports.waitedMs,
    });
  }

  countUnhandledError(): void {
    this.#metrics.unhandledErrors.inc();
  }

  /** Releases what is open after a failed start. */
  async abandon(): Promise<void> {
    this.#ports.close();
    await this.#lifeCycle.close();
  }

  /** Ends the wait for ports that are taken. */
  endWait(): void {
    this.#ports.close();
  }

  /** All ports are needed: the owner of a pool is reached by the others. */
  #openPort(
    key: "callers" | "forward" | "control",
    address: string,
    bind: () => Promise<void>,
  ): Promise<void> {
    const setting = `[listen] ${key}`;
    return this.#ports.open({ setting, address, use: "required", bind });
  }

  #recordServerError(address: string, cause: Error): void {
    this.#logs("daemon").warn("A server failed.", {
      address,
      cause: cause.message,
    });
  }

  async stop(): Promise<void> {
    const log = this.#logs("daemon");
    log.info("Graceful stop started.", { inFlight: this.#inFlight.count });
    this.#ports.close();
    this.#peers.announceLeaving(await this.#returnLoans());
    await this.#registry.deregister();
    if (this.#isListening) await sleep(this.#settings.limits.drainMs);
    await this.#inFlight.waitUntilIdle();
    const failures = await this.#lifeCycle.close();
    for (const { name, cause } of failures) {
      log.error("A resource failed to close.", { name, cause: String(cause) });
    }
    await this.#keyValue.close();
    await this.#idempotencyKeyValue.close();
    await this.#client.close();
    this.#tasks.close();
    log.info("The router has stopped.");
  }

  #getServerLimits(): ServerLimits {
    const { maxBodyBytes, maxConnections, headerTimeoutMs } =
      this.#settings.limits;
    return {
      maxBodyBytes,
      maxConnections,
      headerTimeoutMs,
      requestTimeoutMs: headerTimeoutMs * REQUEST_TIMEOUT_FACTOR,
    };
  }

  #addServerCloser(name: string, server: Server): void {
    this.#lifeCycle.addCleanup(name, createServerCloser(server));
  }

  #reportInvariantBreaches(): void {
    const log = this.#logs("invariant");
    Debug.setBreachHandler(({ invariant, message }) => {
      this.#metrics.invariantBreaches.inc({ invariant });
      log.error("An invariant does not hold.", { invariant, detail: message });
    });
  }

  #createByteCounter(kind: string) {
    return (direction: "in" | "out", bytes: number): void => {
      this.#metrics.controlBytes.inc({ kind, direction }, bytes);
    };
  }

  /** `kind` is the label under which the metrics count this client's bytes. */
  #createKeyValue(kind: string): KeyValue {
    const onBytes = this.#createByteCounter(kind);
    const { keyValue } = this.#settings.platform;
    return createFailoverKeyValue(
      keyValue.map((address) => createEtcdKeyValue({ address, onBytes })),
    );
  }

  #createOrders(): OrdersController {
    const { platform: { weightStore: address }, timing } = this.#settings;
    const onBytes = this.#createByteCounter("weights");
    const weightStore = address === undefined
      ? undefined
      : createHttpWeightStore({ address, onBytes });
    this.#lifeCycle.addCleanup("weight store", () => weightStore?.close());
    const shared = {
      keyValue: this.#keyValue,
      clock: this.#clock,
      random: Math.random,
      createId: randomUUID,
    };
    return createOrdersController({
      ...shared,
      self: this.#self.name,
      holder: `${this.#self.name}#${this.#incarnation}`,
      slots: createWeightSlots({ ...shared, weightStore }),
      orders: createUpstreamOrders({
        client: this.#client,
        onBytes: this.#createByteCounter("orders"),
      }),
      times: { transitMs: timing.transitMs },
      log: this.#logs("upstream"),
      tasks: this.#tasks,
      listPools: () => this.#pools.list().map((pool) => pool.summarise()),
      getManifest: () => this.#configuration.current().manifest,
      isLeaving: () => this.#peers.isLeaving(),
    });
  }

  #createCacheEvents(): CacheEventsController {
    return createCacheEventsController({
      self: this.#self.name,
      source: createCacheEventSource({
        client: this.#client,
        onBytes: this.#createByteCounter("cache-events"),
      }),
      clock: this.#clock,
      log: this.#logs("upstream"),
      tasks: this.#tasks,
      listPools: () => this.#pools.list(),
      isEngine: (name) => this.#index.services.get(name)?.kind === "engine",
      hashChat: (chat) => this.#hashChat(chat),
    });
  }

  #createPeers(): PeersController {
    const { timing, fleet, listen } = this.#settings;
    return createPeersController({
      self: this.#self,
      listenAddress: listen.control,
      incarnation: this.#incarnation,
      key: this.#fleetKey,
      seedPeers: fleet.seedPeers,
      heartbeatMs: timing.heartbeatMs,
      livenessMs: timing.livenessMs,
      clock: this.#clock,
      log: this.#logs("peers"),
      tasks: this.#tasks,
      hooks: {
        collectOffers: (peers) => this.#collectOffers(peers),
        onHeartbeat: (heartbeat) => this.#receiveHeartbeat(heartbeat),
        onChats: (params) => this.#directories.receive(params),
        onRequest: (_method, params) => {
          const { after } = params as { after: number };
          const text = this.#configuration.encodeNewerThan(after);
          return Promise.resolve({ text });
        },
        onBytes: this.#createByteCounter("peer"),
        getConfigurationStatus: () => this.#getConfigurationStatus(),
      },
    });
  }

  async #collectOffers(
    peers: readonly string[],
  ): Promise<readonly (readonly PoolOffer[])[]> {
    const byPeer: PoolOffer[][] = peers.map(() => []);
    for (const pool of this.#pools.list()) {
      const offers = await pool.collectOffers(peers);
      offers.forEach((offer, index) => {
        if (offer.lends) byPeer[index]!.push({ pool: pool.id, offer });
      });
    }
    return byPeer;
  }

  #getConfigurationStatus(): ConfigurationStatus {
    const { version, routersVersion } = this.#configuration.current();
    const routersInForceMs = this.#configuration.routersInForceMs();
    return { version, routersVersion, routersInForceMs };
  }

  #returnLoans(): Promise<PoolReturn[]> {
    return Promise.all(
      this.#pools.list().map(async (pool) => ({
        pool: pool.id,
        stamp: await pool.returnLoans(),
      })),
    );
  }

  #receiveHeartbeat(
    { peer, sentAt, configurationStatus, offers, returns }: Heartbeat,
  ): void {
    this.#configuration.recordPeerStatus(peer, configurationStatus);
    for (const pool of this.#pools.list()) {
      const own = offers.find((offer) => offer.pool === pool.id);
      const returned = returns.find((each) => each.pool === pool.id);
      if (returned !== undefined) {
        pool.recordReturnedLoans(peer, returned.stamp);
      }
      pool.receiveHeartbeat(peer, { sentAt, lends: false, ...own?.offer });
    }
  }

  async #readFromPeer(
    peer: string,
    after: number,
  ): Promise<string | undefined> {
    try {
      const answer = await this.#peers.request(peer, {
        method: "config.read",
        params: { after },
        timeoutMs: CONFIG_READ_TIMEOUT_MS,
      }) as { text?: string } | undefined;
      return answer?.text;
    } catch {
      return undefined;
    }
  }

  #applyConfiguration(
    configuration: Configuration,
    previous: Configuration,
  ): void {
    this.#metrics.configurationVersion.set(configuration.version);
    this.#index = createManifestIndex(configuration.manifest);
    this.#workspaceLimits.setRouters(configuration.routers.length);
    const hasGap = hasRoutersGap(configuration, previous);
    this.#pools.configure(configuration, { hasGap });
    const peers = selectPeers(configuration.routers, {
      self: this.#self.name,
      poolPeers: this.#pools.neighbours(),
    });
    this.#peers.setRouters(peers);
  }

  #createPool(id: string) {
    const { timing } = this.#settings;
    return createPoolController({
      id,
      self: this.#self.name,
      incarnation: this.#incarnation,
      timing,
      clock: this.#clock,
      hash: this.#hash,
      random: Math.random,
      placementLog: this.#logs("place"),
      log: this.#logs("pool"),
      metrics: this.#metrics,
      tasks: this.#tasks,
      liveness: this.#peers,
      isInService: (upstream) => this.#isInService(upstream),
      configuration: this.#configuration,
      poll: createLoadPoller({
        client: this.#client,
        onBytes: this.#createByteCounter("poll"),
      }),
    });
  }

  #isInService({ name, host, failureDomain }: Upstream): boolean {
    if (this.#orders.isLoading(name)) return false;
    const { failureDomainsOut, hostsOut } = this.#configuration.current();
    if (failureDomainsOut.includes(failureDomain)) return false;
    if (hostsOut.includes(host)) return false;
    return !this.#hosts.isLeaving(host);
  }

  #createOwnerFilters() {
    return [
      new IdempotencyFilter({
        keyValue: this.#idempotencyKeyValue,
        retention: createRetentionLease({
          keyValue: this.#idempotencyKeyValue,
          clock: this.#clock,
        }),
        router: `${this.#self.name}#${this.#incarnation}`,
        clock: this.#clock,
        log: this.#logs("idempotency"),
        isAlive: (router) => this.#isProcessAlive(router),
      }),
      new UpstreamFilter({
        client: this.#client,
        clock: this.#clock,
        log: this.#logs("upstream"),
        findPool: ({ service, chat }: Exchange) =>
          this.#pools.get(this.#pools.locate(service!, chat).pool),
        tryRetry: () => this.#tryRetry(),
        hashChat: (chat) => this.#hashChat(chat),
      }),
    ];
  }

  /**
   * Whether the process that a record names may still be running.
   *
   * @param router Router name and incarnation, separated by `#`.
   */
  #isProcessAlive(router: string): boolean {
    const [name, incarnation] = router.split("#");
    if (name === this.#self.name) return incarnation === this.#incarnation;
    // A router that is leaving or was briefly unreachable still finishes the
    // calls that it started.
    return this.#peers.getSilenceMs(name!) <= ABANDONED_CALL_TIMEOUT_MS;
  }

  #createLocateFilter(): LocateFilter {
    return new LocateFilter({
      self: this.#self.name,
      pools: this.#pools,
      liveness: this.#peers,
      client: this.#client,
      clock: this.#clock,
      log: this.#logs("route"),
      forwardToken: deriveForwardToken(this.#fleetKey),
      ownerChain: createFilterChain(this.#createOwnerFilters()),
      findRouter: (name) =>
        this.#configuration.current().routers.find((each) =>
          each.name === name
        ),
      findUpstreamAddress: (name) => this.#index.upstreams.get(name)?.address,
      tryRetry: () => this.#tryRetry(),
      recordRequest: () => this.#retryBudget.recordRequest(this.#clock()),
    });
  }

  #tryRetry(): boolean {
    const request = { idempotent: true, tried: [] };
    return this.#retryBudget.tryRetry(request, this.#clock()).kind === "retry";
  }

  #hashChat(chat: string): ChatHash {
    return { hi: this.#hash(chat), lo: this.#hash(`${chat}\u0001`) };
  }

  #createForwardHandler() {
    return createForwardHandler({
      chain: createFilterChain([this.#createLocateFilter()]),
      limits: this.#getServerLimits(),
      clock: this.#clock,
      log: this.#logs("route"),
      token: deriveForwardToken(this.#fleetKey),
      inFlight: this.#inFlight,
      findService: (name) => this.#index.services.get(name),
      findWorkspace: (name) =>
        this.#configuration.current().manifest?.workspaces.find((each) =>
          each.name === name
        ),
    });
  }

  #createCallerHandler() {
    const chain = createFilterChain([
      new WorkspaceFilter({ find: (key) => this.#index.workspaces.get(key) }),
      new RateLimitFilter({
        limits: this.#workspaceLimits,
        clock: this.#clock,
      }),
      new BodyFilter(),
      new ServiceFilter({
        getManifest: () => this.#configuration.current().manifest,
      }),
      new DeadlineFilter(),
      this.#createLocateFilter(),
    ]);
    const handleRequest = createCallerHandler({
      chain,
      limits: this.#getServerLimits(),
      clock: this.#clock,
      log: this.#logs("route"),
      metrics: this.#metrics,
      inFlight: this.#inFlight,
    });
    return createAdminHandler({
      next: handleRequest,
      log: this.log,
      metrics: this.#metrics,
      refreshMetrics: () => this.#refreshMetrics(),
      isReady: () => this.#isReady(),
      getStatus: () => this.#getStatus(),
      explain: (chat) => this.#explain(chat),
    });
  }

  #refreshMetrics(): void {
    const pools = this.#pools.list().map((pool) => pool.summarise());
    setUpstreamGauges(this.#metrics, pools, { owner: this.#self.name });
  }

  async #getStatus(): Promise<RouterStatus> {
    const { values } = await this.#metrics.invariantBreaches.get();
    return renderStatus({
      name: this.#self.name,
      ready: this.#isReady(),
      leaving: this.#peers.isLeaving(),
      configuration: this.#configuration.current(),
      pools: this.#pools.list().map((pool) => pool.summarise()),
      peers: this.#peers.status(),
      breaches: values.reduce((sum, { value }) => sum + value, 0),
    });
  }

  #explain({ chat, ...names }: ChatQuery): Explanation | undefined {
    const service = this.#index.services.get(names.service);
    const { manifest } = this.#configuration.current();
    const isWorkspace = manifest?.workspaces
      .some(({ name }) => name === names.workspace);
    if (service === undefined || !isWorkspace) return undefined;
    const { pool, replicas } = this.#pools.locate(service, chat);
    const owner = replicas.find((each) => this.#peers.isLive(each)) ?? null;
    const explained = this.#pools.getController(pool)?.explain(
      this.#hashChat(scopeChat(names.workspace, chat)),
    );
    const order = (explained?.order ?? []).map((upstream, rank) => ({
      upstream,
      reason: `number ${rank + 1} in rendezvous order`,
    }));
    const home = explained?.home;
    const router = this.#self.name;
    return { router, pool, owner, order, ...(home !== undefined && { home }) };
  }

  #isReady(): boolean {
    const { manifest, routers } = this.#configuration.current();
    if (manifest === undefined || this.#peers.isLeaving()) return false;
    const unconfirmedMs = this.#clock() - this.#configuration.confirmedAt();
    if (unconfirmedMs > this.#settings.timing.holdDownMs) return false;
    return routers.length > 0;
  }
}
