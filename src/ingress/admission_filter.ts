/**
 * Holds or refuses requests to services that can't serve all that is asked of
 * them. Must precede the filter that sends requests to upstreams.
 */
import { createRefusal } from "../diagnostics.ts";
import type {
  Admission,
  AdmissionDecision,
  AdmissionMoment,
  AdmissionRefusal,
  AdmissionRequest,
} from "../policy/admission.ts";
import { findSharedServices } from "../policy/admission_scope.ts";
import type { Hash } from "../policy/rendezvous.ts";
import { pickTarget, type RouteTable } from "../policy/route_table.ts";
import { estimateRoom } from "../policy/service_room.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import type { IngressMetrics } from "./ingress_metrics.ts";
import { getSharedPartId, type Placement } from "./placement.ts";
import { refuseRetryable } from "./refusals.ts";

/** Options of the filter. */
export interface AdmissionFilterOptions {
  readonly admission: Admission;
  readonly placement: Pick<Placement, "getServiceLoad">;
  readonly hash: Hash;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  readonly metrics: Pick<
    IngressMetrics,
    "admissionRefusals" | "admissionWaitSeconds" | "admissionWaiting"
  >;
}

/** Whether a request may be sent, or how it ends without. */
type AdmissionResult = "admitted" | IngressOutcome;

interface HeldRequest {
  readonly request: AdmissionRequest;
  send(fill: number): void;
  finish(outcome: IngressOutcome): void;
}

/** Interval at which held requests are checked for room, in milliseconds. */
const CHECK_INTERVAL_MS = 20;
const MS_PER_SECOND = 1_000;
const MIN_SERVER_ERROR_STATUS = 500;
const DETAILS: Readonly<Record<AdmissionRefusal["code"], string>> = {
  "queue-full": "has no room for more requests of this priority",
  "would-miss-deadline": "can't complete the request in the time that is left",
  "workspace-share": "has no room beyond the share of this workspace",
};

/** Admits requests to services that several priorities or workspaces share. */
export class AdmissionFilter implements IngressFilter {
  readonly name = "admission";
  readonly #options: AdmissionFilterOptions;
  readonly #sharedServices = new WeakMap<RouteTable, ReadonlySet<string>>();
  /** Requests that were admitted by the policy, with the load at that time. */
  readonly #admitted = new WeakMap<
    IngressExchange,
    { request: AdmissionRequest; fill: number; sentAt: number }
  >();
  readonly #held = new Map<string, HeldRequest>();
  #timer: NodeJS.Timeout | undefined;
  #lastId = 0;
  #isStopping = false;

  constructor(options: AdmissionFilterOptions) {
    this.#options = options;
  }

  async handle(
    exchange: IngressExchange,
    next: () => Promise<IngressOutcome>,
  ): Promise<IngressOutcome> {
    // Without a wait the request goes on in the same turn of the event loop.
    const admitted = this.admit(exchange);
    const result = admitted instanceof Promise ? await admitted : admitted;
    if (result !== "admitted") return result;
    try {
      const outcome = await next();
      this.#recordOutcome(exchange, outcome);
      return outcome;
    } finally {
      this.release(exchange);
    }
  }

