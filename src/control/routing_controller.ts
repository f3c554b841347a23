/**
 * Routing controller: follows the metadata store, directly or through other
 * routers, and owns the routing state: the configuration, the upstreams, the
 * failure domains and the routers of the fleet.
 */
import type { Log } from "../log.ts";
import type {
  MetadataStore,
  Registration,
  StoreSnapshot,
} from "../platform/metadata_store.ts";
import { ChangeJournal } from "../policy/change_journal.ts";
import { Confirmation } from "../policy/confirmation.ts";
import { FullReadPace } from "../policy/full_read_pace.ts";
import { getRetryPause } from "../policy/outage_poll.ts";
import type { StorePollIntervals } from "../policy/poll_pause.ts";
import type { RelayPlan } from "../policy/relay_plan.ts";
import { chooseStartPeers } from "../policy/start_peers.ts";
import { getStartWait } from "../policy/start_wait.ts";
import { RouteTable } from "../policy/route_table.ts";
import { UpstreamDirectory } from "../policy/upstream_directory.ts";
import type {
  Instant,
  RoutingConfiguration,
  StoreChange,
  StoreUpdate,
  UpstreamEntry,
} from "../routing/types.ts";
import type { PlatformFailure } from "../store/key_value.ts";
import type { ConfigurationRead } from "../platform/store_reader.ts";
import type { FetchConfiguration } from "./configuration_relay.ts";
import { HeldItems, type StoreGaps } from "./held_items.ts";
import type { SharedRoutingState } from "./peer_exchange.ts";
import {
  isRolloutChange,
  type RolloutChange,
  RolloutItems,
} from "./rollout_items.ts";
import type { Task, TaskSystem } from "./task.ts";
import { VersionRecorder } from "./version_recorder.ts";
import { ViewConfirmation } from "./view_confirmation.ts";

/**
 * Read-only view of the routing state, which has a single writer. Read it again
 * for each decision.
 */
export interface RoutingView {
  /** Route table of the configuration in force; undefined before the first. */
  table(): RouteTable | undefined;
  readonly directory: UpstreamDirectory;
  /**
   * Time since the configuration was last confirmed as current, in
   * milliseconds; infinite before the first confirmation.
   */
  ageAt(now: Instant): number;
  /**
   * Time since all changes in the store were last known, in milliseconds;
   * infinite before that. The configuration may be confirmed later, by itself.
   */
  getChangesAgeMs(): number;
  /**
   * Time since the store last confirmed the view of the upstreams, in
   * milliseconds; infinite while state that it has lost stays in use, and while
   * the view may lack some of the store's.
   */
  getViewAgeMs(): number;
  /** Whether the configuration is recent enough to accept its API keys. */
  isTrustedAt(now: Instant): boolean;
  /** Items of the store that are not in use here. */
  getStoreGaps(): StoreGaps;
  /** Whether the store holds a configuration that can't be used at all. */
  readonly isConfigurationRejected: boolean;
  /** Peer addresses of the fleet's routers by name, this one included. */
  routers(): ReadonlyMap<string, string>;
  /**
   * Resolves with whether the view of the upstreams holds all that the store had
   * accepted when this was called; false if that can't be found out soon.
   */
  confirmView(): Promise<boolean>;
}

/** Keeps the routing state up to date and this router registered. */
export interface RoutingController extends RoutingView, SharedRoutingState {
  open(): void;
  /**
   * Waits for the first configuration on behalf of a request with `remainingMs`
   * milliseconds left. Returns undefined if it does not arrive in the time that
   * such a request may wait, or as soon as the store is lost.
   */
  awaitTable(remainingMs: number): Promise<RouteTable | undefined>;
  /** Stops and removes this router's registration from the store. */
  close(): Promise<void>;
}

/** Follows the orders and records of rollouts, and writes the records. */
export interface RolloutStore {
  receive(change: RolloutChange): void;
  /** Records that the store has returned to an older copy of its state. */
  recordStoreRestored(): void;
  /**
   * Writes what the records lack. `rank` is the number of relays before this one;
   * it is called after each read of the store that succeeded.
   */
  writeChanges(rank: number): Promise<void>;
}

/** Options of `createRoutingController`. */
export interface RoutingOptions {
  /** Registration of this router. */
  readonly self: Registration;
  readonly store: MetadataStore;
  readonly now: () => Instant;
  readonly log: Log;
  readonly tasks: TaskSystem;
  /** Maximum time for which a revoked API key is still accepted, in ms. */
  readonly revocationMs: number;
  readonly pace: StorePollIntervals;
  readonly plan: RelayPlan;
  readonly fetchConfiguration: FetchConfiguration;
  /** Interval at which an upstream writes its entry, in milliseconds. */
  readonly heartbeatMs: number;
  /** Uniform in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
  /** Rollouts of software versions; their changes are passed on without it. */
  readonly rollouts?: RolloutStore;
  /** Called after the configuration has changed. */
  readonly onConfiguration?: (configuration: RoutingConfiguration) => void;
  /** Called when the process of an upstream is new. */
  readonly onNewUpstream?: (entry: UpstreamEntry) => void;
  /** Called after the number of routers has changed. */
  readonly onRouters?: (count: number) => void;
  /** Called after each read of the store with whether it succeeded. */
  readonly onCall?: (isAnswered: boolean) => void;
}

