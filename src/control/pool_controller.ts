/**
 * Controller of one pool: chooses an upstream for each request, admits the
 * request within this router's capacity share of that upstream, and queues
 * requests for which there is no capacity.
 */
import { randomUUID } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import type { Service, Upstream } from "../config/manifest.ts";
import type { Log } from "../log.ts";
import type { Metrics } from "../daemon/metrics.ts";
import {
  createRefusal,
  type DiagnosticCode,
  type Refusal,
} from "../diagnostics.ts";
import {
  type CapacityShares,
  createCapacityShares,
} from "../policy/capacity_shares.ts";
import type { ChatHash } from "../policy/chat_directory.ts";
import type { ChatChange } from "../policy/directory_changes.ts";
import {
  createLoans,
  type Heartbeat,
  type Loans,
  type Offer,
  type ProcessTimestamp,
} from "../policy/loans.ts";
import { place, type Placement } from "../policy/placement.ts";
import { type Hash, rankByRendezvous } from "../policy/rendezvous.ts";
import type { LoadReport } from "../types.ts";
import type { AcquireRequest, AttemptOutcome, Grant, Pool } from "./pool.ts";
import { PoolChats } from "./pool_chats.ts";
import type {
  Evictions,
  PoolConfiguration,
  PoolMessage,
  Reply,
} from "./pool_messages.ts";
import { PoolQueue, type QueuedRequest } from "./pool_queue.ts";
import type { PoolSummary } from "./pool_summary.ts";
import { createCandidate, createPoolView, type PoolView } from "./pool_view.ts";
import type { Task, TaskSystem } from "./task.ts";
import {
  applyManifestEntry,
  createFirstByteModel,
  createUpstreamState,
  estimateFirstByteMs,
  recordAttemptTimes,
  recordFirstByte,
  recordReport,
  type UpstreamState,
} from "./upstream_state.ts";
import type { Clock, ConfigurationView, LivenessView } from "./views.ts";

/** Time bounds of a pool, in milliseconds. */
export interface PoolTiming {
  /** Duration of a loan. */
  readonly loanMs: number;
  /** Maximum drift between two clocks during a loan or a report's age. */
  readonly driftMs: number;
  /** Maximum time from the admission of a request to its arrival upstream. */
  readonly transitMs: number;
  /** Time for which a share of a new configuration is held down. */
  readonly holdDownMs: number;
}

/** Options of a pool's controller. */
export interface PoolOptions {
  readonly id: string;
  /** Name of this router. */
  readonly self: string;
  /** Unique id of this process. */
  readonly incarnation: string;
  readonly timing: PoolTiming;
  readonly clock: Clock;
  readonly hash: Hash;
  readonly random: () => number;
  /** Receives one entry per placement. */
  readonly placementLog: Log;
  /** Receives the events of the pool and its upstreams. */
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tasks: TaskSystem;
  readonly liveness: LivenessView;
  /** Whether requests may be sent to an upstream; read at each decision. */
  isInService(upstream: Upstream): boolean;
  readonly configuration: ConfigurationView;
  /** Requests a load report; undefined if the upstream does not answer. */
  poll(upstream: Upstream): Promise<LoadReport | undefined>;
}

/** The controller of a pool. */
export interface PoolController extends Pool {
  /** Applies a configuration of the pool. */
  configure(service: Service, options: PoolConfiguration): void;
  /** Creates the loan offers of this pool to `peers`, in the same order. */
  collectOffers(peers: readonly string[]): Promise<readonly Offer[]>;
  /** Processes the loan offer in a heartbeat of `peer`. */
  receiveHeartbeat(peer: string, heartbeat: Heartbeat): void;
  /** Returns every borrowed rank before a planned stop. */
  returnLoans(): Promise<ProcessTimestamp>;
  /** Records that `peer` has returned its loans up to `stamp`. */
  recordReturnedLoans(peer: string, stamp: ProcessTimestamp): void;
  /** Removes chats from the directory that an upstream reports as evicted. */
  noteEvictions(upstream: string, evictions: Evictions): void;
  /** Removes and returns directory changes to send to the other replicas. */
  takeChanges(): Promise<readonly ChatChange[]>;
  /** Applies directory changes received from another replica. */
  receiveChanges(changes: readonly ChatChange[]): void;
  /** Names of the other routers that may own the pool. */
  peers(): readonly string[];
  /** Returns the state of the pool and its upstreams for operators. */
  summarise(): PoolSummary;
  /** The chat's home and the order in which upstreams are tried for it. */
  explain(chat: ChatHash): {
    home: string | undefined;
    order: readonly string[];
  };
  close(): void;
}

