/**
 * Controller of one pool: admits requests to its upstreams within this router's
 * capacity shares, queues what has no room and places what has.
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
  type Stamp,
} from "../policy/loans.ts";
import { place, type Placement } from "../policy/placement.ts";
import { type Hash, rankByRendezvous } from "../policy/rendezvous.ts";
import type { LoadReport } from "../types.ts";
import type { AcquireRequest, AttemptEnd, Grant, Pool } from "./pool.ts";
import { PoolChats } from "./pool_chats.ts";
import type {
  Evictions,
  PoolConfiguration,
  PoolMessage,
  Reply,
} from "./pool_messages.ts";
import { PoolQueue, type Waiting } from "./pool_queue.ts";
import type { PoolSummary } from "./pool_summary.ts";
import { type PoolView, readPoolView, toCandidate } from "./pool_view.ts";
import type { Task, TaskSystem } from "./task.ts";
import {
  createFirstByteModel,
  createUpstreamState,
  describe,
  estimateFirstByteMs,
  noteFirstByte,
  noteReport,
  noteTimes,
  type UpstreamState,
} from "./upstream_state.ts";
import type { Clock, ConfigurationView, LivenessView } from "./views.ts";

/** Times that a pool goes by, in milliseconds. */
export interface PoolTiming {
  readonly loanMs: number;
  readonly driftMs: number;
  readonly transitMs: number;
  readonly holdDownMs: number;
}

/** Options of a pool's controller. */
export interface PoolOptions {
  readonly id: string;
  readonly self: string;
  readonly incarnation: string;
  readonly timing: PoolTiming;
  readonly clock: Clock;
  readonly hash: Hash;
  readonly random: () => number;
  /** Takes a line for each placement. */
  readonly placementLog: Log;
  /** Takes what happens to the pool and its upstreams. */
  readonly log: Log;
  readonly metrics: Metrics;
  readonly tasks: TaskSystem;
  readonly liveness: LivenessView;
  /** The last word on whether work may be sent to an upstream. */
  isInService(upstream: Upstream): boolean;
  readonly configuration: ConfigurationView;
  /** Asks an upstream for its load; undefined if it does not answer. */
  poll(upstream: Upstream): Promise<LoadReport | undefined>;
}

/** The controller of a pool. */
export interface PoolController extends Pool {
  configure(service: Service, options: PoolConfiguration): void;
  /** Makes the offers of this pool to `peers`, in the same order. */
  collectOffers(peers: readonly string[]): Promise<readonly Offer[]>;
  receive(peer: string, heartbeat: Heartbeat): void;
  /** Gives up every borrowed rank ahead of a planned stop. */
  returnLoans(): Promise<Stamp>;
  /** Notes that `peer` gave up its loans. */
  noteReturned(peer: string, stamp: Stamp): void;
  /** Corrects the directory by the word of an upstream. */
  noteEvictions(upstream: string, evictions: Evictions): void;
  /** Takes changes of the directory that the other replicas lack. */
  takeChanges(): Promise<readonly ChatChange[]>;
  /** Takes over changes of another replica's directory. */
  noteChanges(changes: readonly ChatChange[]): void;
  /** The other routers that may own the pool. */
  peers(): readonly string[];
  summarise(): PoolSummary;
  /** Order in which a chat would try the upstreams. */
  explain(chat: ChatHash): {
    home: string | undefined;
    order: readonly string[];
  };
  close(): void;
}

const TICK_MS = 100;
/** Silence after which an upstream is asked for its load. */
const POLL_SILENCE_MS = 4_000;
/** Interval of the polls while a report is needed to use a rank. */
const NEEDED_POLL_MS = 250;