/**
 * Limits a response to about 10 KB. A router that has missed more changes reads
 * the store.
 */
const MAX_SENT_CHANGES = 48;
/**
 * Most changes between two revisions that are passed on of services that no
 * configuration names; a follower asks for those of two revisions at a time.
 */
const MAX_PASSED_OTHERS = 16;
/**
 * Time for which state that the store has lost by returning to a copy stays in
 * use, in milliseconds. The platform states no time within which the operators
 * write it again; this is the shortest bound on taking a failure domain out.
 */
const RESTORED_MS = 5_000;
/**
 * Age of the configuration above which it is read alone, in milliseconds; half of
 * the shortest bound on applying one.
 */
const CONFIGURATION_INTERVAL_MS = 1_000;
/** Allows three renewals before the registration expires. */
const RENEWAL_INTERVAL_MS = 2_500;
/**
 * Heartbeats within which the upstreams of a returned failure domain report
 * whether they are cold.
 */
const COLD_REPORT_HEARTBEATS = 2;

type Message = "poll" | "renew";

/** A configuration of the store that can't be used. */
interface Rejection {
  /** The store has held it at this revision. */
  readonly revision: number;
  /** Version of the configuration in force when it was read. */
  readonly version: number;
}

class StoreRoutingController implements RoutingController {
  readonly directory = new UpstreamDirectory();
  readonly #options: RoutingOptions;
  /** Confirms the configuration and the view. */
  readonly #confirmation: Confirmation;
  /** Confirms the configuration alone. */
  readonly #configurationConfirmation: Confirmation;
  readonly #fullReads = new FullReadPace();
  readonly #items: HeldItems;
  /**
   * Set while the store holds a configuration that can't be used at all. The one
   * before it may hold revoked keys, and is confirmed no more.
   */
  #rejection: Rejection | undefined;
  /** Configuration of a read that is not in force, or not yet. */
  #offered: RoutingConfiguration | undefined;
  readonly #routers = new Map<string, string>();
  /** Bandwidth of the host's link by router name, in Mbit/s. */
  readonly #linkMbps = new Map<string, number>();
  readonly #poller: Task<Message>;
  readonly #registrar: Task<Message>;
  readonly #versions: VersionRecorder;
  readonly #viewConfirmation: ViewConfirmation;
  #hasSnapshot = false;
  #table: RouteTable | undefined;
  /** Resolves the requests that wait for the first configuration. */
  readonly #tableWaiters = new Set<() => void>();
  #journal = new ChangeJournal();
  /** Entries of services without a route in the journal since its revision. */
  #passedOthers = 0;
  /** Whether the journal lacks such entries. */
  #hasUnpassedOthers = false;
  /** Era of the store; undefined before its first answer. */
  #era: number | undefined;
  /** Era in which other routers were asked for a newer configuration. */
  #askedEra = 0;
  /** Monotonic time until which lost state stays in use, in milliseconds. */
  #restoredUntil = -Infinity;
  /** Failure domains out of service that the store has lost. */
  readonly #keptDomainsOut = new Set<string>();
  readonly #rolloutItems = new RolloutItems();
  /** Routers whose registrations the store has lost. */
  readonly #keptRouters = new Set<string>();
  /** Whether the store holds changes that other routers did not pass on. */
  #hasMissedChanges = false;
  /** Whether the last poll brought only a part of the changes. */
  #isBehind = false;
  /** Name of a router that has a newer configuration. */
  #newerConfigurationRouter: string | undefined;
  #revision: number | undefined;
  #lease: string | undefined;
  #isStoreReachable = true;
  /** Whether the router that sent the latest update has lost the store. */
  #isStoreLostToRelay = false;
  #isClosed = false;
  /** The latest registration or renewal; its failure is logged by its task. */
  #registration: Promise<void> = Promise.resolve();
  #pollTimer: NodeJS.Timeout | undefined;
  #renewTimer: NodeJS.Timeout | undefined;

