/**
 * Controller of one pool: admits requests to its upstreams within this router's
 * capacity shares, queues what has no room and places what has.
 */
import { randomUUID } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import type { Service, Upstream } from "../config/manifest.ts";
import type { Log } from "../daemon/log.ts";
import type { Metrics } from "../daemon/metrics.ts";
import {
  createRefusal,
  type DiagnosticCode,
  type Refusal,
} from "../diagnostics.ts";
import {
  type AdmissionQueue,
  createAdmissionQueue,
} from "../policy/admission_queue.ts";
import {
  type CapacityShares,
  createCapacityShares,
} from "../policy/capacity_shares.ts";
import {
  type ChatDirectory,
  type ChatHash,
  createChatDirectory,
} from "../policy/chat_directory.ts";
import {
  capacityLimitOf,
  getMeanInFlight,
  loadLimitOf,
} from "../policy/load_bound.ts";
import {
  createLoans,
  type Heartbeat,
  type Loans,
  type Offer,
  type Stamp,
} from "../policy/loans.ts";
import {
  type ChatChange,
  createDirectoryChanges,
} from "../policy/directory_changes.ts";
import { type Candidate, place, type Placement } from "../policy/placement.ts";
import { type Hash, rankByRendezvous } from "../policy/rendezvous.ts";
import type { LoadReport } from "../types.ts";
import type { AcquireRequest, AttemptEnd, Grant, Pool } from "./pool.ts";
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

/** State of an upstream as operators see it. */
export interface UpstreamSummary {
  readonly upstream: Upstream;
  readonly isInService: boolean;
  readonly isLeaving: boolean;
  readonly isCold: boolean;
  readonly incarnation: string | undefined;
  /** Attempts that ended well under this controller. */
  readonly answers: number;
  readonly inFlight: number;
  readonly limit: number;
  readonly room: number;
  readonly reportAgeMs: number;
}

/** State of a pool as operators see it. */
export interface PoolSummary {
  readonly id: string;
  readonly service: string;
  readonly replicas: readonly string[];
  readonly owner: string | undefined;
  readonly heldRanks: readonly string[];
  readonly queued: number;
  readonly chats: number;
  readonly upstreams: readonly UpstreamSummary[];
}

/** Chats that an upstream has evicted from its cache. */
export interface Evictions {
  readonly chats: readonly ChatHash[];
  /** Monotonic time; a chat that was used since may be cached again. */
  readonly usedBefore: number;
}

