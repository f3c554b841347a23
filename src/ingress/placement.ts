/**
 * Chooses the upstream of each request, and tracks the load, health and cold
 * start of the upstreams, which the choice depends on.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import {
  type BrittleRoom,
  getBrittleRoom,
  getRejectionPause,
  SlotShares,
} from "../policy/brittle_room.ts";
import { findCacheSource, isEstablished } from "../policy/cache_source.ts";
import { ColdAllowance } from "../policy/cold_allowance.ts";
import { DecayingMeans } from "../policy/decaying_means.ts";
import type {
  LoadCounts,
  LoadEstimate,
  PeerLoads,
} from "../policy/peer_loads.ts";
import { type Hash, rankByRendezvous } from "../policy/rendezvous.ts";
import { findReportedOutages } from "../policy/reported_outages.ts";
import { type AnswerReport, RecentAnswers } from "../policy/recent_answers.ts";
import { chooseSecondTry, type FailureDistance } from "../policy/second_try.ts";
import type {
  Candidate,
  ChoiceOptions,
  UpstreamChoice,
  WorkAhead,
} from "../policy/upstream_choice.ts";
import { chooseUpstream } from "../policy/upstream_choice.ts";
import type { KnownUpstream } from "../policy/upstream_directory.ts";
import { parseAddress } from "../transport/address.ts";
import type { ServiceLoad } from "../policy/service_room.ts";
import type { SlotRule } from "../policy/silent_tries.ts";
import { type RequestEnd, UpstreamHealth } from "../policy/upstream_health.ts";
import { UpstreamLoads } from "../policy/upstream_loads.ts";
import { type PaceMeans, UpstreamPace } from "../policy/upstream_pace.ts";
import {
  type PauseRequest,
  UpstreamPauses,
} from "../policy/upstream_pauses.ts";
import { type RateReport, UpstreamRates } from "../policy/upstream_rates.ts";
import {
  type PlacedWork,
  type RequestWork,
  type WorkComparison,
  type WorkMeasures,
  WorkTracker,
} from "./work_tracker.ts";
import { ANY_VERSION, filterByVersion } from "../policy/version_rule.ts";
import type {
  PromptPart,
  RoutedService,
  StatedRate,
  UpstreamEntry,
  UpstreamLoad,
  VersionRule,
} from "../routing/types.ts";

/** Options of the placement. */
export interface PlacementOptions {
  /** Name of this router. */
  readonly self: string;
  /** Failure domain of this router. */
  readonly failureDomain: string;
  readonly routing: RoutingView;
  readonly hash: Hash;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Uniform in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
  /** Factor on the configured request rate of a cold upstream. */
  readonly coldFactor: number;
  readonly peerLoads: PeerLoads;
  /**
   * Called with the estimated and the measured work of an answered request, in
   * milliseconds at usual pace.
   */
  readonly onWork?: (work: WorkComparison) => void;
}

/** The parts of a request that the choice of an upstream depends on. */
export interface PlacementRequest {
  readonly service: RoutedService;
  readonly promptParts: readonly PromptPart[];
  /** Ids of the upstreams that the request was already sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Whether one of these has failed it, in contrast to not having run it. */
  readonly hasFailed: boolean;
  /** Software version that the upstream must have; undefined for any. */
  readonly softwareVersion: string | undefined;
  /** What its work depends on; absent if that is not to be estimated. */
  readonly work?: RequestWork;
  /** Versions that a rollout of the service allows; any by default. */
  readonly versions?: VersionRule;
  /** Whether only upstreams with a free slot may get it; any by default. */
  readonly slotRule?: SlotRule;
}

/** The upstream chosen for a request. */
export interface PlacementResult extends UpstreamChoice, PlacedWork {
  readonly entry: UpstreamEntry;
  /** Estimated requests at the upstream, over all routers. */
  readonly load: number;
  /**
   * `ip:port` of an upstream to copy the prompt's cache from; undefined if the
   * chosen one has it, or no other is known to.
   */
  readonly copyFrom: string | undefined;
  /**
   * Whether the upstream is brittle and may have no room, so that the request
   * uses this router's share of the rejections that it bears.
   */
  readonly usesRejection: boolean;
}

