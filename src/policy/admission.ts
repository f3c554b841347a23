/**
 * Decides whether a request is sent to a service, held for a moment or refused.
 *
 * Load pattern: an urgent class of small requests shares a service with a class
 * that is fifteen times as large and bursts, or with a workspace that sends 7.5
 * times its usual, and callers retry at once. Some 75 routers decide, each of
 * which sees one or two requests a second and knows the others 0.2 to 0.8 s
 * late.
 *
 * While slots are free nothing is held or refused. Requests that wait at the
 * upstreams are ordered there by priority, so that a request that finds no free
 * slot is sent as well, unless it can't be done in time, or the demand of all
 * routers exceeds the capacity. Then each priority and workspace gets the part
 * that fits (`capacity_split.ts`), and each router applies that part to its own
 * requests. That needs no count of single slots, which would be outdated. What
 * has no part left is refused at once; only what has to wait for its turn is
 * held, for as long as costs the operators nothing.
 */
import {
  type AdmissionQueue,
  createAdmissionQueue,
} from "./admission_queue.ts";
import type { Waiter } from "./admission_queue_order.ts";
import type { DemandPart } from "./capacity_split.ts";
import {
  type DemandEntry,
  DemandMeter,
  encodeDemandKey,
} from "./demand_meter.ts";
import type { DemandReport, PeerDemand } from "./peer_demand.ts";
import { chooseRetryAfterRoom } from "./retry_after.ts";
import { type ServiceSample, ServiceTimes } from "./service_times.ts";
import {
  estimateRoom,
  type ServiceLoad,
  type ServiceRoom,
} from "./service_room.ts";
import {
  createServiceSplit,
  estimateRoomWaitMs,
  estimateWaitMs,
  type ServiceSplit,
} from "./service_split.ts";
import { UsualDemand } from "./usual_demand.ts";

/** The parts of a request that its admission depends on. */
export interface AdmissionRequest {
  /** Unique among the requests that are held. */
  readonly id: string;
  readonly service: string;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly workspace: string | undefined;
  /** Latency objective of its route, in milliseconds. */
  readonly objectiveMs: number;
  /** Monotonic time of its deadline, in milliseconds. */
  readonly deadlineAt: number;
  readonly promptTokens: number;
}

/** Why a request is refused. */
export type AdmissionRefusalCode =
  | "queue-full"
  | "would-miss-deadline"
  | "workspace-share";

/** Refusal of a request that has not run. */
export interface AdmissionRefusal {
  readonly kind: "refuse";
  readonly code: AdmissionRefusalCode;
  readonly retryAfterMs: number;
}

/** What happens to a request. */
export type AdmissionDecision =
  | {
    readonly kind: "send";
    readonly hasRoom: boolean;
    /** Load of the service by its slots. */
    readonly fill: number;
  }
  | {
    readonly kind: "hold";
    /** Monotonic time until which it is held at most, in milliseconds. */
    readonly until: number;
    /** Request that is refused for it. */
    readonly shed?: { readonly id: string; readonly refusal: AdmissionRefusal };
  }
  | AdmissionRefusal;

/** State of a service at the time of a decision. */
export interface AdmissionMoment {
  readonly load: ServiceLoad;
  /** Monotonic time, in milliseconds. */
  readonly now: number;
}

/** Options of `Admission`. */
export interface AdmissionOptions {
  readonly peers: PeerDemand;
  /** Returns the number of other routers. */
  readonly countOthers: () => number;
  /** Returns a uniform value in [0, 1). */
  readonly random: () => number;
}

/** Part of the objective for which holding a request costs nothing. */
const FREE_HOLD_PART = 1 / 8;
/** Part of the remaining time for which a request may be held. */
const MAX_REMAINING_PART = 1 / 4;
/** Smallest part of the demand that fits for which a request is held. */
const MIN_HELD_FRACTION = 0.25;
/** Load by slots below which what was held in vain is sent. */
const MAX_FILL_TO_SEND = 2;
/** Requests that one router holds for a service. */
const QUEUE_LIMIT = 64;
/**
 * Requests of a priority and workspace that may be sent beyond its part, to be
 * made up for by later ones.
 */
const MAX_DEBT = 1;
/**
 * Time for which a rejection shows that upstreams are full, in milliseconds;
 * several times the age of the loads.
 */
const REJECTION_MEMORY_MS = 1_000;
/** Time for which a service counts as contended, in milliseconds. */
const CONTENTION_MEMORY_MS = 5_000;
/** Time for which a split is used, in milliseconds; messages come as often. */
const SPLIT_LIFETIME_MS = 100;
/** Interval at which the usual demand is learned, in milliseconds. */
const LEARN_INTERVAL_MS = 1_000;
const MAX_CREDITS = 1_024;
/** Weight of a workspace of which nothing usual is known, in work. */
const MIN_WEIGHT = 0.01;

