/**
 * Controller of the routing state: follows the metadata store and owns what the
 * router believes of the configuration, the upstreams, the failure domains and
 * its fellow routers.
 */
import type { Log } from "../log.ts";
import type {
  MetadataStore,
  Registration,
  StoreSnapshot,
} from "../platform/metadata_store.ts";
import { ChangeJournal } from "../policy/change_journal.ts";
import { Confirmation } from "../policy/confirmation.ts";
import type { StorePace } from "../policy/poll_pause.ts";
import type { RelayPlan } from "../policy/relay_plan.ts";
import { RouteTable } from "../policy/route_table.ts";
import { UpstreamDirectory } from "../policy/upstream_directory.ts";
import type {
  Instant,
  RoutingConfiguration,
  StoreChange,
  StoreWord,
  UpstreamEntry,
} from "../routing/types.ts";
import type { PlatformFailure } from "../store/key_value.ts";
import type { FetchConfiguration } from "./configuration_relay.ts";
import type { WordKeeper } from "./peer_exchange.ts";
import type { Task, TaskSystem } from "./task.ts";

/** What the router believes; one writer, read in the moment of a decision. */
export interface RoutingView {
  /** The configuration in force; undefined before the first. */
  table(): RouteTable | undefined;
  readonly directory: UpstreamDirectory;
  /** Age of the configuration in milliseconds. */
  ageAt(now: Instant): number;
  /** Whether API keys may still be trusted. */
  isTrustedAt(now: Instant): boolean;
  /** Addresses of the routers of the fleet by name, this one included. */
  routers(): ReadonlyMap<string, string>;
}

/** Follows the store. */
export interface RoutingController extends RoutingView, WordKeeper {
  open(): void;
  close(): Promise<void>;
}

/** Options of the controller. */
export interface RoutingOptions {
  /** What this router says of itself. */
  readonly self: Registration;
  readonly store: MetadataStore;
  readonly now: () => Instant;
  readonly log: Log;
  readonly tasks: TaskSystem;
  /** Bound on the use of a key after it was taken away, in milliseconds. */
  readonly revocationMs: number;
  readonly pace: StorePace;
  readonly plan: RelayPlan;
  readonly fetchConfiguration: FetchConfiguration;
  /** Interval of an upstream's writes, in milliseconds. */
  readonly heartbeatMs: number;
  /** Called after the configuration has changed. */
  readonly onConfiguration?: (configuration: RoutingConfiguration) => void;
  /** Called when an upstream's process is new. */
  readonly onNewUpstream?: (entry: UpstreamEntry) => void;
  /** Called after the number of routers has changed. */
  readonly onRouters?: (count: number) => void;
  /** Called with each call to the store and whether it was answered. */
  readonly onCall?: (isAnswered: boolean) => void;
}

/** Pause after a call that failed, in milliseconds; a few calls fit a bound. */
const RETRY_PAUSE_MS = 250;
/** The same while other routers tell what the store says, in milliseconds. */
const RELAYED_RETRY_PAUSE_MS = 1_000;
/**
 * Changes told in one answer: some 10 KB. Who has missed more reads the store.
 */
const MOST_TOLD_CHANGES = 48;
/** Pause between two renewals, in milliseconds: three before it lapses. */
const RENEWAL_MS = 2_500;
/** Heartbeats after which a domain's upstreams have said whether they are cold. */
const COLD_WORD_HEARTBEATS = 2;

type Message = "poll" | "renew";

class StoreFollower implements RoutingController {
  readonly directory = new UpstreamDirectory();
  readonly #options: RoutingOptions;
  readonly #confirmation: Confirmation;
  readonly #routers = new Map<string, string>();
  /** Bandwidth of the links of the routers' hosts by name, in Mbit/s. */
  readonly #links = new Map<string, number>();
  readonly #poller: Task<Message>;
  readonly #registrar: Task<Message>;
  #table: RouteTable | undefined;
  readonly #journal = new ChangeJournal();
  /** Whether the store holds more than other routers have told. */
  #isBehind = false;
  /** Router that has a newer configuration. */
  #newerAt: string | undefined;
  #revision: number | undefined;
  #lease: string | undefined;
  #isReachable = true;
  #isClosed = false;
  #pollTimer: NodeJS.Timeout | undefined;
  #renewTimer: NodeJS.Timeout | undefined;

