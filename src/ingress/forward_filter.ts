/**
 * Last filter of the ingress: sends the request to an upstream, again to
 * another where that is allowed, and passes the answer on.
 */
import { createRefusal } from "../diagnostics.ts";
import type { RoutingView } from "../control/routing_controller.ts";
import { encodeUpstreamHeaders } from "../platform/message_headers.ts";
import { AttemptPlan } from "../policy/attempt_plan.ts";
import type { Hash } from "../policy/rendezvous.ts";
import { pickTarget } from "../policy/route_table.ts";
import type { RetryBudget } from "../policy/retry_budget.ts";
import type { RoutedService, ServiceRoute } from "../routing/types.ts";
import type { UpstreamConnections } from "../transport/upstream_connections.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
  TryRecord,
} from "./ingress_exchange.ts";
import { getSharedPart, type Place, type Placement } from "./placement.ts";
import { refuseForNow } from "./refusals.ts";
import { StreamRelay } from "./stream_relay.ts";
import { type TryResult, UpstreamTry } from "./upstream_try.ts";

/** Options of the filter. */
export interface ForwardFilterOptions {
  readonly routing: RoutingView;
  readonly placement: Placement;
  readonly connections: UpstreamConnections;
  readonly retries: RetryBudget;
  readonly clock: () => number;
  readonly hash: Hash;
  /** Counts the end of a try. */
  readonly onTry: (service: string, end: string) => void;
}

/**
 * Idle time after which a connection is not reused for work that may run once
 * only, in milliseconds: the upstream may be closing it, and then nobody can
 * tell whether the request has run.
 */
const MAX_IDLE_ONCE_MS = 2_000;
/** The same for work that may be repeated. */
const MAX_IDLE_REPEATABLE_MS = 8_500;
/** Silence of a plain service in latency objectives before another is tried. */
const PLAIN_PATIENCE = 2;
/** Callers abandon a stream after two seconds without an event. */
const STREAM_PATIENCE_MS = 1_200;
/** Time left below which a try can't succeed, in milliseconds. */
const LEAST_REMAINING_MS = 10;

/** Sends requests to upstreams. */
export class ForwardFilter implements IngressFilter {
  readonly name = "forward";
  readonly #options: ForwardFilterOptions;

  constructor(options: ForwardFilterOptions) {
    this.#options = options;
  }

  handle(exchange: IngressExchange): Promise<IngressOutcome> {
    const forwarding = new Forwarding(exchange, this.#options);
    return forwarding.run();
  }
}

/** Rounds an estimate for the log. */
function round(value: number): number {
  return Math.round(value * 10) / 10;
}

/** How waiting for a try ended. */
type Waited =
  | TryResult
  | { readonly kind: "caller-left" }
  | { readonly kind: "timed-out" };

/** The tries of one request. */
class Forwarding {
  readonly #exchange: IngressExchange;
  readonly #options: ForwardFilterOptions;
  readonly #route: ServiceRoute;
  readonly #service: RoutedService;
  readonly #plan: AttemptPlan;
  readonly #relay: StreamRelay;
  readonly #excluded = new Set<string>();

