/**
 * Last filter of the ingress: sends the request to an upstream, retries at
 * another where that is allowed, and returns the response to the caller.
 */
import { createRefusal, type Refusal } from "../diagnostics.ts";
import type { RoutingView } from "../control/routing_controller.ts";
import { encodeUpstreamHeaders } from "../platform/message_headers.ts";
import { AttemptPlan } from "../policy/attempt_plan.ts";
import type { MemoryBudget } from "../policy/memory_budget.ts";
import { createRequestDigest } from "../policy/request_digest.ts";
import { ConnectionTrust } from "../policy/connection_trust.ts";
import type { Hash } from "../policy/rendezvous.ts";
import { createUnknownService, pickTarget } from "../policy/route_table.ts";
import type {
  QuarantinedSubject,
  RequestSubjects,
} from "../policy/crash_quarantine.ts";
import type { RetryBudget } from "../policy/retry_budget.ts";
import { getSilenceTimeoutMs, getSlotRule } from "../policy/silent_tries.ts";
import type {
  RoutedService,
  ServiceRoute,
  UpstreamEntry,
} from "../routing/types.ts";
import { decodeServed, setServedHeaders } from "../transport/router_hop.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
  TryRecord,
} from "./ingress_exchange.ts";
import { AnswerEndChecks } from "./answer_end_checks.ts";
import type { CrashWatch } from "./crash_watch.ts";
import type { GraceEnd } from "./grace_end.ts";
import type { LinkWatch } from "./link_watch.ts";
import {
  type EndedTry,
  OpenTries,
  type OpenTry,
  type TryLimits,
} from "./open_tries.ts";
import {
  getSharedPartId,
  type Placement,
  type PlacementFailure,
  type PlacementResult,
} from "./placement.ts";
import { refuseRetryable } from "./refusals.ts";
import {
  type ForwardTarget,
  isRefusedForRouter,
  MAX_FORWARD_TRIES,
  type RouterForwarding,
} from "./router_forwarding.ts";
import { createRouterTry } from "./router_try.ts";
import { createWorkRequest } from "./work_request.ts";
import { ProcessChecks } from "./process_check.ts";
import type { RolloutWatch } from "./rollout_watch.ts";
import { StreamBinding, type StreamBindingOptions } from "./stream_binding.ts";
import { StreamRelay } from "./stream_relay.ts";
import {
  isAnswered,
  isPossibleCrash,
  isSurvived,
  recordTryEnd,
  type TryOutcome,
} from "./try_end.ts";
import {
  UpstreamNotices,
  type UpstreamNoticesOptions,
} from "./upstream_notices.ts";
import { type TryResult, UpstreamTry } from "./upstream_try.ts";

/** Options of the filter. */
export interface ForwardFilterOptions {
  readonly routing: RoutingView;
  readonly placement: Placement;
  readonly connections: UpstreamConnections;
  readonly memory: MemoryBudget;
  readonly crashes: CrashWatch;
  readonly links: LinkWatch;
  readonly rollouts: RolloutWatch;
  readonly routers: RouterForwarding;
  readonly streams: StreamBindingOptions["streams"];
  readonly retries: RetryBudget;
  readonly graceEnd: GraceEnd;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /**
   * Time since the view of the upstreams was last confirmed as current, in
   * milliseconds.
   */
  readonly getViewAgeMs: () => number;
  readonly hash: Hash;
  /** Called when a try of `service` has ended, with how it ended. */
  readonly onTry: (service: string, end: string) => void;
  /** Called when an upstream states something of itself in an answer. */
  readonly onNotice: UpstreamNoticesOptions["onNotice"];
}

/**
 * Longest idle time of a connection that is reused for a request that must not
 * run twice, in milliseconds. The upstream may be closing a connection that was
 * idle for longer, and then it is unknown whether the request has run.
 */
const MAX_IDLE_NON_REPEATABLE_MS = 2_000;
/** The same for a request that may run more than once, in milliseconds. */
const MAX_IDLE_REPEATABLE_MS = 8_500;
/** Time before the deadline below which no try can succeed, in milliseconds. */
const MIN_REMAINING_MS = 10;

/** Length to which the id of a prompt part is cut in the detail of a refusal. */
const MAX_DETAIL_PART_LENGTH = 32;