  constructor(options: RoutingOptions) {
    this.#options = options;
    const { revocationMs, tasks, log } = options;
    this.#confirmation = new Confirmation({ revocationMs });
    function onFailure(cause: unknown): void {
      log.error("A message failed.", { cause: String(cause) });
    }
    this.#poller = tasks.spawn<Message>("store-poller", {
      handle: () => this.#poll(),
      onFailure,
    });
    this.#registrar = tasks.spawn<Message>("registrar", {
      handle: () => this.#renew(),
      onFailure,
    });
  }

  open(): void {
    this.#poller.send("poll");
    this.#registrar.send("renew");
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    clearTimeout(this.#pollTimer);
    clearTimeout(this.#renewTimer);
    this.#poller.stop();
    this.#registrar.stop();
    if (this.#lease === undefined) return;
    const ended = await this.#options.store.deregister(this.#lease);
    if (ended.ok) return;
    const { message } = ended.val;
    this.#options.log.warn("The registration is left to lapse.", {
      cause: message,
    });
  }

  table(): RouteTable | undefined {
    return this.#table;
  }

  ageAt(now: Instant): number {
    return this.#confirmation.ageAt(now);
  }

  isTrustedAt(now: Instant): boolean {
    return this.#confirmation.isTrustedAt(now);
  }

  routers(): ReadonlyMap<string, string> {
    return this.#routers;
  }

  get revision(): number | undefined {
    return this.#revision;
  }

  getWord(after: number): StoreWord | undefined {
    const now = this.#options.now();
    const { revision } = this.#journal;
    const changes = this.#journal.since(after, now.steady);
    const ageMs = this.ageAt(now);
    if (changes === undefined || changes.length > MOST_TOLD_CHANGES) {
      return undefined;
    }
    if (revision === undefined || !Number.isFinite(ageMs)) return undefined;
    const returnedAt = this.directory.storeReturnedAt;
    return {
      revision,
      changes,
      version: this.#table!.configuration.version,
      ageMs: Math.ceil(ageMs),
      isStoreLost: !this.#isReachable,
      storeBackMs: returnedAt === undefined
        ? undefined
        : Math.floor(now.steady - returnedAt),
    };
  }

  noteBehind(): void {
    if (this.#isBehind) return;
    this.#isBehind = true;
    this.#poller.send("poll");
  }

  takeWord(
    word: StoreWord,
    { sentAt, router }: { sentAt: Instant; router: string },
  ): void {
    const { revision, changes, version, ageMs, storeBackMs } = word;
    const { steady } = this.#options.now();
    if (this.#revision === undefined || this.#table === undefined) return;
    if (storeBackMs !== undefined) {
      this.directory.noteStoreReturnedAt(steady - storeBackMs);
    }
    if (version > this.#table.configuration.version) {
      // Too large to be told with the changes around it, which follow later.
      this.#newerAt = router;
      this.noteBehind();
      return;
    }
    if (revision > this.#revision) {
      for (const change of changes) this.#apply(change);
      this.#advance(revision);
    }
    this.#confirmation.confirm({
      steady: sentAt.steady - ageMs,
      wall: sentAt.wall - ageMs,
    });
  }

  async #poll(): Promise<void> {
    clearTimeout(this.#pollTimer);
    const { plan, pace } = this.#options;
    let pauseMs = plan.isRelay ? this.#getRelayPause() : pace.askMs;
    try {
      if (await this.#fetchNewer()) return;
      if (!this.#needsStore()) return;
      const isAnswered = await this.#readChanges();
      if (!isAnswered) pauseMs = this.#getRetryPause();
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

  /** Others hear of a change later than a relay does. */
  #getRelayPause(): number {
    const { plan, pace } = this.#options;
    const isTelling = this.#routers.size > plan.relays.length + 1;
    return isTelling ? pace.relayPauseMs : pace.pollPauseMs;
  }

  #getRetryPause(): number {
    const { now, pace } = this.#options;
    const isTold = this.#revision !== undefined &&
      this.ageAt(now()) <= pace.ownPollMs;
    return isTold ? RELAYED_RETRY_PAUSE_MS : RETRY_PAUSE_MS;
  }

  #needsStore(): boolean {
    const { plan, pace, now } = this.#options;
    return plan.isRelay || this.#revision === undefined || this.#isBehind ||
      this.ageAt(now()) > pace.ownPollMs;
  }

  /** Takes a newer configuration from the router that has it, if one has. */
  async #fetchNewer(): Promise<boolean> {
    const { fetchConfiguration, log } = this.#options;
    const router = this.#newerAt;
    const address = router && this.#routers.get(router);
    this.#newerAt = undefined;
    if (address === undefined) return false;
    const fetched = await fetchConfiguration(address);
    if (fetched.err) {
      const cause = fetched.val.message;
      log.warn("A router did not pass its configuration.", {
        from: router,
        cause,
      });
      return false;
    }
    this.#takeConfiguration(fetched.val);
    this.#isBehind = false;
    return true;
  }

  /** Notes that all changes up to `revision` are known. */
  #advance(revision: number): void {
    this.#revision = revision;
    this.#journal.advance(revision, this.#options.now().steady);
  }

  /** Reads what is new; false where the store must be asked again soon. */
  async #readChanges(): Promise<boolean> {
    const { store } = this.#options;
    if (this.#revision === undefined) {
      const snapshot = await store.readAll();
      if (snapshot.err) return this.#lost(snapshot.val);
      this.#answered();
      this.#takeSnapshot(snapshot.val);
      return true;
    }
    const poll = await store.poll(this.#revision);
    if (poll.err) return this.#lost(poll.val);
    this.#answered();
    if (poll.val.kind === "compacted") {
      this.#options.log.warn("The store has dropped its history.", {
        revision: this.#revision,
      });
      this.#revision = undefined;
      return false;
    }
    const { changes, revision, sentAt } = poll.val;
    // While the poll was under way another router may have told later changes;
    // only configurations are never told.
    const isOvertaken = revision < this.#revision;
    for (const change of changes) {
      if (isOvertaken && change.kind !== "configuration") continue;
      this.#apply(change);
    }
    if (sentAt !== undefined) {
      if (!isOvertaken) this.#advance(revision);
      this.#isBehind = false;
      this.#confirmation.confirm(sentAt);
      return true;
    }
    // The watch has missed changes: only a snapshot tells them.
    this.#options.log.warn("A poll skipped revisions.", { revision });
    this.#revision = undefined;
    return false;
  }

  #lost(failure: PlatformFailure): false {
    const { log, now, onCall } = this.#options;
    // The end of the client is no loss of the store.
    if (this.#isClosed) return false;
    onCall?.(false);
    this.directory.noteStoreAway();
    if (this.#isReachable) {
      log.warn("The metadata store is lost.", {
        cause: failure.message,
        ageMs: Math.round(this.ageAt(now())),
      });
    }
    this.#isReachable = false;
    return false;
  }

  #answered(): void {
    const { log, now, onCall } = this.#options;
    onCall?.(true);
    this.directory.noteStoreAnswered(now().steady);
    if (!this.#isReachable) {
      log.info("The metadata store is regained.", {
        ageMs: Math.round(this.ageAt(now())),
      });
    }
    this.#isReachable = true;
  }

  #takeSnapshot({ changes, revision, sentAt }: StoreSnapshot): void {
    const { log, now } = this.#options;
    const upstreams = new Set<string>();
    const domainsOut = new Set<string>();
    const routers = new Set<string>();
    for (const change of changes) {
      if (change.kind === "upstream") upstreams.add(change.entry.id);
      if (change.kind === "domain-out") domainsOut.add(change.failureDomain);
      if (change.kind === "router") routers.add(change.name);
      this.#apply(change);
    }
    for (const id of this.directory.retainOnly(upstreams, now().steady)) {
      this.#journal.note({ kind: "upstream-gone", id });
    }
    for (const failureDomain of this.directory.domainsOut) {
      if (domainsOut.has(failureDomain)) continue;
      this.#apply({ kind: "domain-back", failureDomain });
    }
    for (const name of [...this.#routers.keys()]) {
      if (!routers.has(name)) this.#apply({ kind: "router-gone", name });
    }
    this.#advance(revision);
    this.#isBehind = false;
    // A snapshot without a configuration confirms none.
    if (this.#table !== undefined) this.#confirmation.confirm(sentAt);
    log.info("Took a snapshot of the store.", {
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
    switch (change.kind) {
      case "configuration":
        this.#takeConfiguration(change.configuration);
        break;
      case "upstream":
        this.#takeUpstream(change.entry, instant);
        break;
      case "upstream-gone":
        log.info("An upstream's entry is gone.", { upstream: change.id });
        this.directory.remove(change.id, steady);
        this.#journal.note(change);
        break;
      case "domain-out":
        log.info("A failure domain is out of service.", { ...change });
        this.directory.takeOut(change.failureDomain);
        this.#journal.note(change);
        break;
      case "domain-back":
        log.info("A failure domain is back in service.", { ...change });
        this.#bringBack(change.failureDomain, steady);
        this.#journal.note(change);
        break;
      case "router":
        this.#routers.set(change.name, change.address);
        this.#links.set(change.name, change.linkMbps);
        this.#routersChanged(change);
        break;
      case "router-gone":
        if (change.name !== self.name) this.#routers.delete(change.name);
        this.#links.delete(change.name);
        this.#routersChanged(change);
        break;
      case "unreadable":
        log.warn("An item of the store can't be read.", { ...change });
        break;
    }
  }

  #routersChanged(change: StoreChange): void {
    const { plan, onRouters } = this.#options;
    this.#journal.note(change);
    plan.setRouters(
      [...this.#links].map(([name, linkMbps]) => ({ name, linkMbps })),
    );
    onRouters?.(this.#routers.size);
  }

  #takeConfiguration(configuration: RoutingConfiguration): void {
    const previous = this.#table?.configuration.version;
    if (previous !== undefined && configuration.version <= previous) return;
    this.#table = new RouteTable(configuration);
    this.#options.log.info("A configuration is in force.", {
      version: configuration.version,
      previous,
      routes: configuration.routes.length,
    });
    this.#options.onConfiguration?.(configuration);
  }

  #takeUpstream(entry: UpstreamEntry, now: Instant): void {
    const { log, onNewUpstream } = this.#options;
    const previous = this.directory.find(entry.id)?.entry;
    if (this.directory.isChange(entry, now)) {
      this.#journal.note({ kind: "upstream", entry });
    }
    const isNew = this.directory.put(entry, now);
    if (isNew) onNewUpstream?.(entry);
    const isCold = entry.coldLeftMs > 0;
    const wasCold = (previous?.coldLeftMs ?? 0) > 0;
    if (!isNew && previous?.state === entry.state && isCold === wasCold) return;
    log.info("An upstream has changed.", {
      upstream: entry.id,
      service: entry.service,
      failureDomain: entry.failureDomain,
      state: entry.state,
      coldLeftMs: entry.coldLeftMs,
      bornAt: entry.bornAt,
    });
  }

  /** Its upstreams may be cold, which their next heartbeat says. */
  #bringBack(failureDomain: string, now: number): void {
    this.directory.bringBack(failureDomain);
    const until = now + COLD_WORD_HEARTBEATS * this.#options.heartbeatMs;
    this.directory.noteDomainRestarted(failureDomain, until);
  }

  async #renew(): Promise<void> {
    const { store, self, log } = this.#options;
    try {
      if (this.#lease !== undefined) {
        const renewed = await store.renew(this.#lease);
        if (renewed.err) return this.#registrationFailed(renewed.val);
        if (renewed.val) return;
        log.warn("The registration has lapsed.", { lease: this.#lease });
        this.#lease = undefined;
      }
      const registered = await store.register(self);
      if (registered.err) return this.#registrationFailed(registered.val);
      this.#lease = registered.val;
    } finally {
      if (!this.#isClosed) {
        this.#renewTimer = setTimeout(
          () => this.#registrar.send("renew"),
          RENEWAL_MS,
        );
      }
    }
  }

  #registrationFailed({ message }: PlatformFailure): void {
    // The end of the client is no refusal of the store.
    if (this.#isClosed) return;
    this.#options.log.warn("The registration failed.", { cause: message });
  }
}

/** Creates the controller; `open` starts it. */
export function createRoutingController(
  options: RoutingOptions,
): RoutingController {
  return new StoreFollower(options);
}