interface ServiceState {
  readonly queue: AdmissionQueue;
  /** Held requests by id. */
  readonly held: Map<string, AdmissionRequest>;
  /** Requests that may be sent, by encoded key of the demand. */
  readonly credits: Map<string, number>;
  split: ServiceSplit | undefined;
  rejectedAt: number;
}

function createSend({ hasRoom, fill }: ServiceRoom): AdmissionDecision {
  return { kind: "send", hasRoom, fill };
}

/** Admission control of one router. */
export class Admission {
  readonly #options: AdmissionOptions;
  readonly #services = new Map<string, ServiceState>();
  readonly #meter = new DemandMeter();
  readonly #usual = new UsualDemand();
  readonly #times = new ServiceTimes();
  #learnedAt = -Infinity;

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Number of requests that are held for a service. */
  countHeld(service: string): number {
    return this.#services.get(service)?.held.size ?? 0;
  }

  /** Whether demand has lately been compared with the capacity of a service. */
  isContended(now: number): boolean {
    return [...this.#services.values()].some(({ split }) =>
      split !== undefined && now - split.at <= CONTENTION_MEMORY_MS
    );
  }

  /** Decides on a request that has arrived. */
  decide(
    request: AdmissionRequest,
    moment: AdmissionMoment,
  ): AdmissionDecision {
    const { load, now } = moment;
    const { service, route, priority, workspace } = request;
    const room = estimateRoom(load);
    this.#times.confirm(service, { fill: room.fill, now });
    const workMs = this.#times.find(service, route);
    this.#meter.record({ service, priority, workspace }, workMs ?? 0, now);
    if (room.hasRoom) return createSend(room);
    const split = this.#getSplit(service, moment);
    // Its own requests alone don't show that the upstreams are full.
    if (!split.isFleetKnown && !this.#isRejecting(service, now)) {
      return createSend(room);
    }
    const waitMs = estimateWaitMs(request, { split, room });
    const remainingMs = request.deadlineAt - now;
    if (workMs !== undefined && waitMs + workMs > remainingMs) {
      return this.#refuse("would-miss-deadline", request, moment);
    }
    const part = split.parts.get(encodeDemandKey(request));
    if (part === undefined || part.fraction >= 1) {
      return createSend(room);
    }
    return this.#decideByPart(request, part, moment);
  }

  /**
   * Removes and returns the held requests that may be sent: one if a request of
   * this router has ended, and this router's part of the free slots.
   */
  takeReady(
    service: string,
    { load, now, hasEnded }: AdmissionMoment & { hasEnded: boolean },
  ): string[] {
    const state = this.#services.get(service);
    if (state === undefined || state.held.size === 0) return [];
    const { hasRoom, free } = estimateRoom(load);
    const count = hasRoom
      ? Math.ceil(free * this.#getOwnPart(state))
      : hasEnded
      ? 1
      : 0;
    const ready: string[] = [];
    while (ready.length < count) {
      const waiter = state.queue.next(
        now,
        ({ id }) =>
          hasRoom || this.#getCredit(state, state.held.get(id)!) > -MAX_DEBT,
      );
      if (waiter === undefined) break;
      if (!hasRoom) this.#addCredit(state, state.held.get(waiter.id)!, -1);
      state.held.delete(waiter.id);
      ready.push(waiter.id);
    }
    return ready;
  }

  /**
   * Ends the time for which a request is held. It is sent if upstreams take it
   * soon enough, and refused else.
   */
  endHold(
    request: AdmissionRequest,
    moment: AdmissionMoment,
  ): AdmissionDecision {
    const { load, now } = moment;
    this.remove(request);
    const room = estimateRoom(load);
    const { hasRoom, fill } = room;
    const isRejecting = this.#isRejecting(request.service, now);
    if (hasRoom || fill < MAX_FILL_TO_SEND && !isRejecting) {
      return createSend(room);
    }
    return this.#refuse("queue-full", request, moment);
  }

  /** Removes a held request, for example since its caller has left. */
  remove({ service, id }: Pick<AdmissionRequest, "service" | "id">): void {
    const state = this.#services.get(service);
    if (state?.held.delete(id)) state.queue.remove(id);
  }

  /** Records that upstreams had no room for a request that was sent. */
  recordRejected(service: string, now: number): void {
    this.#getState(service).rejectedAt = now;
  }

  /** Records how long an answered request took since it was sent. */
  recordServed(service: string, sample: ServiceSample): void {
    this.#times.record(service, sample);
  }

  /**
   * Creates the report of the demand for another router, with that of the
   * routers whose names satisfy `isIncluded`.
   */
  createReport(
    now: number,
    isIncluded: (router: string) => boolean,
  ): DemandReport {
    const own = this.#meter.list(now);
    if (now - this.#learnedAt >= LEARN_INTERVAL_MS) {
      this.#learnedAt = now;
      const others = this.#options.countOthers();
      const peers = this.#options.peers.estimate({ others, now });
      if (peers !== undefined) this.#usual.update([...own, ...peers], now);
    }
    return this.#options.peers.createReport(own, { now, isIncluded });
  }

  #isRejecting(service: string, now: number): boolean {
    const { rejectedAt } = this.#getState(service);
    return now - rejectedAt <= REJECTION_MEMORY_MS;
  }

