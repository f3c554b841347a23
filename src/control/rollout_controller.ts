/**
 * Rollout controller: owns the orders to move services to a software version,
 * their records in the metadata store, the evidence about the target, and the
 * counts of requests in flight at other versions. It asks the policies what
 * follows, tells other routers, and writes the records.
 */
import type { Log } from "../log.ts";
import type { MetadataStore } from "../platform/metadata_store.ts";
import {
  RecentTries,
  type RecentTry,
  type TryEnd,
} from "../policy/recent_tries.ts";
import type { Hash } from "../policy/rendezvous.ts";
import { ANY_VERSION } from "../policy/version_rule.ts";
import {
  RolloutEvidence,
  type RolloutSide,
} from "../policy/rollout_evidence.ts";
import {
  CanaryShare,
  selectCanaryUpstreams,
} from "../policy/rollout_exposure.ts";
import {
  chooseVersionRule,
  planRollout,
  type RolloutState,
} from "../policy/rollout_plan.ts";
import {
  judgeRollout,
  type RolloutJudgement,
} from "../policy/rollout_verdict.ts";
import type {
  KnownUpstream,
  UpstreamDirectory,
} from "../policy/upstream_directory.ts";
import type {
  Instant,
  RolloutOrder,
  RolloutPhase,
  RolloutRecord,
  UpstreamEntry,
  VersionRule,
} from "../routing/types.ts";
import type { ReportReceiver } from "./peer_exchange.ts";
import {
  type FindingsReport,
  type KnownOrder,
  MAX_ROLLOUT_ORDERS,
} from "./peer_messages.ts";
import type { RolloutChange } from "./rollout_items.ts";
import type { RolloutStore } from "./routing_controller.ts";
import { ServiceRollout, type Verdict } from "./service_rollout.ts";

/** Longest and usual times that the requests of a service take. */
export interface ServiceTimes {
  /** Longest timeout of its routes, in milliseconds. */
  readonly timeoutMs: number;
  /** Time in which nearly all of them end, in milliseconds. */
  readonly usualMs: number;
}

/** Called with what happens to rollouts, for metrics. */
export interface RolloutEvents {
  /** Called when a try of a service with a running order is sent. */
  onTry(service: string, side: RolloutSide): void;
  /** Called when the verdict on a target changes. */
  onVerdict(service: string, verdict: Verdict): void;
}