const TICK_MS = 100;
/** Time since the last report or poll after which an upstream is polled. */
const IDLE_POLL_MS = 4_000;
/** Poll interval while a newer report could increase the capacity share. */
const NEEDED_POLL_MS = 250;

/** Creates the controller of a pool; admits no request until configured. */
export function createPoolController(options: PoolOptions): PoolController {
  return new SharedPool(options);
}

class SharedPool implements PoolController {
  readonly id: string;
  readonly #options: PoolOptions;
  readonly #task: Task<PoolMessage>;
  readonly #loans: Loans;
  readonly #shares: CapacityShares;
  readonly #chats: PoolChats;
  readonly #queue: PoolQueue;
  readonly #upstreams = new Map<string, UpstreamState>();
  readonly #upstreamsByIndex: UpstreamState[] = [];
  readonly #firstByteModel = createFirstByteModel();
  readonly #timer: NodeJS.Timeout;
  #service: Service | undefined;
  #replicas: readonly string[] = [];
  #lastOwner: string | undefined;
  #lastLoggedRanks = "";
  #isClosed = false;

  constructor(options: PoolOptions) {
    const { timing, clock, hash } = options;
    this.id = options.id;
    this.#options = options;
    this.#loans = createLoans({
      self: options.self,
      incarnation: options.incarnation,
      startedAt: clock(),
      loanMs: timing.loanMs,
      driftMs: timing.driftMs,
    });
    this.#shares = createCapacityShares({
      loans: this.#loans,
      hash,
      transitMs: timing.transitMs,
      driftMs: timing.driftMs,
      holdDownMs: timing.holdDownMs,
      maxConfirmationAgeMs: timing.holdDownMs - timing.driftMs,
    });
    this.#chats = new PoolChats(this.#upstreams);
    this.#queue = new PoolQueue(this.id, options.random);
    this.#task = options.tasks.spawn<PoolMessage>(
      `pool-${toTaskName(this.id)}`,
      {
        handle: (message) => this.#handle(message),
        onFailure: (cause) => {
          const detail = cause instanceof Error ? cause.stack : String(cause);
          options.log.error("A message failed.", { pool: this.id, detail });
        },
      },
    );
    this.#timer = setInterval(() => this.#send({ kind: "tick" }), TICK_MS);
  }

  acquire(request: AcquireRequest): Promise<Result<Grant, Refusal>> {
    return new Promise((resolve) => {
      if (this.#isClosed) {
        resolve(
          Err(createRefusal("not-ready", "The pool is closing.")),
        );
        return;
      }
      request.signal.addEventListener("abort", () => {
        this.#send({ kind: "cancel", id: request.requestId });
      }, { once: true });
      this.#send({ kind: "acquire", request, reply: resolve });
    });
  }

  isUsable(grant: Grant): boolean {
    const now = this.#options.clock();
    if (now > grant.sendBy || now >= grant.request.deadlineAt) return false;
    return this.#isInService(this.#upstreams.get(grant.upstream.name));
  }

  release(grant: Grant, end: AttemptOutcome): void {
    this.#send({ kind: "release", grant, end });
  }

  recordReport(upstream: string, report: LoadReport, askedAt: number): void {
    this.#send({ kind: "report", upstream, report, askedAt, isPoll: false });
  }

  configure(service: Service, options: PoolConfiguration): void {
    this.#send({ kind: "configure", service, options });
  }

  collectOffers(peers: readonly string[]): Promise<readonly Offer[]> {
    if (this.#isClosed) return Promise.resolve(peers.map(() => NO_OFFER));
    return new Promise((reply) => {
      this.#send({ kind: "offers", peers, reply });
    });
  }

  receiveHeartbeat(peer: string, heartbeat: Heartbeat): void {
    this.#send({ kind: "heartbeat", peer, heartbeat });
  }

  returnLoans(): Promise<ProcessTimestamp> {
    return new Promise((reply) => this.#send({ kind: "return", reply }));
  }

  takeChanges(): Promise<readonly ChatChange[]> {
    if (this.#isClosed) return Promise.resolve([]);
    return new Promise((reply) => this.#send({ kind: "take-changes", reply }));
  }

  receiveChanges(changes: readonly ChatChange[]): void {
    this.#send({ kind: "changes", changes });
  }

  peers(): readonly string[] {
    return this.#replicas.filter((name) => name !== this.#options.self);
  }

  recordReturnedLoans(peer: string, stamp: ProcessTimestamp): void {
    this.#send({ kind: "returned", peer, stamp });
  }

  noteEvictions(upstream: string, evictions: Evictions): void {
    this.#send({ kind: "evictions", upstream, evictions });
  }

  summarise(): PoolSummary {
    const now = this.#options.clock();
    const view = this.#readView(now);
    const states = [...this.#upstreams.values()].filter((each) =>
      each.isInManifest
    );
    return {
      id: this.id,
      service: this.#service?.name ?? "",
      replicas: this.#replicas,
      owner: this.#findOwner(),
      heldRanks: this.#loans.getHeldRanks(now).map(({ replica }) => replica),
      queued: this.#queue.length,
      chats: this.#chats.size,
      upstreams: states.map((state) => {
        const { name } = state.upstream;
        const upstreamView = view.upstreams.get(name);
        return {
          upstream: state.upstream,
          isInService: this.#isInService(state),
          isLeaving: state.isLeaving,
          isCold: state.coldStart.isCold(now),
          incarnation: state.incarnation,
          answers: state.answers,
          inFlight: this.#shares.estimateInFlight(name, now),
          limit: upstreamView?.limit ?? 0,
          room: upstreamView?.room ?? 0,
          reportAgeMs: now - state.reportedAt,
        };
      }),
    };
  }

  explain(chat: ChatHash) {
    return {
      home: this.#chats.findHome(chat),
      order: this.#getUpstreamOrder(chat).map(({ upstream }) => upstream.name),
    };
  }

  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.#queue.refuseAll(
      createRefusal("not-ready", "The router is stopping."),
    );
    this.#task.stop();
  }

  #send(message: PoolMessage): void {
    if (!this.#isClosed) this.#task.send(message);
  }

  #handle(message: PoolMessage): void {
    switch (message.kind) {
      case "acquire":
        this.#acquire(message.request, message.reply);
        break;
      case "cancel":
        this.#queue.cancel(message.id);
        break;
      case "release":
        this.#release(message.grant, message.end);
        break;
      case "report":
        this.#recordReport(message);
        break;
      case "offers":
        message.reply(this.#createOffers(message.peers));
        break;
      case "heartbeat":
        this.#receiveHeartbeat(message.peer, message.heartbeat);
        break;
      case "evictions":
        this.#chats.removeEvicted(message.upstream, message.evictions);
        break;
      case "configure":
        this.#configure(message.service, message.options);
        break;
      case "return":
        message.reply(this.#loans.returnAll(this.#options.clock()));
        break;
      case "returned":
        this.#loans.recordReturn(
          message.peer,
          message.stamp,
          this.#options.clock(),
        );
        break;
      case "take-changes":
        message.reply(this.#chats.takeChanges());
        break;
      case "changes":
        this.#chats.applyChanges(message.changes, this.#options.clock());
        break;
      case "tick":
        this.#tick();
        break;
    }
  }

  #acquire(
    request: AcquireRequest,
    reply: Reply,
  ): void {
    const now = this.#options.clock();
    if (request.signal.aborted) {
      reply(Err(createRefusal("deadline-passed", "The caller has gone.")));
      return;
    }
    const waiting = {
      request,
      reply,
      since: now,
      order: this.#getUpstreamOrder(request.chat),
    };
    const view = this.#readView(now);
    const placement = this.#place(waiting, view);
    if (placement.kind === "refuse") {
      reply(Err(this.#createRefusal(placement.code)));
      return;
    }
    // Queued requests are admitted before a new one.
    if (placement.kind === "place" && this.#queue.length === 0) {
      this.#admit(waiting, placement, view);
      return;
    }
    this.#queue.add(waiting, now);
    this.#admitQueued();
  }

  #createRefusal(code: DiagnosticCode): Refusal {
    const detail = `No upstream of ${this.id} is in service.`;
    if (code === "no-capacity") return createRefusal(code, detail);
    return createRefusal(code, "The deadline has passed.");
  }

  /** Admits queued requests in order while there is capacity. */
  #admitQueued(): void {
    const now = this.#options.clock();
    this.#queue.expire(now);
    while (this.#queue.length > 0) {
      const view = this.#readView(now);
      if (view.upstreams.size === 0) {
        this.#queue.refuseAll(this.#createRefusal("no-capacity"));
        return;
      }
      // Most calls return here, so their cost doesn't grow with the queue.
      if (!view.hasRoom) return;
      const next = this.#takeNextPlaceable(view);
      if (next === undefined) return;
      this.#admit(next.waiting, next.placement, view);
    }
  }

  /**
   * Takes the first queued request that can be placed, and refuses those before
   * it that can never be placed.
   */
  #takeNextPlaceable(view: PoolView) {
    let placement: Placement | undefined;
    const refused: [QueuedRequest, DiagnosticCode][] = [];
    const waiting = this.#queue.takeNext(view.now, (each) => {
      placement = this.#place(each, view);
      if (placement.kind === "refuse") refused.push([each, placement.code]);
      return placement.kind === "place";
    });
    for (const [each, code] of refused) {
      this.#queue.refuse(each.request.requestId, this.#createRefusal(code));
    }
    if (waiting === undefined || placement?.kind !== "place") return undefined;
    return { waiting, placement };
  }

  #place({ request, since, order }: QueuedRequest, view: PoolView): Placement {
    const { now } = view;
    const home = request.chat && this.#chats.get(request.chat);
    return place(
      {
        chat: request.chat,
        promptTokens: request.promptTokens,
        home,
        now,
        deadline: request.deadlineAt,
        waitedMs: now - since,
      },
      order.map((state) => createCandidate(state, { request, view })),
    );
  }

  #getUpstreamOrder(chat: ChatHash | undefined): UpstreamState[] {
    const listed = [...this.#upstreams.values()].filter((each) =>
      each.isInManifest
    );
    if (chat === undefined) return listed;
    const names = listed.map(({ upstream }) => upstream.name);
    const { hash } = this.#options;
    const ranked = rankByRendezvous(`${chat.hi}:${chat.lo}`, names, { hash });
    return ranked.map((name) => this.#upstreams.get(name)!);
  }

  #readView(now: number): PoolView {
    const states = [...this.#upstreams.values()]
      .filter((state) => this.#isInService(state));
    return createPoolView(states, { shares: this.#shares, now });
  }

  #isInService(state: UpstreamState | undefined): boolean {
    if (state === undefined || !state.isInManifest || state.isLeaving) {
      return false;
    }
    return this.#options.isInService(state.upstream);
  }

  #admit(
    waiting: QueuedRequest,
    placement: Placement & { kind: "place" },
    { now, upstreams }: PoolView,
  ): void {
    const { request, reply, since } = waiting;
    const state = this.#upstreamsByIndex[placement.upstream]!;
    const { upstream, service } = state;
    const upstreamView = upstreams.get(upstream.name);
    const hasBegun = upstreamView !== undefined &&
      this.#shares.tryBegin(upstream.name, upstreamView.capacityLimit, now);
    if (!hasBegun) {
      this.#queue.add(waiting, now);
      return;
    }
    const { placementLog, metrics, timing } = this.#options;
    const grant: Grant = {
      attemptId: randomUUID(),
      pool: this.id,
      service,
      upstream,
      beganAt: now,
      sendBy: now + timing.transitMs / 2,
      request,
      utilisation: (upstreamView.inFlight + 1) /
        (upstreamView.inFlight + upstreamView.remainingShare),
    };
    placementLog.info("Placed a request.", {
      requestId: request.requestId,
      attemptId: grant.attemptId,
      upstream: upstream.name,
      reason: placement.reason,
      inFlight: this.#shares.estimateInFlight(upstream.name, now),
      limit: upstreamView.limit,
      waitedMs: Math.round(now - since),
    });
    metrics.placements.inc({ service: service.name, reason: placement.reason });
    metrics.queueSeconds.observe(
      { service: service.name },
      (now - since) / 1_000,
    );
    reply(Ok(grant));
  }

  #release(grant: Grant, end: AttemptOutcome): void {
    const { clock, metrics } = this.#options;
    const now = clock();
    const { name } = grant.upstream;
    metrics.attempts.inc({ service: grant.service.name, fate: end.fate });
    if (end.fate === "unclear") {
      this.#shares.recordAbandoned(name, grant.beganAt);
    } else this.#shares.recordEnd(name, grant.beganAt);
    const state = this.#upstreams.get(name);
    if (state !== undefined) this.#recordAttempt(state, { grant, end, now });
    this.#admitQueued();
  }

  #recordAttempt(
    state: UpstreamState,
    { grant, end, now }: { grant: Grant; end: AttemptOutcome; now: number },
  ): void {
    const promptTokens = end.promptTokens ?? 0;
    const cachedTokens = end.cachedTokens ?? 0;
    const computedTokens = promptTokens - cachedTokens;
    const { firstByteMs } = end;
    state.coldStart.recordAttempt({
      ok: end.isOk,
      firstByteMs,
      poolFirstByteMs: estimateFirstByteMs(
        this.#firstByteModel,
        computedTokens,
      ),
      incarnation: end.isOk ? state.incarnation : undefined,
      utilisation: grant.utilisation,
    }, now);
    if (end.fate !== "finished" || !end.isOk) return;
    state.answers++;
    if (firstByteMs !== undefined) {
      recordFirstByte(this.#firstByteModel, { firstByteMs, computedTokens });
    }
    recordAttemptTimes(state, {
      totalMs: now - grant.beganAt,
      firstByteMs,
      computedTokens,
    });
    const { metrics } = this.#options;
    const service = grant.service.name;
    metrics.promptTokens.inc({ service }, promptTokens);
    metrics.cachedTokens.inc({ service }, cachedTokens);
    const { chat } = grant.request;
    if (chat === undefined || promptTokens === 0) return;
    this.#chats.recordServedChat(chat, { state, tokens: promptTokens, now });
  }

  #recordReport(message: PoolMessage & { kind: "report" }): void {
    const state = this.#upstreams.get(message.upstream);
    if (state === undefined) return;
    if (message.isPoll) state.isPollOutstanding = false;
    const { report, askedAt } = message;
    if (report === undefined) return;
    const now = this.#options.clock();
    const wasLeaving = state.isLeaving;
    const hasNewIncarnation = recordReport(state, report, { askedAt, now });
    if (hasNewIncarnation) {
      this.#chats.removeUpstream(state);
      this.#options.log.warn("Upstream has a new incarnation.", {
        upstream: message.upstream,
      });
    }
    if (state.isLeaving && !wasLeaving) {
      this.#options.log.info("Upstream has begun a graceful stop.", {
        upstream: message.upstream,
      });
    }
    this.#shares.recordReport(message.upstream, report, askedAt);
    this.#admitQueued();
  }

  #findOwner(): string | undefined {
    return this.#replicas.find((name) => this.#options.liveness.isLive(name));
  }

  #createOffers(peers: readonly string[]): readonly Offer[] {
    const now = this.#options.clock();
    this.#loans.setOwner(this.#findOwner());
    return peers.map((peer) =>
      this.#replicas.includes(peer)
        ? this.#loans.createOffer(peer, now)
        : NO_OFFER
    );
  }

  #receiveHeartbeat(peer: string, heartbeat: Heartbeat): void {
    if (!this.#replicas.includes(peer)) return;
    this.#loans.receive(peer, heartbeat, this.#options.clock());
    this.#admitQueued();
  }

  #configure(
    service: Service,
    { upstreams, replicas, hasGap }: PoolConfiguration,
  ): void {
    const now = this.#options.clock();
    this.#service = service;
    this.#queue.setLimit(service.queueLimit);
    this.#replicas = replicas;
    this.#setReplicas(now, hasGap);
    for (const state of this.#upstreams.values()) state.isInManifest = false;
    for (const upstream of upstreams) {
      this.#addOrUpdateUpstream(service, upstream);
    }
    this.#admitQueued();
  }

  /** Sets the replicas and for how long the set has been in force anywhere. */
  #setReplicas(now: number, afterGap = false): void {
    const inForceMs = this.#options.configuration.routersInForceMs();
    const replicas = [...this.#replicas].sort();
    this.#shares.setReplicas(replicas, now, { inForceMs, afterGap });
  }

  #addOrUpdateUpstream(service: Service, upstream: Upstream): void {
    const state = this.#upstreams.get(upstream.name);
    if (state !== undefined) {
      applyManifestEntry(state, { service, upstream });
      return;
    }
    const index = this.#upstreamsByIndex.length;
    const created = createUpstreamState(service, upstream, { index });
    this.#upstreams.set(upstream.name, created);
    this.#upstreamsByIndex.push(created);
  }

  /**
   * When this router stops being the owner, marks the whole directory as
   * changed, so that it is sent to the new owner.
   */
  #queueDirectoryForNewOwner(): void {
    const owner = this.#findOwner();
    const { self, log } = this.#options;
    const wasOwner = this.#lastOwner === self;
    this.#lastOwner = owner;
    if (!wasOwner || owner === self || owner === undefined) return;
    const chats = this.#chats.markAllChanged();
    log.info("Sending the chat directory to the new owner.", {
      pool: this.id,
      owner,
      chats,
    });
  }

  #tick(): void {
    const now = this.#options.clock();
    this.#queueDirectoryForNewOwner();
    this.#shares.confirm(this.#options.configuration.confirmedAt());
    this.#setReplicas(now);
    const ranks = this.#loans.getHeldRanks(now).map(({ replica }) => replica);
    this.#logRanks(ranks);
    // Without a rank no request can be admitted. Gaining the first one causes
    // a poll.
    if (ranks.length > 0) {
      for (const state of this.#upstreams.values()) this.#pollIfDue(state, now);
    }
    this.#admitQueued();
    if (ranks.length === 0) this.#refuseQueuedForOwner();
  }

  /**
   * Refuses queued requests with `no-owner`, so that they are forwarded to the
   * owner. A router that lends its rank and has borrowed none gets no capacity
   * for them.
   */
  #refuseQueuedForOwner(): void {
    const owner = this.#findOwner();
    if (owner === undefined || owner === this.#options.self) return;
    const detail = `${owner} owns ${this.id} now.`;
    this.#queue.refuseAll(createRefusal("no-owner", detail));
  }

  /** Logs a change of the ranks that this router holds. */
  #logRanks(held: readonly string[]): void {
    const ranks = [...held].sort();
    const text = ranks.join(", ");
    if (text === this.#lastLoggedRanks) return;
    this.#lastLoggedRanks = text;
    const owner = this.#findOwner();
    this.#options.log.info("Held ranks changed.", {
      pool: this.id,
      ranks,
      owner,
    });
  }

  #pollIfDue(state: UpstreamState, now: number): void {
    if (!state.isInManifest || state.isPollOutstanding) return;
    const interval = this.#needsReport(state, now)
      ? NEEDED_POLL_MS
      : IDLE_POLL_MS;
    const lastReportOrPollAt = Math.max(state.reportedAt, state.polledAt);
    if (now - lastReportOrPollAt < interval) return;
    state.isPollOutstanding = true;
    state.polledAt = now;
    const { name } = state.upstream;
    void this.#options.poll(state.upstream).then((report) => {
      this.#send({
        kind: "report",
        upstream: name,
        report,
        askedAt: now,
        isPoll: true,
      });
    });
  }

  /** Whether a newer report could increase this router's capacity share. */
  #needsReport({ upstream }: UpstreamState, now: number): boolean {
    return this.#shares.getForeignBound(upstream.name, now) > 0;
  }
}

const NO_OFFER: Offer = { lends: false };

/** Returns the id as a task name, which must not contain a slash. */
function toTaskName(id: string): string {
  return id.replaceAll("/", "-");
}