  #decideByPart(
    request: AdmissionRequest,
    { fraction, isExcess }: DemandPart,
    moment: AdmissionMoment,
  ): AdmissionDecision {
    const { load } = moment;
    const state = this.#getState(request.service);
    const credit = this.#addCredit(state, request, fraction);
    if (credit >= 1) {
      this.#addCredit(state, request, -1);
      return createSend(estimateRoom(load));
    }
    if (isExcess) return this.#refuse("workspace-share", request, moment);
    if (fraction < MIN_HELD_FRACTION) {
      return this.#refuse("queue-full", request, moment);
    }
    return this.#hold(request, state, moment);
  }

  #hold(
    request: AdmissionRequest,
    state: ServiceState,
    moment: AdmissionMoment,
  ): AdmissionDecision {
    const { now } = moment;
    const until = now + Math.min(
      request.objectiveMs * FREE_HOLD_PART,
      (request.deadlineAt - now) * MAX_REMAINING_PART,
    );
    const waiter: Waiter = {
      id: request.id,
      workspace: request.workspace ?? "",
      weight: this.#getWeight(request),
      enqueuedAt: now,
      deadline: until,
      promptTokens: request.promptTokens,
      priority: request.priority,
    };
    const result = state.queue.push(waiter, now);
    if (result.kind === "refused") {
      return this.#refuse("queue-full", request, moment);
    }
    state.held.set(request.id, request);
    if (result.shed === undefined) return { kind: "hold", until };
    const { id } = result.shed.waiter;
    const refused = state.held.get(id)!;
    state.held.delete(id);
    const refusal = this.#refuse("queue-full", refused, moment);
    return { kind: "hold", until, shed: { id, refusal } };
  }

  #refuse(
    code: AdmissionRefusalCode,
    request: AdmissionRequest,
    { load, now }: AdmissionMoment,
  ): AdmissionRefusal {
    const split = this.#getSplit(request.service, { load, now });
    const expectedMs = estimateRoomWaitMs(request, {
      split,
      room: estimateRoom(load),
    });
    const retryAfterMs = chooseRetryAfterRoom(expectedMs, {
      remainingMs: request.deadlineAt - now,
      random: this.#options.random,
    });
    return { kind: "refuse", code, retryAfterMs };
  }

  #getSplit(service: string, { load, now }: AdmissionMoment): ServiceSplit {
    const state = this.#getState(service);
    if (state.split && now - state.split.at < SPLIT_LIFETIME_MS) {
      return state.split;
    }
    const peers = load.isFleetKnown
      ? this.#options.peers.estimate({ others: load.routers - 1, now })
      : undefined;
    const isOfService = (entry: DemandEntry) => entry.service === service;
    state.split = createServiceSplit({
      at: now,
      load,
      own: this.#meter.list(now).filter(isOfService),
      peers: peers?.filter(isOfService),
      getUsual: (workspace) => this.#usual.getWork(service, workspace),
    });
    return state.split;
  }

  /** Returns this router's part of the demand. */
  #getOwnPart({ split }: ServiceState): number {
    if (split === undefined || split.rate === 0) return 1;
    return split.ownRate / split.rate;
  }

  #getWeight({ service, workspace }: AdmissionRequest): number {
    return Math.max(MIN_WEIGHT, this.#usual.getWork(service, workspace));
  }

  #getCredit({ credits }: ServiceState, request: AdmissionRequest): number {
    const key = encodeDemandKey(request);
    // A random start makes the expected sum over routers right from the first
    // request on.
    return credits.get(key) ?? this.#options.random();
  }

  #addCredit(
    state: ServiceState,
    request: AdmissionRequest,
    amount: number,
  ): number {
    if (state.credits.size >= MAX_CREDITS) state.credits.clear();
    const credit = this.#getCredit(state, request) + amount;
    state.credits.set(encodeDemandKey(request), credit);
    return credit;
  }

  #getState(service: string): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        queue: createAdmissionQueue({
          limit: QUEUE_LIMIT,
          random: this.#options.random,
        }),
        held: new Map(),
        credits: new Map(),
        split: undefined,
        rejectedAt: -Infinity,
      };
      this.#services.set(service, state);
    }
    return state;
  }
}