/** Why no upstream can be chosen. */
export interface PlacementFailure {
  readonly reason: "no-upstream" | "upstreams-full" | "upstreams-paused";
  /**
   * Time until an upstream takes a request again, in milliseconds; only if that
   * is known from the pauses or limits that the upstreams have stated.
   */
  readonly waitMs?: number;
}

/** How a request ended that was sent to an upstream. */
export interface SentRequestEnd extends WorkMeasures {
  readonly isAnswered: boolean;
}

/** Half-life of the mean durations of requests, in milliseconds. */
const DURATION_HALF_LIFE_MS = 10_000;
/** Durations before any request was answered, in milliseconds. */
const UNKNOWN_PLAIN_MS = 100;
const UNKNOWN_ENGINE_MS = 2_000;
/** Loads of no other routers. */
const NO_LOADS: LoadEstimate = { counts: new Map(), ageMs: 0 };
/** Shortest duration that is assumed, so that ages can be divided by it. */
const MIN_DURATION_MS = 1;

/** Shortest time between two removals of outdated records, in milliseconds. */
const PRUNE_INTERVAL_MS = 5_000;

/**
 * Returns the id of the last part that a prompt shares with other requests: the
 * last but one, since the last part belongs to the request itself. Returns the
 * only part of a prompt with one part, and undefined without any.
 */
export function getSharedPartId(
  parts: readonly PromptPart[],
): string | undefined {
  return (parts.at(-2) ?? parts.at(-1))?.id;
}

function getMean(values: readonly number[]): number {
  const total = values.reduce((sum, value) => sum + value, 0);
  return values.length === 0 ? 0 : total / values.length;
}