  constructor(exchange: IngressExchange, options: ForwardFilterOptions) {
    const { route, traits, table, response } = exchange;
    const key = getSharedPart(traits.promptParts) ?? traits.requestId;
    const name = pickTarget(route!, key, options);
    this.#exchange = exchange;
    this.#options = options;
    this.#route = route!;
    this.#service = table.findService(name) ?? createUnknownService(name);
    this.#plan = new AttemptPlan(route!);
    this.#relay = new StreamRelay(response, {
      lastEventId: traits.lastEventId,
      clock: options.clock,
    });
  }

  async run(): Promise<IngressOutcome> {
    const { clock, retries, placement } = this.#options;
    retries.noteRequest(clock());
    for (;;) {
      if (this.#remainingMs() < LEAST_REMAINING_MS) return this.#timeOut();
      const place = placement.find({
        service: this.#service,
        promptParts: this.#exchange.traits.promptParts,
        excluded: this.#excluded,
      });
      if (typeof place === "string") return this.#endWithout(place);
      const waited = await this.#tryAt(place);
      if (waited.kind === "caller-left") return { kind: "caller-left" };
      if (waited.kind === "timed-out") {
        this.#plan.abandon();
        return this.#timeOut();
      }
      if (waited.kind === "answered") {
        return { kind: "whole", ...waited.answer };
      }
      if (waited.kind === "stream-complete") {
        this.#relay.end();
        return this.#endStream("complete");
      }
      const outcome = this.#follow(waited);
      if (outcome !== undefined) return outcome;
    }
  }

  /** Decides on a try that brought no answer; undefined to try again. */
  #follow(
    result: TryResult & { kind: "ended" },
  ): IngressOutcome | undefined {
    const { retries, clock } = this.#options;
    const step = this.#plan.next(result.end, {
      tryRetry: () => retries.tryTake(clock()),
    });
    if (step === "try-again") return undefined;
    if (this.#relay.isBegun) return this.#breakOff();
    if (step === "pass-on") return { kind: "whole", ...result.answer! };
    if (step === "refuse") {
      return refuseForNow(this.#exchange, {
        code: "no-capacity",
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

  async #tryAt(place: Place): Promise<Waited> {
    const { placement, connections, onTry, clock } = this.#options;
    const upstream = place.entry.id;
    const sentAt = clock();
    placement.noteSent(upstream);
    this.#excluded.add(upstream);
    const attempt = new UpstreamTry({
      connections,
      request: this.#renderRequest(place),
      requestId: this.#exchange.traits.requestId,
      relay: this.#relay,
      patienceMs: this.#patienceMs(),
      mayGiveUp: () => this.#mayGiveUp(),
      onLoad: (load) => placement.noteStated(upstream, load),
    });
    const record: TryRecord = {
      upstream,
      reason: place.reason,
      load: round(place.load),
      ...(place.copyFrom !== undefined && { copyFrom: place.copyFrom }),
      ...(place.bound !== undefined && { bound: round(place.bound) }),
      isReused: attempt.isReused,
    };
    this.#exchange.trace.push(record);
    const waited = await this.#waitFor(attempt);
    placement.noteEnded(upstream);
    record.ms = Math.round(clock() - sentAt);
    record.end = waited.kind === "ended" ? waited.end : waited.kind;
    if (waited.kind === "ended") record.detail = waited.detail;
    onTry(this.#service.name, record.end);
    this.#learn(place, waited);
    return waited;
  }

  /** Waits for the end of a try, the caller's leaving or the deadline. */
  #waitFor(attempt: UpstreamTry): Promise<Waited> {
    const { response } = this.#exchange;
    return new Promise((resolve) => {
      const onClose = () => finish({ kind: "caller-left" });
      const timer = setTimeout(
        () => finish({ kind: "timed-out" }),
        this.#remainingMs(),
      );
      function finish(waited: Waited): void {
        clearTimeout(timer);
        response.off("close", onClose);
        attempt.cancel();
        resolve(waited);
      }
      if (response.destroyed) {
        finish({ kind: "caller-left" });
        return;
      }
      response.once("close", onClose);
      void attempt.result.then(finish);
    });
  }

  #learn({ entry }: Place, waited: Waited): void {
    const { placement, routing, connections, clock } = this.#options;
    if (waited.kind === "answered" || waited.kind === "stream-complete") {
      placement.noteHealth(entry.id, "answered");
      return;
    }
    if (waited.kind !== "ended") return;
    if (waited.end === "misdirected") {
      routing.directory.noteMisdirected(entry.id, clock());
      connections.dropIdle(entry.address);
      return;
    }
    if (waited.isSilent === true) connections.dropIdle(entry.address);
    if (waited.end === "not-sent") {
      placement.noteHealth(entry.id, "unreachable");
      // What can't be reached may be starting anew.
      const coldUntil = clock() + this.#service.coldStartMs;
      routing.directory.noteRestarted(entry.id, coldUntil);
      return;
    }
    placement.noteHealth(entry.id, "failed");
  }

  #renderRequest({ entry, copyFrom }: Place) {
    const { request, traits, workspace, body } = this.#exchange;
    const lastEventId = this.#relay.lastEventId;
    return {
      address: entry.address,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: encodeUpstreamHeaders(request, {
        upstream: entry.id,
        remainingMs: this.#remainingMs(),
        workspace: workspace?.name,
        priority: workspace?.priority ?? this.#route.priority,
        copyFrom,
        lastEventId: lastEventId === traits.lastEventId
          ? undefined
          : lastEventId,
      }),
      body: body !== undefined && body.length > 0 ? body : undefined,
      maxIdleMs: this.#plan.isRepeatable
        ? MAX_IDLE_REPEATABLE_MS
        : MAX_IDLE_ONCE_MS,
    };
  }

  #patienceMs(): number {
    if (!this.#plan.isRepeatable) return Infinity;
    if (this.#route.kind === "stream") {
      return STREAM_PATIENCE_MS + this.#route.objectiveMs;
    }
    return this.#route.objectiveMs * PLAIN_PATIENCE;
  }

  /** Whether a silent try may be replaced by another. */
  #mayGiveUp(): boolean {
    return this.#plan.sent + 1 < this.#route.maxAttempts;
  }

  #remainingMs(): number {
    return this.#exchange.answerBy - this.#options.clock();
  }

  #endWithout(reason: "no-upstream" | "upstreams-full"): IngressOutcome {
    if (this.#relay.isBegun) return this.#breakOff();
    if (!this.#plan.isNotRun) {
      const detail = "There is no other upstream to try.";
      const refusal = createRefusal("upstream-failed", detail, {
        ran: "unknown",
      });
      return { kind: "refused", refusal };
    }
    return refuseForNow(this.#exchange, {
      code: "no-capacity",
      detail: `Service ${this.#service.name} has no upstream to take it.`,
      cause: reason,
    });
  }

  #timeOut(): IngressOutcome {
    if (this.#relay.isBegun) return this.#breakOff();
    const refusal = createRefusal(
      "deadline-passed",
      "No answer came in time.",
      { ran: this.#plan.isNotRun ? "no" : "unknown" },
    );
    return { kind: "refused", refusal };
  }

  #breakOff(): IngressOutcome {
    this.#relay.breakOff();
    return this.#endStream("broken");
  }

  #endStream(end: "complete" | "broken"): IngressOutcome {
    const { arrivedAt } = this.#exchange;
    return { kind: "streamed", end, timing: this.#relay.getTiming(arrivedAt) };
  }
}

function createUnknownService(name: string): RoutedService {
  return {
    name,
    coldStartMs: 0,
    coldRequestsPerSecond: 0,
    isEngine: false,
  };
}