  constructor(options: RoutingOptions) {
    this.#options = options;
    const { revocationMs, tasks, log } = options;
    this.#items = new HeldItems({
      isRouter: (name) => this.#routers.has(name) || name === options.self.name,
      log,
    });
    this.#versions = new VersionRecorder({
      ...options,
      isNamed: (service) => this.#items.isNamed(service),
      directory: this.directory,
    });
    this.#confirmation = new Confirmation({ revocationMs });
    this.#configurationConfirmation = new Confirmation({ revocationMs });
    this.#viewConfirmation = new ViewConfirmation({
      store: {
        readVersions: () =>
          options.store.readVersions({ room: this.#items.createRoom() }),
      },
      clock: () => options.now().steady,
      hasRevision: (revision, era) =>
        era === this.#era && this.#revision !== undefined &&
        this.#revision >= revision,
      onBehind: () => this.recordMissedChanges(),
      onVersions: (record) =>
        this.directory.recordVersions(record, options.now()),
    });
    function onFailure(cause: unknown): void {
      log.error("A message failed.", { cause: String(cause) });
    }
    this.#poller = tasks.spawn<Message>("store-poller", {
      handle: () => this.#poll(),
      onFailure,
    });
    this.#registrar = tasks.spawn<Message>("registrar", {
      handle: () => this.#registration = this.#renew(),
      onFailure,
    });
  }

  open(): void {
    this.#poller.send("poll");
    this.#registrar.send("renew");
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#endTableWaits();
    this.#viewConfirmation.close();
    clearTimeout(this.#pollTimer);
    clearTimeout(this.#renewTimer);
    this.#poller.stop();
    this.#registrar.stop();
    // Otherwise a registration in progress would outlive the router.
    await this.#registration.catch(() => {});
    if (this.#lease === undefined) return;
    const ended = await this.#options.store.deregister(this.#lease);
    if (ended.ok) return;
    const { message } = ended.val;
    this.#options.log.warn(
      "Deregistration failed; the registration expires with its lease.",
      { cause: message },
    );
  }

  table(): RouteTable | undefined {
    return this.#table;
  }

  async awaitTable(remainingMs: number): Promise<RouteTable | undefined> {
    const waitMs = getStartWait({
      isStoreLost: !this.#isStoreReachable,
      remainingMs,
    });
    if (this.#table === undefined && !this.#isClosed && waitMs > 0) {
      await this.#awaitTableChange(waitMs);
    }
    return this.#table;
  }

  /** Resolves when the wait for the first configuration ends. */
  #awaitTableChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiters = this.#tableWaiters;
      const timer = setTimeout(finish, timeoutMs);
      function finish(): void {
        clearTimeout(timer);
        waiters.delete(finish);
        resolve();
      }
      waiters.add(finish);
    });
  }

  #endTableWaits(): void {
    for (const finish of [...this.#tableWaiters]) finish();
  }

  ageAt(now: Instant): number {
    return Math.min(
      this.#confirmation.ageAt(now),
      this.#configurationConfirmation.ageAt(now),
    );
  }

  getChangesAgeMs(): number {
    return this.#confirmation.ageAt(this.#options.now());
  }

  getViewAgeMs(): number {
    // Entries of a copy may be those of earlier processes.
    return this.#isRestoring() || this.#items.isViewPartial
      ? Infinity
      : this.getChangesAgeMs();
  }

  isTrustedAt(now: Instant): boolean {
    return this.#confirmation.isTrustedAt(now) ||
      this.#configurationConfirmation.isTrustedAt(now);
  }

  getStoreGaps(): StoreGaps {
    return this.#items.gaps;
  }

  get isConfigurationRejected(): boolean {
    return this.#rejection !== undefined;
  }

  async confirmView(): Promise<boolean> {
    const isStoreLost = !this.#isStoreReachable &&
      this.getChangesAgeMs() > this.#options.pace.ownPollMs;
    if (isStoreLost || !await this.#viewConfirmation.confirm()) return false;
    // A copy that the store has returned to may lack upstreams.
    return !this.#isRestoring() && !this.#items.isViewPartial;
  }

  routers(): ReadonlyMap<string, string> {
    return this.#routers;
  }

  get revision(): number | undefined {
    return this.#revision;
  }

  get era(): number {
    return this.#era ?? 0;
  }

  getStoreUpdate(after: number, era: number): StoreUpdate | undefined {
    if (era !== this.era || this.#revision === undefined) return undefined;
    const table = this.#table;
    // Other routers have to read the configuration that is rejected here.
    if (table === undefined || this.#rejection !== undefined) return undefined;
    const now = this.#options.now();
    const { revision } = this.#journal;
    const changes = this.#journal.getChangesSince(after, now.steady);
    const ageMs = this.getChangesAgeMs();
    if (changes === undefined || changes.length > MAX_SENT_CHANGES) {
      return undefined;
    }
    if (revision === undefined || !Number.isFinite(ageMs)) return undefined;
    const returnedAt = this.directory.storeRecoveredAt;
    return {
      era,
      revision,
      changes,
      version: table.configuration.version,
      ageMs: Math.ceil(ageMs),
      isStoreLost: !this.#isStoreReachable,
      ...(this.#hasUnpassedOthers && { lacksOthers: true }),
      storeBackMs: returnedAt === undefined
        ? undefined
        : Math.floor(now.steady - returnedAt),
    };
  }

  recordMissedChanges(): void {
    if (this.#hasMissedChanges) return;
    this.#hasMissedChanges = true;
    this.#poller.send("poll");
  }

  receiveStoreUpdate(
    update: StoreUpdate,
    { sentAt, router }: { sentAt: Instant; router: string },
  ): void {
    const { revision, changes, version, ageMs, storeBackMs } = update;
    const { steady } = this.#options.now();
    this.#isStoreLostToRelay = update.isStoreLost;
    if (update.lacksOthers) {
      this.#hasUnpassedOthers = true;
      this.#items.recordLeftOut();
    }
    if ((update.era ?? 0) !== this.era) {
      // Revisions of different eras can't be compared; the store is read.
      this.recordMissedChanges();
      return;
    }
    if (this.#revision === undefined || this.#table === undefined) return;
    if (storeBackMs !== undefined) {
      this.directory.recordStoreRecoveredAt(steady - storeBackMs);
    }
    if (version > this.#table.configuration.version) {
      // A configuration is too large for an update and is fetched separately;
      // the changes of this update follow in a later one.
      this.#newerConfigurationRouter = router;
      this.recordMissedChanges();
      return;
    }
    if (revision > this.#revision) {
      for (const change of changes) this.#apply(change);
      this.#advanceRevision(revision);
    }
    this.#endRejectionBefore({ revision, version });
    this.#confirm({
      steady: sentAt.steady - ageMs,
      wall: sentAt.wall - ageMs,
    });
  }

  /**
   * Records that the store holds a configuration that can't be used, at
   * `revision` or, without it, at the revision that is followed.
   */
  #recordRejection(revision = 0): void {
    const version = this.#table?.configuration.version ?? -Infinity;
    this.#rejection = { revision, version };
  }

  /**
   * Ends the rejection of a configuration if another router has used a newer one
   * than was in force before it, at a later revision.
   */
  #endRejectionBefore(
    { revision, version }: Pick<StoreUpdate, "revision" | "version">,
  ): void {
    const rejection = this.#rejection;
    if (rejection === undefined || version <= rejection.version) return;
    if (revision < Math.max(rejection.revision, this.#revision ?? 0)) return;
    this.#rejection = undefined;
  }

  /** Confirms the configuration and the view as of `sentAt`. */
  #confirm(sentAt: Instant): void {
    if (this.#rejection === undefined) this.#confirmation.confirm(sentAt);
  }

  async #poll(): Promise<void> {
    clearTimeout(this.#pollTimer);
    const { plan, pace } = this.#options;
    let pauseMs = plan.isRelay ? this.#getRelayPauseMs() : pace.askMs;
    try {
      this.#releaseKeptState();
      this.directory.prune(this.#options.now().steady);
      if (await this.#fetchNewerConfiguration()) return;
      if (!this.#isStoreReadNeeded()) return;
      const isAnswered = await this.#readChanges();
      if (!isAnswered) pauseMs = this.#getRetryPauseMs();
      else {
        if (this.#isBehind) pauseMs = 0;
        await this.#writeRecords();
      }
    } finally {
      clearTimeout(this.#pollTimer);
      if (!this.#isClosed) {
        this.#pollTimer = setTimeout(
          () => this.#poller.send("poll"),
          pauseMs,
        );
      }
    }
  }

  /**
   * Returns the pause between two polls. It is shorter where routers depend on
   * this relay, because they receive a change later than the relay does.
   */
  #getRelayPauseMs(): number {
    const { plan, pace } = this.#options;
    const hasFollowers = this.#routers.size > plan.relays.length + 1;
    return hasFollowers ? pace.relayPauseMs : pace.pollPauseMs;
  }

  #getRetryPauseMs(): number {
    const { pace, plan, random = Math.random } = this.#options;
    return getRetryPause({
      isRelay: plan.isRelay,
      isRelayed: this.#revision !== undefined &&
        this.getChangesAgeMs() <= pace.ownPollMs,
      isLostToRelay: this.#isStoreLostToRelay,
      routers: this.#routers.size,
      random,
    });
  }

  #isStoreReadNeeded(): boolean {
    const { plan, pace, now } = this.#options;
    const { steady } = now();
    return plan.isRelay || this.#revision === undefined ||
      this.#isFullReadNeeded() && this.#fullReads.isDue(steady) ||
      this.#hasMissedChanges ||
      this.getChangesAgeMs() > pace.ownPollMs;
  }

  /**
   * Fetches a newer configuration from the router that announced one. Returns
   * whether it was fetched.
   */
  async #fetchNewerConfiguration(): Promise<boolean> {
    const { fetchConfiguration, log } = this.#options;
    const router = this.#newerConfigurationRouter;
    const address = router && this.#routers.get(router);
    this.#newerConfigurationRouter = undefined;
    if (address === undefined) return false;
    const fetched = await fetchConfiguration(address);
    if (fetched.err) {
      const cause = fetched.val.message;
      log.warn("Fetching a configuration from a router failed.", {
        from: router,
        cause,
      });
      return false;
    }
    if (fetched.val === undefined) return false;
    this.#applyConfiguration(fetched.val);
    this.#hasMissedChanges = false;
    return true;
  }

  /**
   * Asks other routers for a configuration that is newer than that of a first
   * snapshot of an era, which may be of an older copy.
   */
  async #fetchLostConfigurations(
    { changes, era }: Pick<StoreSnapshot, "changes" | "era">,
  ): Promise<RoutingConfiguration[]> {
    const { self, random = Math.random } = this.#options;
    if (era === this.#askedEra) return [];
    this.#askedEra = era;
    const addresses = new Map(this.#routers);
    let newerThan = this.#table?.configuration.version;
    for (const change of changes) {
      if (change.kind === "router") addresses.set(change.name, change.address);
      if (change.kind === "configuration") {
        newerThan = Math.max(newerThan ?? 0, change.configuration.version);
      }
    }
    const peers = chooseStartPeers([...addresses.keys()], {
      era,
      self: self.name,
      random,
    });
    const fetched = await Promise.all(
      peers.map((name) =>
        this.#fetchFromPeer(name, {
          address: addresses.get(name)!,
          newerThan,
        })
      ),
    );
    return fetched.filter((each) => each !== undefined);
  }

  async #fetchFromPeer(
    from: string,
    { address, newerThan }: { address: string; newerThan: number | undefined },
  ): Promise<RoutingConfiguration | undefined> {
    const { fetchConfiguration, log } = this.#options;
    const fetched = await fetchConfiguration(address, { newerThan });
    if (fetched.err) {
      log.info("A router was asked for a newer configuration in vain.", {
        from,
        cause: fetched.val.message,
      });
      return undefined;
    }
    return fetched.val;
  }

  /** Records that all changes up to `revision` are known. */
  #advanceRevision(revision: number): void {
    this.#revision = revision;
    this.#journal.advance(revision, this.#options.now().steady);
    this.#passedOthers = 0;
    this.#viewConfirmation.recordAdvance();
  }

  /**
   * Reads new changes from the store. Returns false if the store must be read
   * again soon.
   */
  async #readChanges(): Promise<boolean> {
    const { store, now } = this.#options;
    if (this.#isFullReadNeeded() && this.#fullReads.isDue(now().steady)) {
      return await this.#readStore();
    }
    if (this.#revision === undefined) {
      await this.#confirmConfiguration();
      return false;
    }
    const poll = await store.poll(this.#revision);
    if (poll.err) return this.#recordStoreFailure(poll.val);
    this.#recordStoreAnswer();
    if (poll.val.kind === "compacted") {
      this.#options.log.warn("The store has compacted its history.", {
        revision: this.#revision,
      });
      this.#revision = undefined;
      return false;
    }
    if (poll.val.kind === "too-large") {
      this.#options.log.warn("The store's changes exceed one answer.", {
        revision: this.#revision,
        cause: poll.val.cause,
      });
      this.#revision = undefined;
      return false;
    }
    const { changes, revision, sentAt, era, isPartial } = poll.val;
    this.#isBehind = isPartial;
    if (era !== this.#era) {
      if (era < this.era) {
        this.#options.log.warn("Ignoring an answer of an earlier era.", {
          era,
          current: this.#era,
        });
        return false;
      }
      this.#beginEra(era);
      return await this.#readChanges();
    }
    // Another router may have sent later changes during the poll. Updates never
    // contain configurations, so those are still applied.
    const isOutdated = revision < this.#revision;
    for (const change of changes) {
      if (isOutdated && change.kind !== "configuration") continue;
      // It was written after the poll before this one.
      this.#apply(
        change.kind === "rollout-order" ? { ...change, ageMs: 0 } : change,
      );
    }
    if (sentAt !== undefined) {
      if (!isOutdated) this.#advanceRevision(revision);
      this.#hasMissedChanges = false;
      this.#confirm(sentAt);
      return true;
    }
    if (isPartial) {
      if (!isOutdated) this.#advanceRevision(revision);
      await this.#confirmConfiguration();
      return true;
    }
    // The watch has missed changes; only a snapshot holds their result.
    this.#options.log.warn("A poll skipped revisions.", { revision });
    this.#revision = undefined;
    return false;
  }

  /** Whether the known state can only be completed by a read of all items. */
  #isFullReadNeeded(): boolean {
    return this.#revision === undefined || this.#items.isReadNeeded;
  }

  /** Reads all items; returns false if the store must be read again soon. */
  async #readStore(): Promise<boolean> {
    const { store, now } = this.#options;
    const startedAt = now().steady;
    const room = this.#items.createRoom();
    let first: ConfigurationRead | undefined;
    const snapshot = await store.readAll({
      room,
      onConfiguration: (read) => {
        first ??= read;
        this.#receiveConfiguration(read);
      },
    });
    if (snapshot.err) {
      const { isTooLarge, message } = snapshot.val;
      const isHeld = isTooLarge && first !== undefined &&
        await this.#goOnWithout(first, message);
      return isHeld || this.#recordStoreFailure(snapshot.val);
    }
    this.#recordStoreAnswer();
    const lost = await this.#fetchLostConfigurations(snapshot.val);
    for (const each of lost) this.#applyConfiguration(each);
    this.#items.recordRead(room, snapshot.val.unused);
    this.#applySnapshot(snapshot.val);
    this.#fullReads.recordRead({ startedAt, now: now().steady });
    return true;
  }

  /**
   * Goes on with the known state and follows later changes, since the items of
   * the store exceed the room. `read` is the configuration at the begin of the
   * read that failed. Returns false if that is not possible.
   */
  async #goOnWithout(
    read: ConfigurationRead,
    cause: string,
  ): Promise<boolean> {
    const { log, now } = this.#options;
    const { configuration, revision, era } = read;
    this.#fullReads.recordOverflow(now().steady);
    if (era !== (this.#era ?? era)) return false;
    this.#era = era;
    this.#recordStoreAnswer();
    const changes = configuration === undefined
      ? []
      : [{ kind: "configuration" as const, configuration }];
    const lost = await this.#fetchLostConfigurations({ changes, era });
    for (const each of lost) this.#applyConfiguration(each);
    this.#items.isViewPartial = true;
    this.#receiveConfiguration(read);
    log.error("The store exceeds the room; the known state stays in use.", {
      cause,
      revision,
      upstreams: this.directory.size,
      version: this.#table?.configuration.version,
    });
    if (this.#revision !== undefined) return true;
    // Changes between the last known revision and this one are missing.
    this.#journal = new ChangeJournal();
    this.#advanceRevision(revision);
    return true;
  }

  /**
   * Reads the configuration alone if it was not confirmed lately, so that keys
   * are accepted and revoked in time while the store's changes are not followed.
   */
  async #confirmConfiguration(): Promise<void> {
    const { now, store } = this.#options;
    if (this.ageAt(now()) < CONFIGURATION_INTERVAL_MS) return;
    const read = await store.readConfiguration();
    if (read.err) this.#recordStoreFailure(read.val);
    else this.#receiveConfiguration(read.val);
  }

  #receiveConfiguration(
    { configuration, isRejected, revision, era, sentAt }: ConfigurationRead,
  ): void {
    if (isRejected) this.#recordRejection(revision);
    if (configuration === undefined) return;
    this.#rejection = undefined;
    this.#offered = configuration;
    this.#recordNamedServices();
    // A router that knows no upstreams yet is not ready.
    if (!this.#hasSnapshot && !this.#items.isViewPartial) return;
    // An older copy may lack configurations that other routers know.
    if (era !== (this.#era ?? era) || era !== this.#askedEra) return;
    this.#applyConfiguration(configuration);
    this.#configurationConfirmation.confirm(sentAt);
    this.#endTableWaits();
  }

  async #writeRecords(): Promise<void> {
    const { plan, self, rollouts } = this.#options;
    if (!plan.isRelay) return;
    const before = plan.relays.filter((relay) => relay < self.name);
    await rollouts?.writeChanges(before.length);
    await this.#versions.writeChanges(before.length);
  }

  #recordStoreFailure(failure: PlatformFailure): false {
    const { log, now, onCall } = this.#options;
    // Closing the client fails pending calls; the store is not lost.
    if (this.#isClosed) return false;
    onCall?.(false);
    this.directory.recordStoreUnavailable();
    if (this.#isStoreReachable) {
      log.warn("The metadata store is lost.", {
        cause: failure.message,
        ageMs: Math.round(this.ageAt(now())),
      });
    }
    this.#isStoreReachable = false;
    this.#endTableWaits();
    return false;
  }

  #recordStoreAnswer(): void {
    const { log, now, onCall } = this.#options;
    onCall?.(true);
    this.directory.recordStoreAnswered(now().steady);
    if (!this.#isStoreReachable) {
      log.info("The metadata store is regained.", {
        ageMs: Math.round(this.ageAt(now())),
      });
    }
    this.#isStoreReachable = true;
  }

  /**
   * Discards the revision and the journal, because the store has returned to an
   * older copy and gives out the same revisions again. The known state stays in
   * use until the operators and the upstreams have written it again. Registers
   * this router again, since its lease may be lost.
   */
  #beginEra(era: number): void {
    const { log, now } = this.#options;
    const { steady } = now();
    log.warn("The store has returned to an older copy of its state.", {
      era,
      previous: this.#era,
      revision: this.#revision,
    });
    this.#era = era;
    this.#revision = undefined;
    this.#newerConfigurationRouter = undefined;
    this.#journal = new ChangeJournal();
    this.#restoredUntil = steady + RESTORED_MS;
    this.directory.recordStoreRestored(steady);
    this.#versions.forget();
    this.#rolloutItems.beginEra();
    this.#options.rollouts?.recordStoreRestored();
    this.#lease = undefined;
    this.#registrar.send("renew");
  }

  /** Whether state that the store has lost stays in use. */
  #isRestoring(): boolean {
    return this.#options.now().steady < this.#restoredUntil;
  }

  /** Drops the lost state that was not written again in time. */
  #releaseKeptState(): void {
    if (this.#isRestoring()) return;
    for (const failureDomain of [...this.#keptDomainsOut]) {
      this.#apply({ kind: "domain-back", failureDomain });
    }
    for (const name of [...this.#keptRouters]) {
      this.#apply({ kind: "router-gone", name });
    }
    for (const change of this.#rolloutItems.listKept()) this.#apply(change);
  }

  #applySnapshot({ changes, revision, sentAt, era }: StoreSnapshot): void {
    const { log, now } = this.#options;
    if (this.#era === undefined) this.#era = era;
    else if (era > this.#era) this.#beginEra(era);
    const upstreams = new Set<string>();
    const domainsOut = new Set<string>();
    const routers = new Set<string>();
    for (const change of changes) {
      if (change.kind === "upstream") upstreams.add(change.entry.id);
      if (change.kind === "domain-out") domainsOut.add(change.failureDomain);
      if (change.kind === "router") routers.add(change.name);
      this.#apply(change);
    }
    // A registration from before a restart outlasts it.
    const isFirst = !this.#hasSnapshot && !routers.has(this.#options.self.name);
    if (isFirst) this.directory.recordFirstStart();
    this.#hasSnapshot = true;
    for (const id of this.directory.retainOnly(upstreams, now().steady)) {
      this.#journal.recordChange({ kind: "upstream-gone", id });
    }
    for (const failureDomain of this.directory.domainsOut) {
      if (domainsOut.has(failureDomain)) continue;
      if (this.#isRestoring()) this.#keptDomainsOut.add(failureDomain);
      else this.#apply({ kind: "domain-back", failureDomain });
    }
    for (const name of [...this.#routers.keys()]) {
      if (routers.has(name)) continue;
      if (this.#isRestoring()) this.#keptRouters.add(name);
      else this.#apply({ kind: "router-gone", name });
    }
    const isKept = this.#isRestoring();
    for (const change of this.#rolloutItems.listMissing(changes, { isKept })) {
      this.#apply(change);
    }
    this.#offered = undefined;
    this.#advanceRevision(revision);
    this.#hasMissedChanges = false;
    // A snapshot without a configuration can't confirm one.
    if (this.#table !== undefined) this.#confirm(sentAt);
    this.#endTableWaits();
    log.info("Applied a snapshot of the store.", {
      revision,
      upstreams: upstreams.size,
      routers: routers.size,
      version: this.#table?.configuration.version,
    });
  }

  #apply(change: StoreChange): void {
    const { log, now, self } = this.#options;
    const instant = now();
    const { steady } = instant;
    if (!this.#items.makeRoom(change)) {
      // Its earlier value is no longer valid.
      if (change.kind !== "upstream") return;
      change = { kind: "upstream-gone", id: change.entry.id };
    }
    if (isRolloutChange(change)) return this.#applyRollout(change);
    switch (change.kind) {
      case "configuration":
        this.#rejection = undefined;
        this.#applyConfiguration(change.configuration);
        break;
      case "upstream":
        this.#applyUpstream(change.entry, instant);
        break;
      case "upstream-gone":
        // An entry that is not valid is gone with each of its heartbeats.
        if (this.directory.find(change.id) === undefined) break;
        this.#logRemoval(change.id);
        this.directory.remove(change.id, steady);
        this.#journal.recordChange(change);
        break;
      case "domain-out":
        log.info("A failure domain is out of service.", { ...change });
        this.#keptDomainsOut.delete(change.failureDomain);
        this.directory.takeOut(change.failureDomain);
        this.#journal.recordChange(change);
        break;
      case "domain-back":
        log.info("A failure domain is back in service.", { ...change });
        this.#keptDomainsOut.delete(change.failureDomain);
        this.#restoreFailureDomain(change.failureDomain, steady);
        this.#journal.recordChange(change);
        break;
      case "router":
        this.#keptRouters.delete(change.name);
        this.#routers.set(change.name, change.address);
        this.#linkMbps.set(change.name, change.linkMbps);
        this.#recordRouterChange(change);
        break;
      case "router-gone":
        if (!this.#linkMbps.has(change.name)) break;
        this.#keptRouters.delete(change.name);
        if (change.name !== self.name) this.#routers.delete(change.name);
        this.#linkMbps.delete(change.name);
        this.#recordRouterChange(change);
        break;
      case "versions":
        this.#versions.receive(change.record);
        break;
      case "unreadable":
        if (change.isConfiguration) this.#recordRejection();
        if (change.isRepeated) break;
        log.warn("Ignoring an invalid item of the store.", { ...change });
        break;
    }
  }

  #logRemoval(id: string): void {
    const service = this.directory.find(id)?.entry.service;
    if (service === undefined || !this.#items.isNamed(service)) return;
    const fields = { upstream: id };
    this.#options.log.info("An upstream's entry was removed.", fields);
  }

  #applyRollout(change: RolloutChange): void {
    if (!this.#rolloutItems.record(change)) return;
    this.#journal.recordChange(change);
    // An order for a service that no configuration names moves nothing.
    const isFollowed = change.kind.endsWith("-gone") ||
      this.#items.isNeeded(change);
    if (isFollowed) this.#options.rollouts?.receive(change);
  }

  #recordRouterChange(change: StoreChange): void {
    const { plan, onRouters } = this.#options;
    this.#journal.recordChange(change);
    plan.setRouters(
      [...this.#linkMbps].map(([name, linkMbps]) => ({ name, linkMbps })),
    );
    onRouters?.(this.#routers.size);
  }

  #applyConfiguration(configuration: RoutingConfiguration): void {
    const previous = this.#table?.configuration.version;
    if (previous !== undefined && configuration.version <= previous) return;
    this.#table = new RouteTable(configuration);
    this.#recordNamedServices();
    this.#options.log.info("A configuration is in force.", {
      version: configuration.version,
      previous,
      routes: configuration.routes.length,
      faults: configuration.faults?.count,
    });
    for (const fault of configuration.faults?.described ?? []) {
      this.#options.log.warn(
        "A part of the configuration is not used as it was written.",
        { version: configuration.version, fault },
      );
    }
    this.#options.onConfiguration?.(configuration);
  }

  /** Records which services the configurations name. */
  #recordNamedServices(): void {
    const configurations = [this.#table?.configuration, this.#offered];
    const added = this.#items.recordConfigurations(
      configurations.filter((each) => each !== undefined),
    );
    for (const change of this.#rolloutItems.listOf(added)) {
      this.#options.rollouts?.receive(change);
    }
  }

  /**
   * Records a change of an entry for the routers that follow this one. Only some
   * are passed on of services that no configuration names: many of them would
   * exceed a message, so that each router reads the store itself.
   */
  #passOnUpstream(entry: UpstreamEntry): void {
    if (
      this.#items.isNamed(entry.service) ||
      ++this.#passedOthers <= MAX_PASSED_OTHERS
    ) this.#journal.recordChange({ kind: "upstream", entry });
    else this.#hasUnpassedOthers = true;
  }

  #applyUpstream(entry: UpstreamEntry, now: Instant): void {
    const { log, onNewUpstream } = this.#options;
    const previous = this.directory.find(entry.id)?.entry;
    if (this.directory.isChange(entry, now)) this.#passOnUpstream(entry);
    const isNew = this.directory.recordEntry(entry, now);
    if (isNew) onNewUpstream?.(entry);
    if (!this.#items.isNamed(entry.service)) return;
    const isCold = entry.coldLeftMs > 0;
    const wasCold = (previous?.coldLeftMs ?? 0) > 0;
    if (!isNew && previous?.state === entry.state && isCold === wasCold) return;
    log.info("An upstream has changed.", {
      upstream: entry.id,
      service: entry.service,
      failureDomain: entry.failureDomain,
      state: entry.state,
      coldLeftMs: entry.coldLeftMs,
      softwareVersion: entry.softwareVersion,
      bornAt: entry.bornAt,
    });
  }

  /**
   * Puts a failure domain back in service. Its upstreams may be cold, so they
   * are treated as cold until their heartbeats have had time to report it.
   */
  #restoreFailureDomain(failureDomain: string, now: number): void {
    this.directory.bringBack(failureDomain);
    const coldMs = COLD_REPORT_HEARTBEATS * this.#options.heartbeatMs;
    this.directory.recordDomainRestarted(failureDomain, { coldMs, now });
  }

  async #renew(): Promise<void> {
    const { store, self, log } = this.#options;
    clearTimeout(this.#renewTimer);
    try {
      if (this.#lease !== undefined) {
        const renewed = await store.renew(this.#lease);
        if (renewed.err) return this.#logRegistrationFailure(renewed.val);
        if (renewed.val) return;
        log.warn("The registration has expired.", { lease: this.#lease });
        this.#lease = undefined;
      }
      const registered = await store.register(self);
      if (registered.err) return this.#logRegistrationFailure(registered.val);
      this.#lease = registered.val;
    } finally {
      if (!this.#isClosed) {
        this.#renewTimer = setTimeout(
          () => this.#registrar.send("renew"),
          RENEWAL_INTERVAL_MS,
        );
      }
    }
  }

  #logRegistrationFailure({ message }: PlatformFailure): void {
    // Closing the client fails pending calls; the store refused nothing.
    if (this.#isClosed) return;
    this.#options.log.warn("The registration failed.", { cause: message });
  }
}

/** Creates a routing controller. Call `open` to start it. */
export function createRoutingController(
  options: RoutingOptions,
): RoutingController {
  return new StoreRoutingController(options);
}