/** Chooses upstreams by the load, health and cold start recorded in it. */
export class Placement {
  readonly #options: Required<PlacementOptions>;
  readonly #loads = new UpstreamLoads();
  readonly #health = new UpstreamHealth();
  readonly #answers = new RecentAnswers();
  readonly #pace: UpstreamPace;
  readonly #pauses = new UpstreamPauses();
  readonly #rates: UpstreamRates;
  /** Rejections a second that brittle upstreams bear. */
  readonly #rejections: UpstreamRates;
  readonly #slotShares: SlotShares;
  /** Times until which brittle upstreams that rejected a request are avoided. */
  readonly #rejectedUntil = new Map<string, number>();
  readonly #cold: ColdAllowance;
  /** Durations of answered requests by service, in milliseconds. */
  readonly #durations = new DecayingMeans({
    halfLifeMs: DURATION_HALF_LIFE_MS,
  });
  readonly #work = new WorkTracker();
  #prunedAt = 0;

  constructor(options: PlacementOptions) {
    this.#options = { random: Math.random, onWork: () => {}, ...options };
    this.#pace = new UpstreamPace({
      getPeerPaces: (now) => options.peerLoads.mergePaces(now),
    });
    this.#cold = new ColdAllowance(options);
    this.#rates = new UpstreamRates(options);
    this.#rejections = new UpstreamRates(options);
    this.#slotShares = new SlotShares(options);
  }

  /** Chooses an upstream, or says why there is none. */
  find(request: PlacementRequest): PlacementResult | PlacementFailure {
    const { routing, clock, random } = this.#options;
    const now = clock();
    this.#prune(now);
    const usable = this.#listUsable(request, now);
    if (usable.length === 0) return { reason: "no-upstream" };
    const pausesMs = usable.map(({ entry }) =>
      this.#pauses.getRemaining(entry.id, now)
    );
    const waitMs = Math.min(...pausesMs);
    if (waitMs > 0) return { reason: "upstreams-paused", waitMs };
    const untried = usable.filter(({ entry }, index) =>
      !request.excluded.has(entry.id) && pausesMs[index] === 0
    );
    const live = routing.directory.listRegistered(request.service.name);
    const liveIds = live.map(({ entry }) => entry.id);
    const foreign = this.#getForeignLoads(now);
    const ranking = this.#rank(request, liveIds);
    const home = this.#findHome(ranking, now);
    const hasRanking = ranking !== undefined;
    const work = this.#work.describe(request.work, { hasRanking, home, now });
    const candidates = this.#createCandidates(request.service, {
      known: untried,
      now,
      foreign,
    });
    const candidateIds = new Set(candidates.map(({ id }) => id));
    const choice = this.#choose(candidates, request, {
      // Rendezvous hashing ranks a subset in the order of the full ranking, so
      // filtering gives the ranking of the candidates.
      ranking: ranking?.filter((id) => candidateIds.has(id)),
      meanLoad: getMean(
        this.#loads.estimate(liveIds, { now, foreign: foreign?.counts }),
      ),
      random,
      ...(work !== undefined && {
        work: {
          ...work,
          sumAhead: () =>
            this.#sumWork(request.service, {
              live,
              now,
              foreign,
              meanMs: work.meanRequest,
            }),
        },
      }),
      isOverflow: untried.some(({ entry }) =>
        !this.#hasRateRoom(entry.id, now)
      ) || candidates.some((each) =>
        this.#getBrittleRoom(each, now) === "none"
      ),
    });
    if (choice === undefined) return this.#explainFull(untried, now);
    const { entry } = untried.find(({ entry }) => entry.id === choice.id)!;
    const { load } = candidates.find(({ id }) => id === choice.id)!;
    const room = this.#getBrittleRoom(
      { ...choice, load, slots: entry.slots },
      now,
    );
    const usesRejection = room === "at-risk";
    const copyFrom = this.#findCopySource(request, {
      ranking,
      target: entry,
      now,
    });
    return {
      ...choice,
      entry,
      load,
      copyFrom,
      usesRejection,
      ...this.#work.place(request.work, {
        upstream: entry.id,
        isHome: entry.id === home,
        isCopied: copyFrom !== undefined,
        now,
      }),
    };
  }

  /** Returns the slots and the estimated load of a service, for admission. */
  getServiceLoad(service: string): ServiceLoad {
    const { routing, clock } = this.#options;
    const now = clock();
    const usable = routing.directory.listUsable(service, now);
    const ids = usable.map(({ entry }) => entry.id);
    const foreign = this.#getForeignLoads(now);
    const loads = this.#loads.estimate(ids, { now, foreign: foreign?.counts });
    const sum = { slots: 0, load: 0, own: 0, free: 0 };
    for (const [index, { entry: { id, slots } }] of usable.entries()) {
      sum.slots += slots;
      sum.load += loads[index]!;
      sum.own += this.#loads.getOwn(id);
      sum.free += Math.max(0, slots - loads[index]!);
    }
    const isFleetKnown = foreign !== undefined;
    return { ...sum, isFleetKnown, routers: routing.routers().size };
  }

  /** Returns the requests that this router has in flight, by upstream. */
  listOwnLoads(): LoadCounts {
    return this.#loads.listOwn();
  }

  /**
   * Returns the remaining work of this router's requests, in whole milliseconds
   * by upstream; undefined if no service uses it.
   */
  listOwnWork(): LoadCounts | undefined {
    const { routing, clock } = this.#options;
    const now = clock();
    const services = new Set(this.#work.listServices(now));
    if (services.size === 0) return undefined;
    const works = Object.entries(this.#loads.listOwnWork(now))
      .filter(([id]) => {
        const service = routing.directory.find(id)?.entry.service;
        return service !== undefined && services.has(service);
      });
    return Object.fromEntries(works);
  }

  /** Returns the mean paces of upstreams that have answered this router. */
  listOwnPaces(): PaceMeans {
    return this.#pace.listOwn(this.#options.clock());
  }

  /** Mean pace over the upstreams that state one. */
  get meanPace(): number {
    return this.#pace.getMean(this.#options.clock());
  }

  /** Returns the upstreams that this router can't connect to. */
  listUnreachable(): string[] {
    return this.#health.listUnreachable(this.#options.clock());
  }

  /** Whether `upstream` should be avoided, as far as this router knows. */
  isSuspect(upstream: string, service: RoutedService): boolean {
    return this.listSuspects(service).has(upstream);
  }

  /** Lists the upstreams of a service that should be avoided. */
  listSuspects(service: RoutedService): ReadonlySet<string> {
    const now = this.#options.clock();
    const { directory } = this.#options.routing;
    const ids = directory.listUsable(service.name, now)
      .map(({ entry }) => entry.id);
    return this.#findSuspects(service, { ids, now });
  }

  /** Records that a request was sent. */
  recordSent(place: PlacementResult): void {
    const { entry: { id: upstream, service }, usesRejection, workMs } = place;
    const now = this.#options.clock();
    if (usesRejection) this.#rejections.recordSent(upstream, now);
    this.#loads.recordSent(upstream, {
      key: place,
      workMs: workMs ?? this.#work.getMean(service, now) ?? 0,
      pace: this.#pace.get(upstream, now),
      sentAt: now,
    });
    this.#work.recordSent(upstream, { ...place, now });
    this.#cold.recordSent(upstream, now);
    this.#rates.recordSent(upstream, now);
  }

  /**
   * Records the limit that an upstream states, or that it states none, in the
   * response to a request sent at `sentAt`. Returns whether that is a change.
   */
  recordRate(
    upstream: string,
    { rate, sentAt }: { rate: StatedRate; sentAt: number },
  ): boolean {
    const now = this.#options.clock();
    return this.#rates.recordStatement(upstream, { rate, sentAt, now });
  }

  /** Records how many rejections a second an upstream bears, in the same way. */
  recordRejectionLimit(
    upstream: string,
    { rate, sentAt }: { rate: StatedRate; sentAt: number },
  ): boolean {
    const now = this.#options.clock();
    return this.#rejections.recordStatement(upstream, { rate, sentAt, now });
  }

  /** Records that an upstream has rejected a request for want of room. */
  recordRejected(upstream: string): void {
    const { routing, clock } = this.#options;
    const now = clock();
    this.#loads.recordRejected(upstream, now);
    const limit = this.#rejections.find(upstream, now);
    if (limit === undefined) return;
    this.#rejections.recordSent(upstream, now);
    const routers = routing.routers().size;
    const pauseMs = getRejectionPause({ limit, routers });
    this.#rejectedUntil.set(upstream, now + pauseMs);
  }

  /** Returns the rejections that upstreams bear, for the other routers. */
  createRejectionReports(): RateReport[] {
    return this.#rejections.createReports(this.#options.clock());
  }

  /** Merges what another router knows of that. */
  receiveRejectionReports(reports: readonly RateReport[]): void {
    this.#receiveReports(this.#rejections, reports);
  }

  /** Number of upstreams that have stated a limit. */
  get limitedCount(): number {
    return this.#rates.countLimited(this.#options.clock());
  }

  /** Returns the stated limits that other routers may not know. */
  createRateReports(): RateReport[] {
    return this.#rates.createReports(this.#options.clock());
  }

  /** Merges the limits that another router knows. */
  receiveRateReports(reports: readonly RateReport[]): void {
    this.#receiveReports(this.#rates, reports);
  }

  /** Records the load that an upstream reported in a response. */
  recordReportedLoad(upstream: string, load: UpstreamLoad): void {
    const now = this.#options.clock();
    this.#loads.recordReportedLoad(upstream, load, now);
    this.#pace.record(upstream, load.pace, now);
  }

  /** Records that a request that was sent has ended. */
  recordEnded(
    place: PlacementResult,
    { isAnswered, ...measures }: SentRequestEnd,
  ): void {
    const { entry: { id, service } } = place;
    const { clock, onWork } = this.#options;
    const now = clock();
    this.#loads.recordEnded(id, place);
    if (!isAnswered) return;
    this.#durations.record(service, measures.ms, now);
    const pace = measures.load?.pace ?? this.#pace.get(id, now);
    const work = this.#work.recordAnswered(place, { ...measures, pace, now });
    if (work !== undefined) onWork(work);
  }

  /** Returns the mean durations of requests by service, in milliseconds. */
  listDurations(): ReadonlyMap<string, number> {
    const now = this.#options.clock();
    return new Map(
      this.#durations.list(now)
        .map((service) => [service, this.#durations.find(service, now)!]),
    );
  }

  /** Records how a request ended, for the health of its upstream. */
  recordHealth(upstream: string, end: RequestEnd): void {
    const { routing, clock } = this.#options;
    const now = clock();
    this.#health.recordEnd(upstream, end, now);
    if (end === "answered") this.#answers.recordAnswer(upstream, now);
    const service = routing.directory.find(upstream)?.entry.service;
    if (end !== "failed" || service === undefined) return;
    this.#answers.recordFailure(service, now);
  }

  /** Returns the upstreams that have answered lately, for the other routers. */
  createAnswerReports(): AnswerReport[] {
    const { routing, clock } = this.#options;
    return this.#answers.createReports({
      now: clock(),
      getService: (id) => routing.directory.find(id)?.entry.service,
    });
  }

  /** Merges what another router knows of that. */
  receiveAnswerReports(reports: readonly AnswerReport[]): void {
    const { routing, clock } = this.#options;
    this.#answers.receiveReports(reports, {
      now: clock(),
      isKnown: (id) => routing.directory.find(id) !== undefined,
    });
  }

  /** Records that an upstream wants no request for `pauseMs` milliseconds. */
  recordPause(upstream: string, pauseMs: number): PauseRequest {
    const now = this.#options.clock();
    return this.#pauses.recordPause(upstream, { pauseMs, now });
  }

  /** Drops what was recorded of an upstream whose process is new. */
  forget(upstream: string): void {
    this.#health.forget(upstream);
    this.#answers.forget(upstream);
    this.#pace.forget(upstream);
    this.#work.forget(upstream);
    this.#pauses.forget(upstream);
    this.#rates.forget(upstream);
    this.#rejections.forget(upstream);
    this.#rejectedUntil.delete(upstream);
  }

  #receiveReports(rates: UpstreamRates, reports: readonly RateReport[]): void {
    const { routing, clock } = this.#options;
    rates.receiveReports(reports, {
      now: clock(),
      isKnown: (id) => routing.directory.find(id) !== undefined,
    });
  }

  #listUsable(request: PlacementRequest, now: number): KnownUpstream[] {
    const { service, softwareVersion, versions = ANY_VERSION, slotRule } =
      request;
    const { directory } = this.#options.routing;
    const usable = directory.listUsable(service.name, now);
    const allowed = filterByVersion(usable, versions);
    const bound = softwareVersion === undefined
      ? allowed
      : allowed.filter(({ entry }) =>
        directory.hasVersion(entry.id, softwareVersion, now)
      );
    return versions.kind === "canary" || slotRule === "free"
      ? this.#filterSpare(request, { known: bound, now })
      : bound;
  }

  /** Returns the upstreams that have a free slot, and no reason to avoid them. */
  #filterSpare(
    { service, excluded }: PlacementRequest,
    { known, now }: { known: readonly KnownUpstream[]; now: number },
  ): KnownUpstream[] {
    const foreign = this.#getForeignLoads(now);
    const spare = this.#createCandidates(service, { known, now, foreign })
      .filter(({ id, load, slots, hasRoom, isSuspect }) =>
        hasRoom && !isSuspect && load < slots && !excluded.has(id) &&
        this.#pauses.getRemaining(id, now) === 0
      )
      .map(({ id }) => id);
    return known.filter(({ entry }) => spare.includes(entry.id));
  }

  /**
   * Ranks upstreams for a prompt; undefined without a prompt or for a service
   * that is no model engine.
   */
  #rank(
    { service, promptParts }: PlacementRequest,
    ids: readonly string[],
  ): string[] | undefined {
    const key = getSharedPartId(promptParts);
    if (!service.isEngine || key === undefined) return undefined;
    return rankByRendezvous(key, ids, { hash: this.#options.hash });
  }

  #choose(
    candidates: readonly Candidate[],
    { excluded, hasFailed }: PlacementRequest,
    options: ChoiceOptions,
  ): UpstreamChoice | undefined {
    if (!hasFailed) return chooseUpstream(candidates, options);
    const now = this.#options.clock();
    return chooseSecondTry(candidates, {
      ...options,
      preferences: {
        hasAnswered: (id) => this.#answers.hasAnswered(id, now),
        getDistance: (id) => this.#getDistance(id, excluded),
      },
    });
  }

  /** Returns how far an upstream is from the nearest of `others`. */
  #getDistance(upstream: string, others: Iterable<string>): FailureDistance {
    const { directory } = this.#options.routing;
    const entry = directory.find(upstream)!.entry;
    const { host } = parseAddress(entry.address);
    let distance: FailureDistance = "other-domain";
    for (const id of others) {
      const other = directory.find(id)?.entry;
      if (other === undefined) continue;
      if (parseAddress(other.address).host === host) return "same-host";
      if (other.failureDomain === entry.failureDomain) distance = "same-domain";
    }
    return distance;
  }

  #findCopySource(
    { excluded }: PlacementRequest,
    { ranking, target, now }: {
      ranking: readonly string[] | undefined;
      target: UpstreamEntry;
      now: number;
    },
  ): string | undefined {
    if (ranking === undefined) return undefined;
    const { directory } = this.#options.routing;
    const suspects = this.#health.findSuspects(ranking, now);
    const holders = ranking.map((id) => {
      const { entry, startedAt } = directory.find(id)!;
      // What one version of the software caches may not fit another.
      const isReachable = directory.isInService(entry.failureDomain) &&
        !suspects.has(id) && !excluded.has(id) &&
        entry.softwareVersion === target.softwareVersion;
      return { id, ageMs: now - startedAt, isReachable };
    });
    const source = findCacheSource(holders, target.id);
    return source && directory.find(source)?.entry.address;
  }

  #createCandidates(
    service: RoutedService,
    { known, now, foreign }: {
      known: readonly KnownUpstream[];
      now: number;
      foreign: LoadEstimate | undefined;
    },
  ): Candidate[] {
    const ids = known.map(({ entry }) => entry.id);
    const loads = this.#loads.estimate(ids, { now, foreign: foreign?.counts });
    const paces = ids.map((id) => this.#pace.get(id, now));
    const expectedLoads = this.#loads.estimateExpected(
      known.map(({ entry: { id, slots } }, index) => ({
        id,
        slots,
        pace: paces[index]!,
      })),
      { now, foreign, durationMs: this.#getDuration(service, now) },
    );
    const suspects = this.#findSuspects(service, { ids, now });
    return known.map(({ entry, coldUntil }, index) => {
      const { id, slots, failureDomain } = entry;
      const load = loads[index]!;
      return {
        id,
        load,
        expectedLoad: expectedLoads[index]!,
        slots,
        pace: paces[index]!,
        isLocal: failureDomain === this.#options.failureDomain,
        hasRoom: this.#hasRateRoom(id, now) &&
          this.#getBrittleRoom({ id, load, slots }, now) !== "none" &&
          (now >= coldUntil || this.#hasColdRoom(service, id)),
        isSuspect: suspects.has(id),
      };
    });
  }

  /** Adds up the remaining work at the live upstreams of a service. */
  #sumWork(
    service: RoutedService,
    { live, now, foreign, meanMs }: {
      live: readonly KnownUpstream[];
      now: number;
      foreign: LoadEstimate | undefined;
      meanMs: number;
    },
  ): WorkAhead {
    const upstreams = live.map(({ entry: { id, slots } }) => ({
      id,
      slots,
      pace: this.#pace.get(id, now),
    }));
    const foreignWork = this.#getForeignWork(now);
    const durationMs = this.#getDuration(service, now);
    const expectedLoads = this.#loads.estimateExpected(upstreams, {
      now,
      foreign,
      durationMs,
    });
    const works = this.#loads.estimateWork(upstreams, {
      now,
      foreign: foreignWork,
      durationMs,
      meanMs,
      expectedLoads,
    });
    const byId = new Map(upstreams.map(({ id }, index) => [id, works[index]!]));
    return { mean: getMean(works), byId };
  }

  /** Returns the first in rank if it has had the requests of its prompts. */
  #findHome(
    ranking: readonly string[] | undefined,
    now: number,
  ): string | undefined {
    const known = ranking?.[0] === undefined
      ? undefined
      : this.#options.routing.directory.find(ranking[0]);
    const isHome = known !== undefined && isEstablished(now - known.startedAt);
    return isHome ? known.entry.id : undefined;
  }

  /** Returns the mean duration of a service's requests, in milliseconds. */
  #getDuration({ name, isEngine }: RoutedService, now: number): number {
    const unknownMs = isEngine ? UNKNOWN_ENGINE_MS : UNKNOWN_PLAIN_MS;
    return Math.max(
      MIN_DURATION_MS,
      this.#durations.find(name, now) ?? unknownMs,
    );
  }

  /** Returns the room at an upstream, which is free unless it is brittle. */
  #getBrittleRoom(
    { id, load, slots }: Pick<Candidate, "id" | "load" | "slots">,
    now: number,
  ): BrittleRoom {
    if (this.#rejections.find(id, now) === undefined) return "free";
    if (now < (this.#rejectedUntil.get(id) ?? -Infinity)) return "none";
    const routers = this.#options.routing.routers();
    return getBrittleRoom({
      load,
      own: this.#loads.getOwn(id),
      slots,
      share: this.#slotShares.getShare(id, { slots, routers, now }),
      hasAllowance: this.#rejections.hasRoom(id, { routers, now }),
    });
  }

  /**
   * Returns which of the upstreams `ids` of a service fail, or can't be reached
   * by this router or by others.
   */
  #findSuspects(
    service: RoutedService,
    { ids, now }: { ids: readonly string[]; now: number },
  ): Set<string> {
    const { routing, peerLoads } = this.#options;
    const suspects = this.#health.findSuspects(ids, now);
    const reported = findReportedOutages({
      upstreams: ids,
      reports: peerLoads.countUnreachable(now),
      hasAnswered: (id) => this.#health.hasAnsweredLately(id, now),
    });
    for (const id of reported) {
      suspects.add(id);
      // It may be restarting, so it counts as cold.
      const coldMs = service.coldStartMs;
      routing.directory.recordRestarted(id, { coldMs, now });
    }
    return suspects;
  }

  /**
   * Returns the requests of the other routers by upstream; undefined if too few
   * routers have reported lately.
   */
  #getForeignLoads(now: number): LoadEstimate | undefined {
    const { peerLoads } = this.#options;
    const others = this.#countOthers();
    if (!peerLoads.hasSufficientCoverage(others, now)) return undefined;
    const counts = peerLoads.estimateLoads({ others, now });
    return { counts, ageMs: peerLoads.getMeanAge(now) };
  }

  /** Returns the work of the other routers; undefined if too few state it. */
  #getForeignWork(now: number): LoadEstimate | undefined {
    const others = this.#countOthers();
    if (others === 0) return NO_LOADS;
    return this.#options.peerLoads.estimateWork({ others, now });
  }

  /** Returns the number of other routers. */
  #countOthers(): number {
    const { routing, self } = this.#options;
    const routers = routing.routers();
    return routers.size - (routers.has(self) ? 1 : 0);
  }

  #hasRateRoom(upstream: string, now: number): boolean {
    return this.#rates.hasRoom(upstream, {
      routers: this.#options.routing.routers(),
      now,
    });
  }

  /** Says when the first of `untried` that has stated a limit has room. */
  #explainFull(
    untried: readonly KnownUpstream[],
    now: number,
  ): PlacementFailure {
    const routers = this.#options.routing.routers();
    const waits = untried
      .map(({ entry }) => this.#rates.getWait(entry.id, { routers, now }))
      .filter((waitMs) => waitMs > 0 && Number.isFinite(waitMs));
    return {
      reason: "upstreams-full",
      ...(waits.length > 0 && { waitMs: Math.min(...waits) }),
    };
  }

  #hasColdRoom(service: RoutedService, upstream: string): boolean {
    if (service.coldRequestsPerSecond === 0) return true;
    const { routing, clock, coldFactor } = this.#options;
    return this.#cold.hasRoom(upstream, {
      bound: { perSecond: service.coldRequestsPerSecond * coldFactor },
      routers: [...routing.routers().keys()],
      now: clock(),
    });
  }

  #prune(now: number): void {
    if (now - this.#prunedAt < PRUNE_INTERVAL_MS) return;
    this.#prunedAt = now;
    this.#cold.prune(now);
    this.#pauses.prune(now);
    this.#rates.prune(now);
    this.#rejections.prune(now);
    this.#slotShares.prune(now);
    this.#durations.prune(now);
    this.#pace.prune(now);
    this.#work.prune(now);
    for (const [id, until] of this.#rejectedUntil) {
      if (now >= until) this.#rejectedUntil.delete(id);
    }
    const { directory } = this.#options.routing;
    this.#loads.prune((id) => directory.find(id) !== undefined);
  }
}