/** Sends requests to upstreams; the last filter, so it never calls `next`. */
export class ForwardFilter implements IngressFilter {
  readonly name = "forward";
  readonly #options: ForwardFilterOptions;
  readonly #processes: ProcessChecks;
  readonly #trust = new ConnectionTrust();
  readonly #endChecks: AnswerEndChecks;
  readonly #notices: UpstreamNotices;

  constructor(options: ForwardFilterOptions) {
    this.#options = options;
    this.#notices = new UpstreamNotices(options);
    this.#endChecks = new AnswerEndChecks(options);
    this.#processes = new ProcessChecks(options);
  }

  handle(exchange: IngressExchange): Promise<IngressOutcome> {
    const binding = new StreamBinding(exchange, {
      ...this.#options,
      processes: this.#processes,
      onOtherProcess: (upstream) =>
        this.#options.onNotice("other-process", { upstream }),
    });
    const forwarding = new Forwarding(exchange, {
      ...this.#options,
      binding,
      notices: this.#notices,
      trust: this.#trust,
      endChecks: this.#endChecks,
    });
    return forwarding.run();
  }
}

/** Rounds an estimated load for the log. */
function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}

/** Options of a `Forwarding`. */
interface ForwardingOptions extends ForwardFilterOptions {
  readonly binding: StreamBinding;
  readonly notices: UpstreamNotices;
  readonly trust: ConnectionTrust;
  readonly endChecks: AnswerEndChecks;
}

/** Sends one request, with all its tries. */
class Forwarding {
  readonly #exchange: IngressExchange;
  readonly #options: ForwardingOptions;
  readonly #route: ServiceRoute;
  /** Fixed before the first try. */
  #service: RoutedService;
  readonly #plan: AttemptPlan;
  readonly #tries = new OpenTries({ onLeft: () => this.#plan.recordLeft() });
  readonly #relay: StreamRelay;
  readonly #excluded = new Set<string>();
  /** Addresses that the request was sent to. */
  readonly #addresses = new Set<string>();
  /** Routers that the request was sent to. */
  readonly #triedRouters = new Set<string>();
  /** Whether the upstreams were not reached, though the links count as up. */
  #needsRouter = false;
  /** Whether no router can serve it, so that open connections are used. */
  #isDirectOnly = false;
  /** Whether it counts in the retry budget of this router or another. */
  #isCounted: boolean;
  readonly #subjects: RequestSubjects;
  #digest: string | undefined;
  readonly #binding: StreamBinding;

