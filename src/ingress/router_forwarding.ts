/**
 * Has another router serve a request that this router can't send to an upstream
 * itself. A request is forwarded once: the router that serves it sends it to an
 * upstream or refuses it.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import type { DiagnosticCode } from "../diagnostics.ts";
import { chooseForwardTarget } from "../policy/forward_target.ts";
import type { LinkWatch } from "./link_watch.ts";
import type { TryOutcome } from "./try_end.ts";

/** Options of `RouterForwarding`. */
export interface RouterForwardingOptions {
  /** Name of this router. */
  readonly self: string;
  readonly routing: RoutingView;
  readonly links: Pick<LinkWatch, "isDownAt">;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Uniform in [0, 1); `Math.random` by default. */
  readonly random?: () => number;
}

/** A router that can serve a request. */
export interface ForwardTarget {
  readonly name: string;
  /** `ip:port` at which it takes requests of other routers. */
  readonly address: string;
}

/** Interval of the signs of life before a response, in milliseconds. */
export const LIFE_SIGN_INTERVAL_MS = 250;
/**
 * Time without a sign of life after which a request that may be repeated is sent
 * to another router as well, in milliseconds.
 */
export const REPEATABLE_LIFE_SIGN_TIMEOUT_MS = 1_000;
/**
 * Time without a sign of life after which a router that has a request that may
 * not be repeated is avoided for others, in milliseconds.
 */
export const NON_REPEATABLE_LIFE_SIGN_TIMEOUT_MS = 3_000;
/** Routers that one request is forwarded to while none has taken it. */
export const MAX_FORWARD_TRIES = 3;
/** Time for which a router that did not take a request is avoided, in ms. */
const AVOIDED_MS = 2_000;
/** Refusals after which another router may serve the request. */
const OTHER_ROUTER_CODES: ReadonlySet<DiagnosticCode> = new Set([
  "upstream-unreachable",
  "not-ready",
  "router-stopping",
  "memory-full",
  "configuration-unconfirmed",
  // The configuration of this router has the route and the key.
  "unknown-key",
  "unknown-route",
]);

/** Whether a router has refused a request that another router may serve. */
export function isRefusedForRouter(outcome: TryOutcome): boolean {
  return outcome.kind === "router-refused" && outcome.refusal.ran === "no" &&
    OTHER_ROUTER_CODES.has(outcome.refusal.code);
}

/** Chooses the routers to forward to, and counts what each has. */
export class RouterForwarding {
  readonly #options: Required<RouterForwardingOptions>;
  readonly #inFlight = new Map<string, number>();
  readonly #avoidedUntil = new Map<string, number>();

  constructor(options: RouterForwardingOptions) {
    this.#options = { random: Math.random, ...options };
  }

  /**
   * Chooses a router for a request to `service` that is not `excluded`;
   * undefined if none is known to reach the upstreams.
   */
  find(
    service: string,
    excluded: ReadonlySet<string>,
  ): ForwardTarget | undefined {
    const { self, routing, links, clock, random } = this.#options;
    const now = clock();
    const routers = routing.routers();
    const candidates = [...routers.keys()].filter((name) =>
      name !== self && !excluded.has(name) &&
      now >= (this.#avoidedUntil.get(name) ?? -Infinity) &&
      !links.isDownAt(name, service)
    );
    const name = chooseForwardTarget(candidates, {
      countInFlight: (each) => this.#inFlight.get(each) ?? 0,
      random,
    });
    return name === undefined
      ? undefined
      : { name, address: routers.get(name)! };
  }

  /** Records that a request was sent to a router. */
  recordSent(router: string): void {
    this.#inFlight.set(router, (this.#inFlight.get(router) ?? 0) + 1);
  }

  /** Records that a request that was sent has ended. */
  recordEnded(router: string): void {
    const left = (this.#inFlight.get(router) ?? 1) - 1;
    if (left > 0) this.#inFlight.set(router, left);
    else this.#inFlight.delete(router);
  }

  /** Records that a router can't be reached, or can't serve requests now. */
  recordFailure(router: string): void {
    this.#avoidedUntil.set(router, this.#options.clock() + AVOIDED_MS);
  }
}