/** Options of `createRolloutController`. */
export interface RolloutControllerOptions {
  /** Name of this router. */
  readonly self: string;
  /** Wall-clock start time of this process, in milliseconds. */
  readonly startedAt: number;
  readonly directory: UpstreamDirectory;
  readonly store: Pick<MetadataStore, "writeRollout">;
  readonly now: () => Instant;
  readonly hash: Hash;
  readonly log: Log;
  /** Maximum share of a service's requests at the target during the trial. */
  readonly canaryShare: number;
  /** Maximum use of a bad target after the responses that show it, in ms. */
  readonly rollbackMs: number;
  /** Lists the registered routers, this one included. */
  readonly listRouters: () => readonly string[];
  /** Lists the relays, this router included if it is one. */
  readonly listRelays: () => readonly string[];
  /** Time since the store confirmed this router's view, in milliseconds. */
  readonly getViewAgeMs: () => number;
  /** Lists the upstreams of a service that should be avoided. */
  readonly listSuspects: (service: string) => ReadonlySet<string>;
  readonly getServiceTimes: (service: string) => ServiceTimes;
  readonly events: RolloutEvents;
  /** Uniform in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
}

/** What the rule for a request depends on. */
export interface RuleRequest {
  readonly route: string;
  /** Version that the request is bound to; undefined for any. */
  readonly boundVersion: string | undefined;
  /** Whether the target's share of the trial may be used; true by default. */
  readonly mayUseCredit?: boolean;
}

/** The state of a rollout, for metrics. */
export interface RolloutStatus {
  readonly service: string;
  readonly target: string;
  readonly phase: RolloutPhase;
}

/** Follows rollouts, and says which versions a request may use. */
export interface RolloutController extends RolloutStore {
  getVersionRule(service: string, request: RuleRequest): VersionRule;
  /**
   * Records that a try was sent. `isFirst` tells whether it is the first one of
   * its request at any router.
   */
  recordSent(
    entry: UpstreamEntry,
    options: { readonly route: string; readonly isFirst: boolean },
  ): RecentTry;
  /** Records how a try ended. */
  recordTry(sent: RecentTry, result: TryEnd): void;
  /** Returns what other routers may not know. */
  createReport(receiver: ReportReceiver): FindingsReport;
  /** Merges what `router` knows. */
  receiveReport(
    report: FindingsReport,
    from: { readonly router: string },
  ): void;
  listStatus(): RolloutStatus[];
}

/**
 * Part of the rollback time after which a router that has heard nothing stops
 * using the target. The rest is for the evidence to arrive and to be judged.
 */
const STALE_PART = 0.3;
const MAX_STALE_MS = 1_500;
/** An upstream is slow for this long after its start, in milliseconds. */
const SLOW_START_MS = 3_000;
/** As in `version_recorder.ts`. */
const RANK_DELAY_MS = 1_000;
/** Time after a write that was not accepted until the next one, in ms. */
const WRITE_PAUSE_MS = 1_000;
/** Shortest interval of judgements on a target, in milliseconds. */
const JUDGE_INTERVAL_MS = 200;
/** Time for which the rows of a router that has asked are passed on, in ms. */
const ASKED_LATELY_MS = 10_000;
/** Receiver that stands for all relays, which get the same message. */
const ALL_RELAYS = "";

class StoreRolloutController implements RolloutController {
  readonly #options: Required<RolloutControllerOptions>;
  readonly #staleMs: number;
  readonly #rollouts = new Map<string, ServiceRollout>();
  readonly #evidence: RolloutEvidence;
  /** Tries by service. */
  readonly #tries = new Map<string, RecentTries>();
  /** Monotonic times at which routers that are no relays have asked, in ms. */
  readonly #askedAt = new Map<string, number>();
  /** When routers have confirmed the order of a service. */
  readonly #confirmedAt = new Map<string, Map<string, Instant>>();

  constructor(options: Required<RolloutControllerOptions>) {
    this.#options = options;
    this.#evidence = new RolloutEvidence(options);
    this.#staleMs = Math.min(MAX_STALE_MS, options.rollbackMs * STALE_PART);
  }

  receive(change: RolloutChange): void {
    switch (change.kind) {
      case "rollout-order":
        this.#receiveOrder(change.order, change.ageMs);
        break;
      case "rollout-order-gone":
        this.#removeOrder(change.service);
        break;
      case "rollout-record":
        this.#receiveRecord(change.record);
        break;
      case "rollout-record-gone":
        this.#rollouts.get(change.service)?.removeRecord();
        break;
    }
    this.#dropEnded();
  }

  recordStoreRestored(): void {
    for (const rollout of this.#rollouts.values()) {
      rollout.recordStoreRestored();
    }
  }

  #receiveOrder(order: RolloutOrder, ageMs: number | undefined): void {
    const { log, now } = this.#options;
    const rollout = this.#open(order.service);
    const isNew = rollout.receiveOrder(order, {
      ageMs,
      now: now(),
      share: this.#createShare(),
    });
    if (!isNew) return;
    this.#confirmedAt.delete(order.service);
    this.#countEarlierTries(rollout);
    const { revision, ...fields } = order;
    log.info("A rollout is ordered.", {
      ...fields,
      order: revision,
      ageMs,
      untested: [...rollout.untested],
    });
  }