/** What the configuration says of a pool beside its service. */
export interface PoolConfiguration {
  readonly upstreams: readonly Upstream[];
  readonly replicas: readonly string[];
  /** Whether sets of routers before this one were not seen. */
  readonly hasGap: boolean;
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

type Message =
  | {
    readonly kind: "acquire";
    readonly request: AcquireRequest;
    reply(result: Result<Grant, Refusal>): void;
  }
  | { readonly kind: "cancel"; readonly id: string }
  | {
    readonly kind: "release";
    readonly grant: Grant;
    readonly end: AttemptEnd;
  }
  | {
    readonly kind: "report";
    readonly upstream: string;
    readonly report: LoadReport | undefined;
    readonly askedAt: number;
    readonly isPoll: boolean;
  }
  | {
    readonly kind: "offers";
    readonly peers: readonly string[];
    reply(offers: readonly Offer[]): void;
  }
  | {
    readonly kind: "heartbeat";
    readonly peer: string;
    readonly heartbeat: Heartbeat;
  }
  | {
    readonly kind: "evictions";
    readonly upstream: string;
    readonly evictions: Evictions;
  }
  | {
    readonly kind: "configure";
    readonly service: Service;
    readonly options: PoolConfiguration;
  }
  | { readonly kind: "return"; reply(stamp: Stamp): void }
  | { readonly kind: "returned"; readonly peer: string; readonly stamp: Stamp }
  | {
    readonly kind: "take-changes";
    reply(changes: readonly ChatChange[]): void;
  }
  | { readonly kind: "changes"; readonly changes: readonly ChatChange[] }
  | { readonly kind: "tick" };

interface Waiting {
  readonly request: AcquireRequest;
  readonly since: number;
  /** Upstreams in rendezvous order for the request's chat. */
  readonly order: readonly UpstreamState[];
  reply(result: Result<Grant, Refusal>): void;
}

const TICK_MS = 100;
/** Most changes of the directory that are sent at a time. */
const MAX_CHANGES = 500;
const MS_PER_SECOND = 1_000;
/** Silence after which an upstream is asked for its load. */
const POLL_SILENCE_MS = 4_000;
/** Interval of the polls while a report is needed to use a rank. */
const NEEDED_POLL_MS = 250;
const QUEUE_UNIT_MS = 100;

/** Creates the controller of a pool; it admits nothing until configured. */
export function createPoolController(options: PoolOptions): PoolController {
  return new SharedPool(options);
}

class SharedPool implements PoolController {
  readonly id: string;
  readonly #options: PoolOptions;
  readonly #task: Task<Message>;
  readonly #loans: Loans;
  readonly #shares: CapacityShares;
  readonly #directory: ChatDirectory = createChatDirectory();
  readonly #queue: AdmissionQueue;
  readonly #waiting = new Map<string, Waiting>();
  readonly #upstreams = new Map<string, UpstreamState>();
  readonly #byIndex: UpstreamState[] = [];
  readonly #firstByte = createFirstByteModel();
  readonly #timer: NodeJS.Timeout;
  #service: Service | undefined;
  #replicas: readonly string[] = [];
  readonly #changes = createDirectoryChanges();
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
    this.#queue = createAdmissionQueue({
      initialUnitMs: QUEUE_UNIT_MS,
      random: options.random,
    });
    this.#task = options.tasks.spawn<Message>(`pool-${toTaskName(this.id)}`, {
      handle: (message) => this.#handle(message),
      onFailure: (cause) => {
        const detail = cause instanceof Error ? cause.stack : String(cause);
        options.log.error("A message failed.", { pool: this.id, detail });
      },
    });
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
      chats: this.#directory.size,
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
    const home = this.#directory.get(chat);
    return {
      home: home && this.#byIndex[home.upstream]?.upstream.name,
      order: this.#orderFor(chat).map(({ upstream }) => upstream.name),
    };
  }

  close(): void {
    this.#isClosed = true;
    clearInterval(this.#timer);
    for (const { reply } of this.#waiting.values()) {
      reply(Err(createRefusal("not-ready", "The router is stopping.")));
    }
    this.#waiting.clear();
    this.#task.stop();
  }

  #send(message: Message): void {
    if (!this.#isClosed) this.#task.send(message);
  }

  #handle(message: Message): void {
    switch (message.kind) {
      case "acquire":
        this.#acquire(message.request, message.reply);
        break;
      case "cancel":
        this.#cancel(message.id);
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
        this.#forget(message.upstream, message.evictions);
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
        message.reply(this.#changes.take(MAX_CHANGES));
        break;
      case "changes":
        this.#noteChanges(message.changes);
        break;
      case "tick":
        this.#tick();
        break;
    }
  }

  #acquire(
    request: AcquireRequest,
    reply: (result: Result<Grant, Refusal>) => void,
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
    // Who came earlier goes first.
    if (this.#queue.length > 0) {
      this.#enqueue(waiting, now);
      this.#pump();
      return;
    }
    const view = this.#view(now);
    const placement = this.#place(waiting, view);
    if (placement.kind === "place") {
      this.#admit(waiting, placement, view);
    } else if (placement.kind === "refuse") {
      reply(Err(this.#refuse(placement.code)));
    } else {
      this.#enqueue(waiting, now);
    }
  }

  #refuse(code: DiagnosticCode): Refusal {
    const detail = `No upstream of ${this.id} is in service.`;
    if (code === "no-capacity") return createRefusal(code, detail);
    return createRefusal(code, "The deadline has passed.");
  }

  #enqueue(waiting: Waiting, now: number): void {
    const { request } = waiting;
    const push = this.#queue.push({
      id: request.requestId,
      workspace: request.workspace,
      weight: request.weight,
      enqueuedAt: now,
      deadline: request.deadlineAt,
      promptTokens: request.promptTokens,
    }, now);
    if (push.kind === "refused") {
      const { code, retryAfterMs } = push;
      const detail = `${this.#queue.length} requests wait for ${this.id}.`;
      waiting.reply(Err(createRefusal(code, detail, { retryAfterMs })));
      return;
    }
    this.#waiting.set(request.requestId, waiting);
    if (push.shed === undefined) return;
    const { waiter, retryAfterMs } = push.shed;
    const detail = "The workspace is above its share of the queue.";
    const refusal = createRefusal("queue-full", detail, { retryAfterMs });
    this.#refuseWaiting(waiter.id, refusal);
  }

  #refuseWaiting(id: string, refusal: Refusal): void {
    const waiting = this.#waiting.get(id);
    this.#waiting.delete(id);
    waiting?.reply(Err(refusal));
  }

  #cancel(id: string): void {
    if (!this.#waiting.has(id)) return;
    this.#queue.remove(id);
    const detail = "The caller has gone.";
    this.#refuseWaiting(id, createRefusal("deadline-passed", detail));
  }

  /** Admits waiters in order for as long as there is room. */
  #pump(): void {
    const now = this.#options.clock();
    this.#expire(now);
    while (this.#queue.length > 0) {
      const view = this.#view(now);
      // Most calls end here, whatever the length of the queue.
      if (!view.hasRoom) return;
      let chosen: Placement | undefined;
      const waiter = this.#queue.next(now, ({ id }) => {
        const waiting = this.#waiting.get(id);
        chosen = waiting && this.#place(waiting, view);
        return chosen?.kind === "place";
      });
      if (waiter === undefined || chosen?.kind !== "place") return;
      const waiting = this.#waiting.get(waiter.id)!;
      this.#waiting.delete(waiter.id);
      this.#admit(waiting, chosen, view);
    }
  }

  #expire(now: number): void {
    for (const { id } of this.#queue.expire(now)) {
      const detail = "The request waited until its deadline.";
      this.#refuseWaiting(id, createRefusal("deadline-passed", detail));
    }
  }

  #place({ request, since, order }: Waiting, view: PoolView): Placement {
    const { now } = view;
    const home = request.chat && this.#directory.get(request.chat);
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

  /** Reads every upstream once, for the decisions of one moment. */
  #view(now: number): PoolView {
    const states = [...this.#upstreams.values()]
      .filter((state) => this.#isInService(state));
    const inFlights = states.map(({ upstream }) =>
      this.#shares.inFlightEstimate(upstream.name, now)
    );
    const upstreamCount = states.length;
    const inFlight = inFlights.reduce((sum, each) => sum + each, 1);
    const meanInFlight = getMeanInFlight({ inFlight, upstreamCount });
    const upstreams = new Map<string, UpstreamView>();
    states.forEach((state, index) => {
      const { upstream, coldStart, service } = state;
      const cold = coldStart.isCold(now);
      const capacityLimit = capacityLimitOf({
        hardLimit: coldStart.limit(now),
        coldLimit: upstream.coldLimit,
        cold,
      });
      const { loadFactor } = service;
      const loadLimit = loadLimitOf({
        loadFactor,
        meanInFlight,
        upstreamCount,
      });
      const inFlight = inFlights[index]!;
      const share = this.#shares.roomFor(upstream.name, capacityLimit, now);
      upstreams.set(upstream.name, {
        capacityLimit,
        limit: Math.min(capacityLimit, loadLimit),
        cold,
        inFlight,
        share,
        room: Math.min(share, loadLimit - inFlight),
      });
    });
    const hasRoom = [...upstreams.values()].some(({ room }) => room > 0);
    return { now, upstreams, hasRoom };
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
      this.#enqueue(waiting, now);
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
    if (this.#directory.get(chat)?.upstream !== state.index) {
      const upstream = state.upstream.name;
      this.#changes.note({ chat, upstream, tokens: promptTokens });
    }
    this.#directory.set(chat, {
      upstream: state.index,
      tokens: promptTokens,
      usedAt: now / 1_000,
    });
  }

  #report(message: Message & { kind: "report" }): void {
    const state = this.#upstreams.get(message.upstream);
    if (state === undefined) return;
    if (message.isPoll) state.isPollOutstanding = false;
    const { report, askedAt } = message;
    if (report === undefined) return;
    const now = this.#options.clock();
    const wasLeaving = state.isLeaving;
    const isNew = noteReport(state, report, { askedAt, now });
    if (isNew) {
      this.#directory.forgetUpstream(state.index);
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

  /** Drops chats only where the directory still names the upstream. */
  #forget(upstream: string, { chats, usedBefore }: Evictions): void {
    const index = this.#upstreams.get(upstream)?.index;
    for (const chat of chats) {
      const home = this.#directory.get(chat);
      if (home === undefined || home.upstream !== index) continue;
      // The time of the last use is rounded down to whole seconds.
      if ((home.usedAt + 1) * 1_000 <= usedBefore) this.#directory.forget(chat);
    }
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

  #noteChanges(changes: readonly ChatChange[]): void {
    const usedAt = this.#options.clock() / MS_PER_SECOND;
    for (const { chat, upstream: name, tokens } of changes) {
      const state = this.#upstreams.get(name);
      if (state === undefined) continue;
      this.#directory.set(chat, { upstream: state.index, tokens, usedAt });
    }
  }

  /** Hands the whole directory to the router that owns the pool from now on. */
  #handOverDirectory(): void {
    const owner = this.#owner();
    const { self, log } = this.#options;
    const wasOwner = this.#lastOwner === self;
    this.#lastOwner = owner;
    if (!wasOwner || owner === self || owner === undefined) return;
    for (
      const [chat, { upstream: index, tokens }] of this.#directory.entries()
    ) {
      const upstream = this.#byIndex[index]!.upstream.name;
      this.#changes.note({ chat, upstream, tokens });
    }
    log.info("Hands its directory over.", {
      pool: this.id,
      owner,
      chats: this.#changes.size,
    });
  }

  #tick(): void {
    const now = this.#options.clock();
    this.#handOverDirectory();
    this.#shares.confirm(this.#options.configuration.confirmedAt());
    this.#setReplicas(now);
    this.#logRanks(now);
    for (const state of this.#upstreams.values()) this.#pollIfDue(state, now);
    this.#pump();
    this.#handOver(now);
  }

  /**
   * Sends waiting requests on to the owner. A router that lends its rank and
   * has borrowed none will have no room for them.
   */
  #handOver(now: number): void {
    const owner = this.#owner();
    if (owner === undefined || owner === this.#options.self) return;
    if (this.#loans.heldRanks(now).length > 0) return;
    for (const id of [...this.#waiting.keys()]) {
      this.#queue.remove(id);
      const detail = `${owner} owns ${this.id} now.`;
      this.#refuseWaiting(id, createRefusal("no-owner", detail));
    }
  }

  /** Logs a change of the ranks that this router may use. */
  #logRanks(now: number): void {
    const ranks = this.#loans.heldRanks(now).map(({ replica }) => replica);
    const text = ranks.sort().join(", ");
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
    // Without a rank nothing can be admitted; the first rank brings a poll.
    if (this.#loans.heldRanks(now).length === 0) return;
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
    if (this.#loans.heldRanks(now).length === 0) return false;
    return this.#shares.foreign(upstream.name, now) > 0;
  }
}

/** An upstream that is in service, as the decisions of a moment see it. */
interface UpstreamView {
  /** What the upstream can bear. */
  readonly capacityLimit: number;
  /** The same, and no more than the load factor allows. */
  readonly limit: number;
  readonly cold: boolean;
  readonly inFlight: number;
  /** Requests that this router's capacity share has left. */
  readonly share: number;
  readonly room: number;
}

/** The upstreams in service at a moment. */
interface PoolView {
  readonly now: number;
  readonly upstreams: ReadonlyMap<string, UpstreamView>;
  readonly hasRoom: boolean;
}

function toCandidate(
  state: UpstreamState,
  { request, view }: { request: AcquireRequest; view: PoolView },
): Candidate {
  const { name, failureDomain } = state.upstream;
  const known = view.upstreams.get(name);
  const inFlight = known?.inFlight ?? 0;
  return {
    upstream: state.index,
    room: known?.room ?? 0,
    inFlight,
    limit: known?.limit ?? 0,
    cold: known?.cold ?? true,
    inService: known !== undefined && !request.excluded.includes(name),
    failureDomain,
    msPerPromptToken: state.msPerPromptToken,
    expectedWaitMs: state.serviceMs / Math.max(1, inFlight),
  };
}

const NO_OFFER: Offer = { lends: false };

/** Task names take no slash. */
function toTaskName(id: string): string {
  return id.replaceAll("/", "-");
}