/** Creates the controller of a pool; it admits nothing until configured. */
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
  readonly #byIndex: UpstreamState[] = [];
  readonly #firstByte = createFirstByteModel();
  readonly #timer: NodeJS.Timeout;
  #service: Service | undefined;
  #replicas: readonly string[] = [];
  #lastOwner: string | undefined;
  #loggedRanks = "";
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
      confirmMs: timing.holdDownMs - timing.driftMs,
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
        resolve(Err(createRefusal("not-ready", "The pool is closing.")));
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

  release(grant: Grant, end: AttemptEnd): void {
    this.#send({ kind: "release", grant, end });
  }

  report(upstream: string, report: LoadReport, askedAt: number): void {
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

  receive(peer: string, heartbeat: Heartbeat): void {
    this.#send({ kind: "heartbeat", peer, heartbeat });
  }

  returnLoans(): Promise<Stamp> {
    return new Promise((reply) => this.#send({ kind: "return", reply }));
  }

  takeChanges(): Promise<readonly ChatChange[]> {
    if (this.#isClosed) return Promise.resolve([]);
    return new Promise((reply) => this.#send({ kind: "take-changes", reply }));
  }

  noteChanges(changes: readonly ChatChange[]): void {
    this.#send({ kind: "changes", changes });
  }

  peers(): readonly string[] {
    return this.#replicas.filter((name) => name !== this.#options.self);
  }

  noteReturned(peer: string, stamp: Stamp): void {
    this.#send({ kind: "returned", peer, stamp });
  }

  noteEvictions(upstream: string, evictions: Evictions): void {
    this.#send({ kind: "evictions", upstream, evictions });
  }

  summarise(): PoolSummary {
    const now = this.#options.clock();
    const view = this.#view(now);
    const states = [...this.#upstreams.values()].filter((each) =>
      each.isListed
    );
    return {
      id: this.id,
      service: this.#service?.name ?? "",
      replicas: this.#replicas,
      owner: this.#owner(),
      heldRanks: this.#loans.heldRanks(now).map(({ replica }) => replica),
      queued: this.#queue.length,
      chats: this.#chats.size,
      upstreams: states.map((state) => {
        const { name } = state.upstream;
        const known = view.upstreams.get(name);
        return {
          upstream: state.upstream,
          isInService: this.#isInService(state),
          isLeaving: state.isLeaving,
          isCold: state.coldStart.isCold(now),
          incarnation: state.incarnation,
          answers: state.answers,
          inFlight: this.#shares.inFlightEstimate(name, now),
          limit: known?.limit ?? 0,
          room: known?.room ?? 0,
          reportAgeMs: now - state.reportedAt,
        };
      }),
    };
  }

  explain(chat: ChatHash) {
    return {
      home: this.#chats.findHome(chat),
      order: this.#orderFor(chat).map(({ upstream }) => upstream.name),
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
        this.#report(message);
        break;
      case "offers":
        message.reply(this.#offersTo(message.peers));
        break;
      case "heartbeat":
        this.#receive(message.peer, message.heartbeat);
        break;
      case "evictions":
        this.#chats.forget(message.upstream, message.evictions);
        break;
      case "configure":
        this.#configure(message.service, message.options);
        break;
      case "return":
        message.reply(this.#loans.returnAll(this.#options.clock()));
        break;
      case "returned":
        this.#loans.returned(
          message.peer,
          message.stamp,
          this.#options.clock(),
        );
        break;
      case "take-changes":
        message.reply(this.#chats.takeChanges());
        break;
      case "changes":
        this.#chats.noteChanges(message.changes, this.#options.clock());
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
      order: this.#orderFor(request.chat),
    };
    const view = this.#view(now);
    const placement = this.#place(waiting, view);
    if (placement.kind === "refuse") {
      reply(Err(this.#refuse(placement.code)));
      return;
    }
    // Who came earlier goes first.
    if (placement.kind === "place" && this.#queue.length === 0) {
      this.#admit(waiting, placement, view);
      return;
    }
    this.#queue.add(waiting, now);
    this.#pump();
  }

  #refuse(code: DiagnosticCode): Refusal {
    const detail = `No upstream of ${this.id} is in service.`;
    if (code === "no-capacity") return createRefusal(code, detail);
    return createRefusal(code, "The deadline has passed.");
  }

  /** Admits waiters in order for as long as there is room. */
  #pump(): void {
    const now = this.#options.clock();
    this.#queue.expire(now);
    while (this.#queue.length > 0) {
      const view = this.#view(now);
      if (view.upstreams.size === 0) {
        this.#queue.refuseAll(this.#refuse("no-capacity"));
        return;
      }
      // Most calls end here, whatever the length of the queue.
      if (!view.hasRoom) return;
      const next = this.#next(view);
      if (next === undefined) return;
      this.#admit(next.waiting, next.placement, view);
    }
  }

  /** The first waiter that can be placed; refuses those that never can. */
  #next(view: PoolView) {
    let placement: Placement | undefined;
    const refused: [Waiting, DiagnosticCode][] = [];
    const waiting = this.#queue.next(view.now, (each) => {
      placement = this.#place(each, view);
      if (placement.kind === "refuse") refused.push([each, placement.code]);
      return placement.kind === "place";
    });
    for (const [each, code] of refused) {
      this.#queue.refuse(each.request.requestId, this.#refuse(code));
    }
    if (waiting === undefined || placement?.kind !== "place") return undefined;
    return { waiting, placement };
  }

  #place({ request, since, order }: Waiting, view: PoolView): Placement {
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
      order.map((state) => toCandidate(state, { request, view })),
    );
  }

  #orderFor(chat: ChatHash | undefined): UpstreamState[] {
    const listed = [...this.#upstreams.values()].filter((each) =>
      each.isListed
    );
    if (chat === undefined) return listed;
    const names = listed.map(({ upstream }) => upstream.name);
    const { hash } = this.#options;
    const ranked = rankByRendezvous(`${chat.hi}:${chat.lo}`, names, { hash });
    return ranked.map((name) => this.#upstreams.get(name)!);
  }

  #view(now: number): PoolView {
    const states = [...this.#upstreams.values()]
      .filter((state) => this.#isInService(state));
    return readPoolView(states, { shares: this.#shares, now });
  }

  #isInService(state: UpstreamState | undefined): boolean {
    if (state === undefined || !state.isListed || state.isLeaving) return false;
    return this.#options.isInService(state.upstream);
  }

  #admit(
    waiting: Waiting,
    placement: Placement & { kind: "place" },
    { now, upstreams }: PoolView,
  ): void {
    const { request, reply, since } = waiting;
    const state = this.#byIndex[placement.upstream]!;
    const { upstream, service } = state;
    const known = upstreams.get(upstream.name);
    const hasBegun = known !== undefined &&
      this.#shares.tryBegin(upstream.name, known.capacityLimit, now);
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
      utilisation: (known.inFlight + 1) / (known.inFlight + known.share),
    };
    placementLog.info("Placed a request.", {
      requestId: request.requestId,
      attemptId: grant.attemptId,
      upstream: upstream.name,
      reason: placement.reason,
      inFlight: this.#shares.inFlightEstimate(upstream.name, now),
      limit: known.limit,
      waitedMs: Math.round(now - since),
    });
    metrics.placements.inc({ service: service.name, reason: placement.reason });
    metrics.queueSeconds.observe(
      { service: service.name },
      (now - since) / 1_000,
    );
    reply(Ok(grant));
  }

  #release(grant: Grant, end: AttemptEnd): void {
    const { clock, metrics } = this.#options;
    const now = clock();
    const { name } = grant.upstream;
    metrics.attempts.inc({ service: grant.service.name, fate: end.fate });
    if (end.fate === "unclear") this.#shares.abandon(name, grant.beganAt);
    else this.#shares.end(name, grant.beganAt);
    const state = this.#upstreams.get(name);
    if (state !== undefined) this.#learn(state, { grant, end, now });
    this.#pump();
  }

  #learn(
    state: UpstreamState,
    { grant, end, now }: { grant: Grant; end: AttemptEnd; now: number },
  ): void {
    const promptTokens = end.promptTokens ?? 0;
    const cachedTokens = end.cachedTokens ?? 0;
    const computedTokens = promptTokens - cachedTokens;
    const { firstByteMs } = end;
    state.coldStart.onAnswer({
      ok: end.isOk,
      firstByteMs,
      poolFirstByteMs: estimateFirstByteMs(this.#firstByte, computedTokens),
      incarnation: end.isOk ? state.incarnation : undefined,
      utilisation: grant.utilisation,
    }, now);
    if (end.fate !== "finished" || !end.isOk) return;
    state.answers++;
    if (firstByteMs !== undefined) {
      noteFirstByte(this.#firstByte, { firstByteMs, computedTokens });
    }
    noteTimes(state, {
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
    this.#chats.learn(chat, { state, tokens: promptTokens, now });
  }

  #report(message: PoolMessage & { kind: "report" }): void {
    const state = this.#upstreams.get(message.upstream);
    if (state === undefined) return;
    if (message.isPoll) state.isPollOutstanding = false;
    const { report, askedAt } = message;
    if (report === undefined) return;
    const now = this.#options.clock();
    const wasLeaving = state.isLeaving;
    const isNew = noteReport(state, report, { askedAt, now });
    if (isNew) {
      this.#chats.forgetUpstream(state);
      this.#options.log.warn("An upstream has a new incarnation.", {
        upstream: message.upstream,
      });
    }
    if (state.isLeaving && !wasLeaving) {
      this.#options.log.info("An upstream leaves.", {
        upstream: message.upstream,
      });
    }
    this.#shares.report(message.upstream, report, askedAt);
    this.#pump();
  }

  #owner(): string | undefined {
    return this.#replicas.find((name) => this.#options.liveness.isLive(name));
  }

  #offersTo(peers: readonly string[]): readonly Offer[] {
    const now = this.#options.clock();
    this.#loans.setOwner(this.#owner());
    return peers.map((peer) =>
      this.#replicas.includes(peer) ? this.#loans.offerFor(peer, now) : NO_OFFER
    );
  }

  #receive(peer: string, heartbeat: Heartbeat): void {
    if (!this.#replicas.includes(peer)) return;
    this.#loans.receive(peer, heartbeat, this.#options.clock());
    this.#pump();
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
    for (const state of this.#upstreams.values()) state.isListed = false;
    for (const upstream of upstreams) this.#list(service, upstream);
    this.#pump();
  }

  /** Sets the replicas, or notes that the set has been in force elsewhere. */
  #setReplicas(now: number, afterGap = false): void {
    const inForceMs = this.#options.configuration.routersInForceMs();
    const replicas = [...this.#replicas].sort();
    this.#shares.setReplicas(replicas, now, { inForceMs, afterGap });
  }

  #list(service: Service, upstream: Upstream): void {
    const state = this.#upstreams.get(upstream.name);
    if (state !== undefined) {
      describe(state, { service, upstream });
      return;
    }
    const index = this.#byIndex.length;
    const created = createUpstreamState(service, upstream, { index });
    this.#upstreams.set(upstream.name, created);
    this.#byIndex.push(created);
  }

  /** Hands the whole directory to the router that owns the pool from now on. */
  #handOverDirectory(): void {
    const owner = this.#owner();
    const { self, log } = this.#options;
    const wasOwner = this.#lastOwner === self;
    this.#lastOwner = owner;
    if (!wasOwner || owner === self || owner === undefined) return;
    const chats = this.#chats.handOver();
    log.info("Hands its directory over.", { pool: this.id, owner, chats });
  }

  #tick(): void {
    const now = this.#options.clock();
    this.#handOverDirectory();
    this.#shares.confirm(this.#options.configuration.confirmedAt());
    this.#setReplicas(now);
    const ranks = this.#loans.heldRanks(now).map(({ replica }) => replica);
    this.#logRanks(ranks);
    // Without a rank nothing can be admitted; the first rank brings a poll.
    if (ranks.length > 0) {
      for (const state of this.#upstreams.values()) this.#pollIfDue(state, now);
    }
    this.#pump();
    if (ranks.length === 0) this.#handOver();
  }

  /**
   * Sends waiting requests on to the owner. A router that lends its rank and
   * has borrowed none will have no room for them.
   */
  #handOver(): void {
    const owner = this.#owner();
    if (owner === undefined || owner === this.#options.self) return;
    const detail = `${owner} owns ${this.id} now.`;
    this.#queue.refuseAll(createRefusal("no-owner", detail));
  }

  /** Logs a change of the ranks that this router may use. */
  #logRanks(held: readonly string[]): void {
    const ranks = [...held].sort();
    const text = ranks.join(", ");
    if (text === this.#loggedRanks) return;
    this.#loggedRanks = text;
    const owner = this.#owner();
    this.#options.log.info("Holds other ranks.", {
      pool: this.id,
      ranks,
      owner,
    });
  }

  #pollIfDue(state: UpstreamState, now: number): void {
    if (!state.isListed || state.isPollOutstanding) return;
    const interval = this.#needsReport(state, now)
      ? NEEDED_POLL_MS
      : POLL_SILENCE_MS;
    const lastWord = Math.max(state.reportedAt, state.polledAt);
    if (now - lastWord < interval) return;
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

  /** Whether a newer report could give this router more of the upstream. */
  #needsReport({ upstream }: UpstreamState, now: number): boolean {
    return this.#shares.foreign(upstream.name, now) > 0;
  }
}

const NO_OFFER: Offer = { lends: false };

/** Task names take no slash. */
function toTaskName(id: string): string {
  return id.replaceAll("/", "-");
}