  /** Counts the tries that were sent after the order and before it arrived. */
  #countEarlierTries({ service, order, share, countedSince }: ServiceRollout) {
    const tries = this.#tries.get(service)?.listSince(countedSince) ?? [];
    for (const sent of tries) {
      if (sent.version === order!.target) share.recordSent(sent.route);
      this.#recordEvidence(sent);
    }
  }

  #removeOrder(service: string): void {
    const rollout = this.#rollouts.get(service);
    if (rollout?.order === undefined) return;
    const { target, revision } = rollout.order;
    const { phase } = rollout;
    this.#options.log.info("The order of a rollout was removed.", {
      service,
      target,
      order: revision,
      phase,
    });
    rollout.removeOrder();
  }

  #receiveRecord(record: RolloutRecord): void {
    const rollout = this.#open(record.service);
    const change = rollout.receiveRecord(record, this.#options.now());
    if (change === undefined) return;
    const known = this.#options.directory.listRegistered(record.service);
    rollout.listBinding(listVersions(known));
    this.#options.log.info("A rollout has a new phase.", {
      service: record.service,
      target: record.target,
      order: record.order,
      phase: record.phase,
      before: change.before,
      reason: record.reason,
      ...this.#countEvidence(record.service, record.order),
    });
  }

  #open(service: string): ServiceRollout {
    let rollout = this.#rollouts.get(service);
    if (rollout === undefined) {
      rollout = new ServiceRollout(service, this.#createShare());
      this.#rollouts.set(service, rollout);
    }
    return rollout;
  }

  #createShare(): CanaryShare {
    const { canaryShare: share, random } = this.#options;
    return new CanaryShare({ share, random });
  }

  /** Drops what belongs to no order or record any more. */
  #dropEnded(): void {
    for (const [service, rollout] of this.#rollouts) {
      if (rollout.isEmpty) this.#rollouts.delete(service);
    }
    const orders = this.#listRunning().map(({ order }) => order!);
    this.#evidence.retainOnly(orders);
  }

  #listRunning(): ServiceRollout[] {
    return [...this.#rollouts.values()].filter(({ isRunning }) => isRunning);
  }

  getVersionRule(
    service: string,
    { route, boundVersion, mayUseCredit = true }: RuleRequest,
  ): VersionRule {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) return ANY_VERSION;
    const { order, latest, phase, isBad, share } = rollout;
    const known = this.#options.directory.listRegistered(service);
    this.#updateOthers(rollout, known);
    const versions = rollout.listBinding(listVersions(known));
    // Versions that came after the rollout are not bound by it.
    if (phase === "complete" && !versions.includes(latest!.target)) {
      return ANY_VERSION;
    }
    const isStale = this.#isStale(rollout);
    const isBound = order !== undefined && boundVersion === order.target;
    const hasCredit = mayUseCredit && share.hasCredit(route, { isBound });
    return chooseVersionRule({
      order,
      record: latest,
      hasCredit,
      isBad,
      isStale,
      canaryUpstreams: hasCredit && !isBad && !isStale
        ? this.#selectCanaries(rollout, known)
        : [],
      versions,
      boundVersion,
      hadOthers: rollout.hadOthers,
      untested: [...rollout.untested],
      ...(phase === "promoting" && {
        isTargetUsable: this.#isUsable(service, latest!.target),
      }),
    });
  }

  #isUsable(service: string, version: string): boolean {
    const { directory, now } = this.#options;
    return directory.listUsable(service, now().steady)
      .some(({ entry }) => entry.softwareVersion === version);
  }

  #selectCanaries(
    { service, order }: ServiceRollout,
    known: readonly KnownUpstream[],
  ): string[] {
    const { directory, now, hash, canaryShare, listSuspects } = this.#options;
    if (order === undefined) return [];
    const { steady } = now();
    const suspects = listSuspects(service);
    const { target } = order;
    const ids = known.filter(({ entry }) => entry.softwareVersion === target)
      .map(({ entry }) => entry.id);
    return selectCanaryUpstreams(ids, {
      service,
      target,
      share: canaryShare,
      hash,
      isSkipped: (id) =>
        suspects.has(id) || !directory.isUsable(id, steady) ||
        steady < directory.find(id)!.coldUntil,
    });
  }

  /** Records whether tested versions other than the target are there. */
  #updateOthers(
    rollout: ServiceRollout,
    known: readonly KnownUpstream[],
  ): void {
    if (rollout.hadOthers) return;
    rollout.hadOthers = known.some((each) => isTestedOther(each, rollout));
  }

  /**
   * Whether this router could not have learned of a verdict: neither the store
   * nor, while that does not answer, enough relays have confirmed the order.
   */
  #isStale({ service, order }: ServiceRollout): boolean {
    const { now, getViewAgeMs, listRelays, self } = this.#options;
    if (order === undefined || getViewAgeMs() <= this.#staleMs) return false;
    const instant = now();
    const confirmed = this.#confirmedAt.get(service);
    const relays = listRelays();
    const recent = relays.filter((relay) =>
      relay === self ||
      getAgeMs(confirmed?.get(relay), instant) <= this.#staleMs
    );
    // A relay that is cut off from most others misses what they learn; one that
    // is not has confirmed the order to its followers.
    return relays.includes(self)
      ? recent.length * 2 <= relays.length
      : recent.length === 0;
  }

  recordSent(
    { id: upstream, service, softwareVersion: version = "" }: UpstreamEntry,
    { route, isFirst }: { readonly route: string; readonly isFirst: boolean },
  ): RecentTry {
    const { steady: sentAt } = this.#options.now();
    const sent = { service, upstream, route, version, sentAt };
    const tries = this.#tries.get(service) ?? new RecentTries();
    this.#tries.set(service, tries);
    tries.recordSent(sent);
    const rollout = this.#rollouts.get(service);
    if (rollout?.isRunning !== true) return sent;
    const side = getSide(sent, rollout.order!);
    if (side === "target") rollout.share.recordSent(route);
    // Only requests that are sent count, since the share is one of those that
    // reach the service.
    if (isFirst) rollout.share.recordRequest(route);
    this.#options.events.onTry(service, side);
    return sent;
  }

  recordTry(sent: RecentTry, result: TryEnd): void {
    this.#tries.get(sent.service)?.recordEnd(sent, result);
    this.#recordEvidence(sent);
  }

  /** Records a try that has ended, if it was sent since a running order. */
  #recordEvidence(sent: RecentTry): void {
    const { service, route, sentAt, result } = sent;
    const rollout = this.#rollouts.get(service);
    if (rollout?.isRunning !== true || sentAt < rollout.countedSince) return;
    if (result?.end === undefined) return;
    const { end, durationMs } = result;
    this.#evidence.recordTry({
      service,
      order: rollout.order!.revision,
      side: getSide(sent, rollout.order!),
      route,
      end,
      durationMs,
      isWarm: this.#wasWarm(sent),
      now: this.#options.now().steady,
    });
  }

  #wasWarm({ upstream, sentAt }: RecentTry): boolean {
    const known = this.#options.directory.find(upstream);
    return known === undefined ||
      sentAt >= known.coldUntil && sentAt >= known.startedAt + SLOW_START_MS;
  }

  createReport({ router, isFollower }: ReportReceiver): FindingsReport {
    const running = this.#listRunning();
    if (running.length === 0) return {};
    const { self, now } = this.#options;
    const { steady } = now();
    for (const rollout of running) this.#update(rollout);
    const rows = this.#evidence.createRows(steady, {
      receiver: router ?? ALL_RELAYS,
      includes: (each) =>
        each === self || !isFollower && this.#passesOn(each, steady),
    });
    const current = running.filter((each) => !this.#isStale(each))
      .slice(0, MAX_ROLLOUT_ORDERS)
      .map(({ service, order }) => ({ service, order: order!.revision }));
    return {
      ...(rows.length > 0 && { rollouts: rows }),
      ...(current.length > 0 && { rolloutOrders: current }),
    };
  }

  /**
   * Whether the rows of a router reach other relays through this one: those of
   * routers that ask it, and of routers that are gone.
   */
  #passesOn(router: string, steady: number): boolean {
    const { listRelays, listRouters } = this.#options;
    if (listRelays().includes(router)) return false;
    const askedAt = this.#askedAt.get(router) ?? -Infinity;
    return steady - askedAt <= ASKED_LATELY_MS ||
      !listRouters().includes(router);
  }

  receiveReport(
    { rollouts = [], rolloutOrders = [] }: FindingsReport,
    { router }: { readonly router: string },
  ): void {
    if (this.#rollouts.size === 0) return;
    const { now } = this.#options;
    const instant = now();
    this.#askedAt.set(router, instant.steady);
    const known = rollouts.filter((row) => this.#isRunningOrder(row));
    this.#evidence.receiveRows(known, instant.steady);
    for (const each of rolloutOrders) {
      if (!this.#isRunningOrder(each)) continue;
      const confirmed = this.#confirmedAt.get(each.service) ?? new Map();
      this.#confirmedAt.set(each.service, confirmed.set(router, instant));
    }
    for (const rollout of this.#listRunning()) this.#findBadStatement(rollout);
  }

  #isRunningOrder({ service, order }: KnownOrder): boolean {
    const rollout = this.#rollouts.get(service);
    return rollout?.isRunning === true && rollout.order!.revision === order;
  }

  #findBadStatement(rollout: ServiceRollout): void {
    const { service, order, isBad } = rollout;
    if (isBad || !this.#evidence.isBad(service, order!.revision)) return;
    this.#recordVerdict(rollout, {
      verdict: "bad",
      reason: "another router has judged the target",
    });
  }

  /** Judges the target, and records what this router states of itself. */
  #update(rollout: ServiceRollout): void {
    const { now } = this.#options;
    const { steady } = now();
    const { service, order, promotingSince, isBad } = rollout;
    const { revision, target } = order!;
    const isDue = steady - rollout.judgedAt >= JUDGE_INTERVAL_MS;
    if (!isBad && isDue) {
      rollout.judgedAt = steady;
      const routes = this.#evidence.summarize(service, revision);
      this.#recordVerdict(rollout, judgeRollout(routes));
    }
    this.#evidence.recordStatement({
      service,
      order: revision,
      othersInFlight: this.#tries.get(service)?.countOthersInFlight(target) ??
        0,
      ...(promotingSince !== undefined && {
        promotingMs: steady - promotingSince,
      }),
      isBad: rollout.isBad,
      now: steady,
    });
  }

  #recordVerdict(
    rollout: ServiceRollout,
    { verdict, reason }: RolloutJudgement,
  ): void {
    const { log, events } = this.#options;
    const { service, order } = rollout;
    const before = rollout.verdict;
    rollout.recordVerdict(verdict);
    if (verdict === before) return;
    events.onVerdict(service, verdict);
    const level = verdict === "bad" ? "warn" : "info";
    log[level]("The verdict on the target of a rollout has changed.", {
      service,
      target: order!.target,
      order: order!.revision,
      verdict,
      before,
      reason,
      ...this.#countEvidence(service, order!.revision),
    });
  }

  #countEvidence(service: string, order: number) {
    const periods = this.#evidence.summarize(service, order)
      .flatMap((route) => route.periods);
    const count = (side: RolloutSide, end: "answered" | "failed") =>
      periods.reduce((sum, period) => sum + period[side][end], 0);
    return {
      targetAnswered: count("target", "answered"),
      targetFailed: count("target", "failed"),
      otherAnswered: count("other", "answered"),
      otherFailed: count("other", "failed"),
    };
  }

  async writeChanges(rank: number): Promise<void> {
    for (const rollout of [...this.#rollouts.values()]) {
      if (rollout.isRunning) this.#update(rollout);
      const record = this.#planRecord(rollout);
      const { steady } = this.#options.now();
      rollout.setDue(record, steady);
      if (record === undefined) continue;
      const isTurn = steady - rollout.dueSince! >= rank * RANK_DELAY_MS;
      if (isTurn && steady >= rollout.pausedUntil) {
        await this.#write(rollout, record);
      }
    }
  }

  /** Returns the record that the store lacks; undefined if it lacks none. */
  #planRecord(rollout: ServiceRollout): RolloutRecord | undefined {
    const { now } = this.#options;
    const { service, order, latest } = rollout;
    const instant = now();
    const elapsedMs = rollout.getElapsedMs(instant);
    const step = planRollout(this.#createState(rollout, instant));
    if (step === undefined) return rollout.isStoreBehind ? latest : undefined;
    const isOfOrder = order === undefined || latest?.order === order.revision;
    const target = order?.target ?? latest?.target;
    if (target === undefined) return undefined;
    return {
      service,
      target,
      ...step,
      order: order?.revision ?? latest!.order,
      startedAt: isOfOrder && latest !== undefined
        ? latest.startedAt
        : Math.round(Math.max(0, instant.wall - elapsedMs)),
      revision: 0,
    };
  }

  #createState(rollout: ServiceRollout, now: Instant): RolloutState {
    const { directory } = this.#options;
    const { service, order, latest, promotingSince } = rollout;
    const known = directory.listRegistered(service);
    this.#updateOthers(rollout, known);
    const { timeoutMs, usualMs } = this.#options.getServiceTimes(service);
    return {
      order,
      record: latest,
      verdict: rollout.verdict,
      elapsedMs: rollout.getElapsedMs(now),
      moveMs: Math.min(timeoutMs, usualMs),
      isOthersIdle: order !== undefined && promotingSince !== undefined &&
        this.#evidence.isOthersIdle(service, {
          order: order.revision,
          routers: this.#options.listRouters(),
          since: promotingSince,
          maxAgeMs: timeoutMs,
          now: now.steady,
        }),
      targetUpstreams:
        known.filter(({ entry }) => entry.softwareVersion === order?.target)
          .length,
      otherUpstreams: known.filter((each) => isTestedOther(each, rollout))
        .length,
      hadOthers: rollout.hadOthers,
    };
  }

  async #write(rollout: ServiceRollout, record: RolloutRecord): Promise<void> {
    const { store, log, now } = this.#options;
    const { service, target, order, phase, reason } = record;
    const expected = {
      order: rollout.order?.revision ?? 0,
      record: rollout.stored?.revision ?? 0,
    };
    const written = await store.writeRollout(record, { expected });
    const fields = {
      service,
      target,
      order,
      phase,
      reason,
      ...this.#countEvidence(service, order),
    };
    if (written.ok && written.val.kind === "written") {
      log.info("Wrote the phase of a rollout.", fields);
      this.#receiveRecord({ ...record, revision: written.val.revision });
      this.#dropEnded();
      return;
    }
    // What the store holds is read before the next write: the answer may have
    // been lost, or another router has written.
    rollout.pausedUntil = now().steady + WRITE_PAUSE_MS;
    const cause = written.ok ? "the items have changed" : written.val.message;
    log.warn("The phase of a rollout was not written.", { ...fields, cause });
  }

  listStatus(): RolloutStatus[] {
    return [...this.#rollouts.values()].flatMap((rollout) => {
      const { service, order, latest, phase = "trial" } = rollout;
      const target = order?.target ?? latest?.target;
      return target === undefined ? [] : [{ service, target, phase }];
    });
  }
}

/** The monotonic clock stands still while the host is suspended. */
function getAgeMs(at: Instant | undefined, now: Instant): number {
  if (at === undefined) return Infinity;
  return Math.max(now.steady - at.steady, now.wall - at.wall);
}

function getSide(
  { version }: RecentTry,
  { target }: RolloutOrder,
): RolloutSide {
  return version === target ? "target" : "other";
}

function listVersions(known: readonly KnownUpstream[]): string[] {
  const versions = known.map(({ entry }) => entry.softwareVersion ?? "");
  return [...new Set(versions)];
}

/** Whether an upstream has a version other than the target and the untested. */
function isTestedOther(
  { entry: { softwareVersion = "" } }: KnownUpstream,
  { order, untested }: ServiceRollout,
): boolean {
  return softwareVersion !== order?.target && !untested.has(softwareVersion);
}

/** Creates a rollout controller. */
export function createRolloutController(
  options: RolloutControllerOptions,
): RolloutController {
  return new StoreRolloutController({ random: Math.random, ...options });
}