  /** Admits a request, at once or after it was held, or refuses it. */
  admit(
    exchange: IngressExchange,
  ): AdmissionResult | Promise<AdmissionResult> {
    const { admission } = this.#options;
    const request = this.#createRequest(exchange);
    if (request === undefined) return "admitted";
    const moment = this.#getMoment(request.service);
    let decision = admission.decide(request, moment);
    if (decision.kind === "hold" && decision.shed !== undefined) {
      const { id, refusal } = decision.shed;
      const shed = this.#held.get(id);
      shed?.finish(this.#refuse(shed.request, refusal));
    }
    if (decision.kind === "hold" && this.#isStopping) {
      decision = admission.endHold(request, moment);
    }
    if (decision.kind !== "hold") {
      return this.#apply(decision, exchange, request);
    }
    return this.#hold(exchange, request, decision.until);
  }

  /** Lets a held request go on in place of one that has ended. */
  release(exchange: IngressExchange): void {
    const admitted = this.#admitted.get(exchange);
    if (admitted === undefined) return;
    this.#admitted.delete(exchange);
    const hasEnded = exchange.trace.length > 0;
    this.#sendReady(admitted.request.service, { hasEnded });
  }

  /** Refuses the requests that are held; from now on, none is held. */
  stop(): void {
    this.#isStopping = true;
    for (const { request, finish } of [...this.#held.values()]) {
      this.#options.admission.remove(request);
      finish(this.#refuseStopping(request));
    }
  }

  #createRequest(exchange: IngressExchange): AdmissionRequest | undefined {
    const { traits, table, workspace, forwarded, deadlineAt } = exchange;
    const isResumption = traits.lastEventId !== undefined ||
      traits.resumedId !== undefined;
    // It was admitted by the router that forwards it, or when it began.
    if (forwarded !== undefined || isResumption) return undefined;
    const route = exchange.route!;
    const key = getSharedPartId(traits.promptParts) ?? traits.requestId;
    const service = pickTarget(route, key, this.#options);
    if (!this.#listShared(table).has(service)) return undefined;
    return {
      id: String(++this.#lastId),
      service,
      route: route.name,
      priority: workspace?.priority ?? route.priority,
      workspace: workspace?.name,
      objectiveMs: route.objectiveMs,
      deadlineAt,
      promptTokens: traits.promptParts
        .reduce((sum, { tokens }) => sum + tokens, 0),
    };
  }

  #listShared(table: RouteTable): ReadonlySet<string> {
    const known = this.#sharedServices.get(table);
    if (known !== undefined) return known;
    const shared = findSharedServices(table.configuration);
    this.#sharedServices.set(table, shared);
    return shared;
  }

  #getMoment(service: string): AdmissionMoment {
    const { placement, clock } = this.#options;
    return { load: placement.getServiceLoad(service), now: clock() };
  }

  #apply(
    decision: Exclude<AdmissionDecision, { kind: "hold" }>,
    exchange: IngressExchange,
    request: AdmissionRequest,
  ): AdmissionResult {
    if (decision.kind === "refuse") return this.#refuse(request, decision);
    const { hasRoom, fill } = decision;
    if (!hasRoom) exchange.admission = { ...exchange.admission, fill };
    const sentAt = this.#options.clock();
    this.#admitted.set(exchange, { request, fill, sentAt });
    return "admitted";
  }

  #hold(
    exchange: IngressExchange,
    request: AdmissionRequest,
    until: number,
  ): Promise<AdmissionResult> {
    const { admission, clock, metrics } = this.#options;
    const { response } = exchange;
    const { id, service } = request;
    const since = clock();
    return new Promise((resolve) => {
      const finish = (result: AdmissionResult) => {
        clearTimeout(timer);
        response.off("close", onClose);
        this.#held.delete(id);
        this.#schedule();
        const heldMs = clock() - since;
        exchange.admission = {
          ...exchange.admission,
          heldMs: Math.round(heldMs),
        };
        metrics.admissionWaiting.dec({ service });
        metrics.admissionWaitSeconds.observe(
          { service },
          heldMs / MS_PER_SECOND,
        );
        resolve(result);
      };
      const onClose = () => {
        admission.remove(request);
        finish({ kind: "caller-left" });
      };
      const timer = setTimeout(() => {
        const end = admission.endHold(request, this.#getMoment(service));
        if (end.kind === "hold") return;
        finish(this.#apply(end, exchange, request));
      }, until - since);
      metrics.admissionWaiting.inc({ service });
      response.once("close", onClose);
      this.#held.set(id, {
        request,
        send: (fill) => {
          const decision = { kind: "send", hasRoom: false, fill } as const;
          finish(this.#apply(decision, exchange, request));
        },
        finish,
      });
      this.#schedule();
      if (response.destroyed) onClose();
    });
  }

  /** Checks held requests while there are any. */
  #schedule(): void {
    if (this.#held.size === 0) {
      clearTimeout(this.#timer);
      this.#timer = undefined;
      return;
    }
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      const held = [...this.#held.values()];
      const services = new Set(held.map(({ request }) => request.service));
      for (const service of services) {
        this.#sendReady(service, { hasEnded: false });
      }
      this.#schedule();
    }, CHECK_INTERVAL_MS);
  }

  #sendReady(service: string, { hasEnded }: { hasEnded: boolean }): void {
    const { admission } = this.#options;
    if (admission.countHeld(service) === 0) return;
    const moment = this.#getMoment(service);
    const { fill } = estimateRoom(moment.load);
    for (const id of admission.takeReady(service, { ...moment, hasEnded })) {
      this.#held.get(id)?.send(fill);
    }
  }

  #recordOutcome(exchange: IngressExchange, outcome: IngressOutcome): void {
    const admitted = this.#admitted.get(exchange);
    if (admitted === undefined) return;
    const { admission, clock } = this.#options;
    const { request: { service, route }, fill, sentAt } = admitted;
    const { trace } = exchange;
    const now = clock();
    if (trace.some(({ end }) => end === "refused")) {
      admission.recordRejected(service, now);
    }
    const isServed = outcome.kind === "whole"
      ? outcome.status < MIN_SERVER_ERROR_STATUS
      : outcome.kind === "streamed" && outcome.end === "complete";
    if (!isServed || trace.length !== 1) return;
    admission.recordServed(service, {
      route,
      ms: now - sentAt,
      fill,
      at: now,
    });
  }

  #refuse(
    { service, priority }: AdmissionRequest,
    { code, retryAfterMs }: AdmissionRefusal,
  ): IngressOutcome {
    this.#countRefusal({ service, priority, reason: code });
    const detail = `Service ${service} ${DETAILS[code]}.`;
    const refusal = createRefusal(code, detail, { retryAfterMs });
    return { kind: "refused", refusal };
  }

  #refuseStopping(
    { service, priority, deadlineAt }: AdmissionRequest,
  ): IngressOutcome {
    this.#countRefusal({ service, priority, reason: "router-stopping" });
    const arrivedAt = this.#options.clock();
    return refuseRetryable({ arrivedAt, deadlineAt }, {
      code: "router-stopping",
      detail: "The router stopped before it sent the request.",
      cause: "this-router",
      closes: true,
    });
  }

  #countRefusal(
    { service, priority, reason }: {
      service: string;
      priority: number;
      reason: AdmissionRefusal["code"] | "router-stopping";
    },
  ): void {
    const labels = { service, priority: String(priority), reason };
    this.#options.metrics.admissionRefusals.inc(labels);
  }
}
