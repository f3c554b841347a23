/**
 * Finds the route of a request.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import { createRefusal } from "../diagnostics.ts";
import type { Instant } from "../routing/types.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import { refuseUnconfirmed } from "./refusals.ts";

/**
 * Age up to which a missing route or key counts as missing, in milliseconds;
 * an older configuration may lack one that operators have just added.
 */
export const MAX_AGE_OF_ABSENCE_MS = 1_500;

/** Refuses a request that no route takes; sets when it must be answered. */
export class RouteFilter implements IngressFilter {
  readonly name = "route";
  readonly #routing: RoutingView;
  readonly #now: () => Instant;

  constructor(options: { routing: RoutingView; now: () => Instant }) {
    this.#routing = options.routing;
    this.#now = options.now;
  }

  async handle(
    exchange: IngressExchange,
    next: () => Promise<IngressOutcome>,
  ): Promise<IngressOutcome> {
    const host = exchange.request.headers.host ?? "";
    const route = exchange.table.findRoute(host, exchange.path);
    if (route === undefined) {
      const ageMs = this.#routing.ageAt(this.#now());
      if (ageMs > MAX_AGE_OF_ABSENCE_MS) {
        return refuseUnconfirmed(exchange, ageMs);
      }
      const detail = `No route takes ${exchange.path}.`;
      return {
        kind: "refused",
        refusal: createRefusal("unknown-route", detail),
      };
    }
    exchange.route = route;
    const { deadlineMs = Infinity } = exchange.traits;
    exchange.answerBy = exchange.arrivedAt +
      Math.min(route.timeoutMs, deadlineMs);
    return await next();
  }
}