  constructor(exchange: IngressExchange, options: ForwardingOptions) {
    const { route, traits, table, response, workspace } = exchange;
    const key = getSharedPartId(traits.promptParts) ?? traits.requestId;
    const name = pickTarget(route!, key, options);
    this.#exchange = exchange;
    this.#options = options;
    this.#route = route!;
    this.#service = table.findService(name) ?? createUnknownService(name);
    const { triesLeft = Infinity, isCounted = false } = exchange.forwarded ??
      {};
    this.#plan = new AttemptPlan({
      ...route!,
      maxAttempts: Math.min(route!.maxAttempts, triesLeft),
    });
    this.#isCounted = isCounted;
    this.#binding = options.binding;
    this.#subjects = {
      workspace: workspace?.name ?? "",
      parts: traits.promptParts.map(({ id }) => id),
      getDigest: () => this.#digest ??= this.#createDigest(),
    };
    this.#relay = new StreamRelay(response, {
      lastEventId: traits.lastEventId,
      clock: options.clock,
      memory: options.memory,
    });
  }

  async run(): Promise<IngressOutcome> {
    if (this.#binding.isResumption && !await this.#findOrigin()) {
      if (this.#isCutByStop) return this.#endStopped();
      return this.#endUnknownStream();
    }
    try {
      return await this.#tryUpstreams();
    } finally {
      this.#binding.recordEnd(this.#relay.position);
    }
  }

  async #tryUpstreams(): Promise<IngressOutcome> {
    const { graceEnd } = this.#options;
    for (;;) {
      if (this.#exchange.response.destroyed) return { kind: "caller-left" };
      if (this.#isCutByStop) return this.#endStopped();
      if (!this.#relay.canContinue) return this.#abortStream();
      if (this.#getRemainingMs() < MIN_REMAINING_MS) return this.#endTimedOut();
      const subject = this.#options.crashes.find(this.#subjects);
      if (subject !== undefined) return this.#endQuarantined(subject);
      if (this.#isRouterNeeded()) {
        const router = this.#findRouter();
        if (router !== undefined) this.#openRouterTry(router);
        else if (this.#mayTryDirectly()) continue;
        else return this.#endUnreachable();
      } else {
        this.#countRequest();
        await graceEnd.limit(this.#binding.untilSettled());
        if (this.#isCutByStop) continue;
        const place = this.#findPlace();
        if (!("entry" in place)) return this.#endWithoutUpstream(place);
        const { entry } = place;
        if (this.#binding.needsProcessCheck(entry, this.#service)) {
          const check = this.#binding.checkProcess(entry, this.#service);
          await graceEnd.limit(check);
          // The choice may be outdated by now.
          continue;
        }
        this.#openUpstreamTry(place);
      }
      const outcome = await this.#untilDecided();
      if (outcome !== undefined) return outcome;
    }
  }

  /**
   * Waits for the open tries, and opens others beside them while they are silent.
   * Returns undefined once all have failed, if the request is to be tried again.
   */
  async #untilDecided(): Promise<IngressOutcome | undefined> {
    for (;;) {
      const ended = await this.#tries.next();
      const isLast = this.#tries.size === 0;
      if (ended !== undefined && (isLast || this.#isDecisive(ended.outcome))) {
        this.#tries.leaveAll();
        return this.#handleEnd(ended);
      }
      if (ended !== undefined) this.#recordUnusedTry(ended);
      if (this.#tries.areSilent) this.#openTryBeside();
    }
  }

  /** Whether the end of a try decides on the request while others are open. */
  #isDecisive({ kind }: TryOutcome): boolean {
    // Only events can follow those that the caller has.
    if (kind === "answered") return !this.#relay.isStarted;
    return kind !== "ended" && kind !== "router-refused";
  }

  /** Returns the outcome of the last try; undefined to try again. */
  #handleEnd({ target, outcome }: EndedTry): IngressOutcome | undefined {
    if (target.kind === "upstream") {
      if ("answer" in outcome) this.#recordServed(target.entry);
      return outcome.kind === "ended"
        ? this.#handleFailedTry(outcome)
        : this.#endTry(outcome);
    }
    if (outcome.kind === "ended") {
      return this.#handleFailedForward(target.router, outcome);
    }
    if (!isRefusedForRouter(outcome)) return this.#endTry(outcome);
    this.#options.routers.recordFailure(target.router.name);
    return undefined;
  }

  /** Records a try that has failed while others are open. */
  #recordUnusedTry({ target, outcome }: EndedTry): void {
    if (target.kind === "upstream") {
      this.#plan.recordFailure(
        outcome.kind === "ended" ? outcome.end : "no-answer",
      );
    } else if (outcome.kind === "ended") {
      this.#recordFailedForward(target.router, outcome);
      if (outcome.end !== "not-sent") this.#plan.recordFailure("no-answer");
    } else if (isRefusedForRouter(outcome)) {
      this.#options.routers.recordFailure(target.router.name);
    }
  }

  /** Sends the request elsewhere too, if that may bring an answer sooner. */
  #openTryBeside(): void {
    const { retries, clock, crashes } = this.#options;
    const mayTry = this.#plan.mayTryBeside(this.#tries.size) &&
      this.#relay.canContinue && !this.#isCutByStop &&
      this.#getRemainingMs() >= MIN_REMAINING_MS &&
      crashes.find(this.#subjects) === undefined;
    if (!mayTry) return;
    const tryRetry = () => retries.tryTakeRetry(clock());
    if (this.#isRouterNeeded()) {
      const router = this.#findRouter();
      if (router !== undefined && tryRetry()) this.#openRouterTry(router);
      return;
    }
    const place = this.#findPlace();
    if (!("entry" in place)) return;
    if (this.#binding.needsProcessCheck(place.entry, this.#service)) {
      // The next check of the silent tries finds the result.
      void this.#binding.checkProcess(place.entry, this.#service);
      return;
    }
    if (tryRetry()) this.#openUpstreamTry(place);
  }

  /** Counts the request once in the retry budget, before its first try. */
  #countRequest(): void {
    if (this.#isCounted) return;
    this.#isCounted = true;
    this.#options.retries.recordRequest(this.#options.clock());
  }

  /** Returns the outcome of a try that did not fail. */
  #endTry(
    tryOutcome: Exclude<TryOutcome, { kind: "ended" | "left" }>,
  ): IngressOutcome {
    switch (tryOutcome.kind) {
      case "caller-left":
        return { kind: "caller-left" };
      case "timed-out":
        this.#plan.abandon();
        return this.#endTimedOut();
      case "router-ended":
        this.#plan.abandon();
        return this.#endStopped();
      case "answered":
        // It can't follow the events that the caller has.
        if (this.#relay.isStarted) return this.#abortStream();
        return { kind: "whole", ...tryOutcome.answer };
      case "stream-complete":
        this.#relay.end();
        return this.#endStream("complete");
      case "router-refused":
        return this.#endRefused(tryOutcome.refusal);
    }
  }

  /** Whether another router has to send the request to an upstream. */
  #isRouterNeeded(): boolean {
    if (this.#isDirectOnly) return false;
    return this.#needsRouter || this.#options.links.isDown(this.#service.name);
  }

  /** Returns a router that may serve the request; undefined if there is none. */
  #findRouter(): ForwardTarget | undefined {
    return this.#exchange.forwarded === undefined &&
        this.#triedRouters.size < MAX_FORWARD_TRIES
      ? this.#options.routers.find(this.#service.name, this.#triedRouters)
      : undefined;
  }

  /** Whether upstreams may be tried though the links to them are down. */
  #mayTryDirectly(): boolean {
    const { links } = this.#options;
    const { name } = this.#service;
    // Connections that were open when the links failed may still work.
    this.#isDirectOnly = links.isDown(name) && links.hasRecentData(name);
    return this.#isDirectOnly;
  }

  #openRouterTry(router: ForwardTarget): void {
    const { routers } = this.#options;
    const { name } = router;
    this.#triedRouters.add(name);
    this.#tries.open({
      target: { kind: "router", router },
      isSuspect: () => true,
      onAvoided: () => routers.recordFailure(name),
    }, (openTry) => this.#forward(router, openTry));
  }

  #openUpstreamTry(place: PlacementResult): void {
    const { placement, links } = this.#options;
    const { entry } = place;
    this.#tries.open({
      target: { kind: "upstream", entry },
      isSuspect: () =>
        placement.isSuspect(entry.id, this.#service) ||
        links.isDown(this.#service.name),
      onAvoided: () => {
        // Without links, nothing says that the upstream is not sound.
        if (links.isDown(this.#service.name)) return;
        placement.recordHealth(entry.id, "failed");
      },
    }, (openTry) => this.#tryUpstream(place, openTry));
  }

  async #forward(
    target: ForwardTarget,
    openTry: OpenTry,
  ): Promise<TryOutcome> {
    const { connections, clock, routers, onTry } = this.#options;
    const { isRepeatable } = this.#plan;
    const sentAt = clock();
    const endCheck = this.#options.endChecks.begin({
      address: target.address,
      isRepeatable,
    });
    const attempt = createRouterTry(this.#exchange, {
      target,
      endCheck,
      connections,
      clock,
      memory: this.#options.memory,
      relay: this.#relay.beginResponse(),
      others: openTry.others,
      forwarded: {
        triesLeft: Math.max(1, this.#plan.triesLeft - this.#tries.size + 1),
        isCounted: this.#isCounted,
      },
      remainingMs: this.#getRemainingMs(),
      isRepeatable,
      silenceTimeoutMs: getSilenceTimeoutMs(this.#route, this.#plan),
      maxIdleMs: this.#maxIdleMs,
      isFresh: this.#recordAddress(target.address),
      onSilent: () => {
        openTry.avoidTarget();
        this.#tries.recordSilence();
      },
      onStreamStart: ({ origin }) =>
        this.#binding.recordOrigin(origin ?? { service: this.#service.name }),
      onNotice: (upstream, notice) => {
        const known = upstream &&
          this.#options.routing.directory.find(upstream);
        if (!known) return;
        this.#options.notices.record(known.entry, { ...notice, sentAt });
      },
    });
    const record: TryRecord = {
      router: target.name,
      reason: "links-down",
      isReused: attempt.isReused,
    };
    this.#exchange.trace.push(record);
    routers.recordSent(target.name);
    const tryOutcome = await openTry.untilEnded(attempt, this.#tryLimits);
    endCheck.close();
    routers.recordEnded(target.name);
    if ("isSilent" in tryOutcome) connections.closeReusable(target.address);
    recordTryEnd(record, { tryOutcome, ms: clock() - sentAt });
    onTry(this.#service.name, `router-${record.end}`);
    return tryOutcome;
  }

  /** Records that a router has given no usable response. */
  #recordFailedForward(
    { name, address }: ForwardTarget,
    result: TryResult & { kind: "ended" },
  ): void {
    const { connections, routers } = this.#options;
    if (result.end === "not-sent") {
      routers.recordFailure(name);
      connections.closeIdle(address);
      return;
    }
    if (result.isExcess === true) routers.recordFailure(name);
    const { tries } = decodeServed(result.headers ?? {});
    // The caller records one more.
    this.#plan.recordForwarded(tries === undefined ? undefined : tries - 1);
  }

  /**
   * Chooses the outcome after a router has given no usable response; undefined
   * if the request is to be tried again.
   */
  #handleFailedForward(
    target: ForwardTarget,
    result: TryResult & { kind: "ended" },
  ): IngressOutcome | undefined {
    const { retries, clock } = this.#options;
    this.#recordFailedForward(target, result);
    if (result.end === "not-sent") return undefined;
    // The router has made the retries that are allowed.
    if (result.end === "failed" && !this.#relay.isStarted) {
      return { kind: "whole", ...result.answer! };
    }
    const step = this.#plan.next("no-answer", {
      tryRetry: () => retries.tryTakeRetry(clock()),
    });
    if (step === "try-again") return undefined;
    if (this.#relay.isStarted) return this.#abortStream();
    const detail = `Router ${target.name} gave no answer: ${result.detail}.`;
    const refusal = createRefusal("upstream-failed", detail, {
      ran: "unknown",
    });
    return { kind: "refused", refusal };
  }

  /** Passes on the refusal of the router that was to serve the request. */
  #endRefused(refusal: Refusal): IngressOutcome {
    if (this.#relay.isStarted) return this.#abortStream();
    if (this.#plan.isNotRun) return { kind: "refused", refusal };
    return {
      kind: "refused",
      refusal: createRefusal("upstream-failed", refusal.detail, {
        ran: "unknown",
      }),
    };
  }

  /** Refuses a request that no router can send to an upstream. */
  #endUnreachable(): IngressOutcome {
    if (this.#relay.isStarted) return this.#abortStream();
    const { name } = this.#service;
    const detail = `No router is known to reach the upstreams of ${name}.`;
    if (!this.#plan.isNotRun) {
      const refusal = createRefusal("upstream-failed", detail, {
        ran: "unknown",
      });
      return { kind: "refused", refusal };
    }
    return refuseRetryable(this.#exchange, {
      code: "upstream-unreachable",
      detail,
      cause: "no-upstream",
    });
  }

  /**
   * Chooses the outcome after a try that ended without a usable response;
   * undefined if the request is to be tried again.
   */
  #handleFailedTry(
    result: TryResult & { kind: "ended" },
  ): IngressOutcome | undefined {
    const { retries, clock } = this.#options;
    const step = this.#plan.next(result.end, {
      tryRetry: () => retries.tryTakeRetry(clock()),
    });
    if (step === "try-again") return undefined;
    if (result.end === "not-sent" && this.#mayForward()) {
      this.#needsRouter = true;
      return undefined;
    }
    if (this.#relay.isStarted) return this.#abortStream();
    if (step === "pass-on") return { kind: "whole", ...result.answer! };
    if (step === "refuse") {
      return refuseRetryable(this.#exchange, {
        // Another router may reach an upstream that this one does not.
        code: result.end === "not-sent"
          ? "upstream-unreachable"
          : "no-capacity",
        detail: `No upstream took the request: ${result.detail}.`,
        cause: "upstreams-full",
      });
    }
    return {
      kind: "refused",
      refusal: createRefusal("upstream-failed", `${result.detail}.`, {
        ran: "unknown",
      }),
    };
  }

  /** Whether another router may still serve a request that was not sent. */
  #mayForward(): boolean {
    return !this.#needsRouter && !this.#isDirectOnly &&
      this.#exchange.forwarded === undefined;
  }

  async #tryUpstream(
    place: PlacementResult,
    openTry: OpenTry,
  ): Promise<TryOutcome> {
    const { placement, connections, crashes, onTry, clock, links, rollouts } =
      this.#options;
    const { name: service } = this.#service;
    const upstream = place.entry.id;
    const sentAt = clock();
    placement.recordSent(place);
    const watched = rollouts.recordSent(place, {
      route: this.#route.name,
      isFirst: this.#excluded.size + this.#triedRouters.size === 0 &&
        this.#exchange.forwarded?.isCounted !== true,
    });
    this.#excluded.add(upstream);
    const { address } = place.entry;
    const engine = this.#service.isEngine ? place.entry : undefined;
    const endCheck = this.#options.endChecks.begin({
      address,
      service,
      engine,
      isRepeatable: this.#plan.isRepeatable,
    });
    const relayed = this.#relay.beginResponse();
    const attempt = new UpstreamTry({
      connections,
      clock,
      memory: { budget: this.#options.memory, source: upstream },
      request: this.#createRequest(place, relayed.resumeAfter),
      requestId: this.#exchange.traits.requestId,
      isRepeatable: this.#plan.isRepeatable,
      relay: relayed,
      others: openTry.others,
      silenceTimeoutMs: getSilenceTimeoutMs(this.#route, this.#plan),
      endCheck,
      isSuspect: () => openTry.isSuspect,
      onSilent: () => this.#tries.recordSilence(),
      onStreamStart: () => this.#recordStreamStart(place.entry),
      onData: () => {
        links.recordData(service);
        this.#binding.recordData(upstream);
      },
      onLateHead: () => links.recordSilence(service),
      onSurvival: () => crashes.recordAnswer(this.#subjects),
      onLoad: (load) => placement.recordReportedLoad(upstream, load),
      onNotice: (status, traits) => {
        this.#recordServed(place.entry);
        this.#options.notices.record(place.entry, { status, traits, sentAt });
      },
    });
    this.#binding.recordSent(place.entry, this.#service);
    const record: TryRecord = {
      upstream,
      softwareVersion: place.entry.softwareVersion,
      reason: place.reason,
      load: roundToTenth(place.load),
      ...(place.workMs !== undefined && {
        workMs: roundToTenth(place.workMs),
      }),
      ...(place.copyFrom !== undefined && { copyFrom: place.copyFrom }),
      ...(place.bound !== undefined && { bound: roundToTenth(place.bound) }),
      isReused: attempt.isReused,
    };
    this.#exchange.trace.push(record);
    const tryOutcome = await openTry.untilEnded(attempt, this.#tryLimits);
    endCheck.close();
    this.#binding.recordTryEnd(upstream);
    const ms = clock() - sentAt;
    placement.recordEnded(place, {
      ...attempt.measures,
      ms,
      isAnswered: isAnswered(tryOutcome),
    });
    watched.recordEnd(tryOutcome, attempt.measures.events);
    onTry(service, recordTryEnd(record, { tryOutcome, ms }));
    if (tryOutcome.kind === "ended" && tryOutcome.end === "not-sent") {
      await links.check(service, upstream);
    }
    const hasEnded = !attempt.hasSurvived &&
      await this.#checkCrash(place, { tryOutcome, sentAt });
    if (hasEnded) record.hasUpstreamEnded = true;
    this.#recordOutcome(place, { tryOutcome, hasEnded });
    return tryOutcome;
  }

  #recordStreamStart(entry: UpstreamEntry): void {
    // Another try may have stated its own upstream since the head.
    this.#recordServed(entry);
    this.#binding.recordStart(entry, this.#service);
    const { origin } = this.#binding;
    if (this.#exchange.forwarded === undefined || origin === undefined) return;
    setServedHeaders(this.#exchange.response, { origin });
  }

  /** Tells the router that forwarded the request where its answer is from. */
  #recordServed({ id }: UpstreamEntry): void {
    if (this.#exchange.forwarded === undefined) return;
    setServedHeaders(this.#exchange.response, {
      tries: this.#plan.sent + Math.max(1, this.#tries.size),
      upstream: id,
    });
  }

  /**
   * Records what the end of a try says of the request: that an upstream
   * survived it, or ended under it. Returns whether it ended.
   */
  async #checkCrash(
    { entry }: PlacementResult,
    { tryOutcome, sentAt }: { tryOutcome: TryOutcome; sentAt: number },
  ): Promise<boolean> {
    const { crashes } = this.#options;
    const { requestId } = this.#exchange.traits;
    const subjects = this.#subjects;
    if (isSurvived(tryOutcome)) {
      crashes.recordAnswer(subjects);
      return false;
    }
    if (!isPossibleCrash(tryOutcome)) return false;
    return await crashes.recordLost({ requestId, subjects, entry, sentAt });
  }

  #createDigest(): string {
    const { request, workspace, body } = this.#exchange;
    return createRequestDigest({
      workspace: workspace?.name,
      method: request.method ?? "GET",
      host: request.headers.host ?? "",
      target: request.url ?? "/",
      body,
    });
  }

  get #tryLimits(): TryLimits {
    return {
      response: this.#exchange.response,
      graceEnd: this.#options.graceEnd,
      remainingMs: this.#getRemainingMs(),
      isCutByStop: () => this.#isCutByStop,
    };
  }

  #recordOutcome(
    { entry }: PlacementResult,
    { tryOutcome, hasEnded }: { tryOutcome: TryOutcome; hasEnded: boolean },
  ): void {
    const { placement, routing, connections, clock, links } = this.#options;
    if (isAnswered(tryOutcome)) {
      placement.recordHealth(entry.id, "answered");
      return;
    }
    if (tryOutcome.kind !== "ended") return;
    if (tryOutcome.isSilent === true) {
      connections.closeReusable(entry.address);
      return;
    }
    if (tryOutcome.isUnclear === true) this.#recordUnclear(entry);
    if (tryOutcome.end === "misdirected") {
      routing.directory.recordMisdirected(entry.id, clock());
      connections.closeIdle(entry.address);
      return;
    }
    if (tryOutcome.end === "refused") placement.recordRejected(entry.id);
    // An upstream that asks for a pause is sound.
    if (tryOutcome.isPause === true) return;
    // Without links, nothing says that the upstream is not sound.
    if (links.isDown(this.#service.name)) return;
    if (tryOutcome.isExcess === true) {
      placement.recordHealth(entry.id, "excess");
      return;
    }
    // The answers of others may have taken the memory.
    if (tryOutcome.isGivenUp === true) return;
    if (tryOutcome.end === "not-sent" || hasEnded) {
      placement.recordHealth(entry.id, "unreachable");
      // An unreachable upstream may be restarting, so it counts as cold.
      const coldMs = this.#service.coldStartMs;
      routing.directory.recordRestarted(entry.id, { coldMs, now: clock() });
      return;
    }
    placement.recordHealth(entry.id, "failed");
  }

  #recordUnclear({ id, address }: UpstreamEntry): void {
    const { trust, clock, onNotice } = this.#options;
    const isNew = trust.recordUnclear(address, clock());
    if (isNew) onNotice("unclear", { upstream: id });
  }

  #createRequest(
    { entry, copyFrom }: PlacementResult,
    lastEventId: string | undefined,
  ) {
    const { request, workspace, body } = this.#exchange;
    return {
      address: entry.address,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: encodeUpstreamHeaders(request, {
        upstream: entry.id,
        remainingMs: this.#getRemainingMs(),
        workspace: workspace?.headerName ?? workspace?.name,
        priority: workspace?.priority ?? this.#route.priority,
        copyFrom,
        lastEventId,
      }),
      body: body !== undefined && body.length > 0 ? body : undefined,
      maxIdleMs: this.#maxIdleMs,
      isFresh: this.#needsNewConnection(entry.address),
    };
  }

  #needsNewConnection(address: string): boolean {
    const { trust, clock } = this.#options;
    if (this.#recordAddress(address)) return true;
    return !this.#plan.isRepeatable &&
      trust.takeNewConnection(address, clock());
  }

  /**
   * Records that the request is sent to `address`. Returns whether it was before:
   * on the same connection, a late copy of the earlier answer has its id.
   */
  #recordAddress(address: string): boolean {
    const isKnown = this.#addresses.has(address);
    this.#addresses.add(address);
    return isKnown;
  }

  get #maxIdleMs(): number {
    return this.#plan.isRepeatable
      ? MAX_IDLE_REPEATABLE_MS
      : MAX_IDLE_NON_REPEATABLE_MS;
  }

  #findPlace(): PlacementResult | PlacementFailure {
    return this.#options.rollouts.find({
      service: this.#service,
      promptParts: this.#exchange.traits.promptParts,
      excluded: this.#excluded,
      hasFailed: !this.#plan.isNotRun || this.#tries.size > 0,
      slotRule: getSlotRule(this.#tries.list()),
      softwareVersion: this.#binding.softwareVersion,
      work: createWorkRequest(this.#exchange, this.#service),
    }, this.#route.name);
  }

  /**
   * Goes on with the service that began the stream which the caller resumes, if
   * the route still has it; false if no router knows the stream.
   */
  async #findOrigin(): Promise<boolean> {
    const search = this.#binding.findOrigin(this.#service.name);
    await this.#options.graceEnd.limit(search);
    if (this.#isCutByStop) return false;
    const origin = await search;
    if (origin === undefined) return false;
    if (origin.position) this.#relay.recordPosition(origin.position);
    const isTarget = this.#route.targets
      .some(({ service, weight }) => service === origin.service && weight > 0);
    if (isTarget) {
      const service = this.#exchange.table.findService(origin.service);
      this.#service = service ?? this.#service;
    }
    return true;
  }

  /**
   * Whether the grace time has ended before the response has begun. A stream
   * that has begun can't be answered otherwise; it goes on until its connection
   * is reset.
   */
  get #isCutByStop(): boolean {
    return this.#options.graceEnd.isReached && !this.#relay.isStarted;
  }

  #getRemainingMs(): number {
    return this.#exchange.deadlineAt - this.#options.clock();
  }

  #endWithoutUpstream(
    { reason, waitMs }: PlacementFailure,
  ): IngressOutcome {
    if (this.#relay.isStarted) return this.#abortStream();
    if (!this.#plan.isNotRun) {
      const detail = "There is no other upstream to try.";
      const refusal = createRefusal("upstream-failed", detail, {
        ran: "unknown",
      });
      return { kind: "refused", refusal };
    }
    const { softwareVersion: version } = this.#binding;
    const { name } = this.#service;
    return refuseRetryable(this.#exchange, {
      code: "no-capacity",
      detail: version === undefined
        ? `Service ${name} has no upstream to take it.`
        : `Service ${name} has no upstream of version ${version} to go on ` +
          "with the stream.",
      cause: reason,
      earliestMs: waitMs,
    });
  }

  /** Refuses to guess the version at which a stream may go on. */
  #endUnknownStream(): IngressOutcome {
    return refuseRetryable(this.#exchange, {
      code: "stream-unknown",
      detail: "No router knows the software version that began the stream.",
      cause: "this-router",
    });
  }

  /** Refuses a request that crashes upstreams, or whose prompt does. */
  #endQuarantined(
    { kind, id, crashes, remainingMs }: QuarantinedSubject,
  ): IngressOutcome {
    if (this.#relay.isStarted) return this.#abortStream();
    const name = id.slice(0, MAX_DETAIL_PART_LENGTH);
    const detail = kind === "part"
      ? `${crashes} upstreams have ended under prompts with part ${name}.`
      : `${crashes} upstreams have ended under request ${name}.`;
    if (!this.#plan.isNotRun) {
      const refusal = createRefusal("upstream-failed", detail, {
        ran: "unknown",
      });
      return { kind: "refused", refusal };
    }
    return refuseRetryable(this.#exchange, {
      code: kind === "part" ? "prompt-quarantined" : "request-quarantined",
      detail,
      cause: "quarantined",
      earliestMs: remainingMs,
    });
  }

  #endStopped(): IngressOutcome {
    if (!this.#plan.isNotRun) {
      const detail = "The router stopped before an answer came.";
      const refusal = createRefusal("outcome-unknown", detail, {
        ran: "unknown",
      });
      return { kind: "refused", refusal };
    }
    return refuseRetryable(this.#exchange, {
      code: "router-stopping",
      detail: "The router stopped before an upstream took the request.",
      cause: "this-router",
      closes: true,
    });
  }

  #endTimedOut(): IngressOutcome {
    if (this.#relay.isStarted) return this.#abortStream();
    const ran = this.#plan.isNotRun ? "no" : "unknown";
    const detail = "No answer came in time.";
    const refusal = createRefusal("deadline-passed", detail, { ran });
    return { kind: "refused", refusal };
  }

  #abortStream(): IngressOutcome {
    this.#relay.abort();
    return this.#endStream("broken");
  }

  #endStream(end: "complete" | "broken"): IngressOutcome {
    const { arrivedAt } = this.#exchange;
    return { kind: "streamed", end, timing: this.#relay.getTiming(arrivedAt) };
  }
}
