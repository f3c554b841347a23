/**
 * Finds the route of a request.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import type { Instant } from "../routing/types.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import { refuseRetryable, refuseUnknown } from "./refusals.ts";

/** Refuses requests that match no route; sets the deadline of the others. */
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
      return refuseUnknown(exchange, {
        ageMs: this.#routing.ageAt(this.#now()),
        code: "unknown-route",
        detail: `No route takes ${exchange.path}.`,
      });
    }
    exchange.route = route;
    const { deadlineMs = Infinity } = exchange.traits;
    exchange.deadlineAt = exchange.arrivedAt +
      Math.min(route.timeoutMs, deadlineMs);
    if (route.targets.length === 0) {
      return refuseRetryable(exchange, {
        code: "no-capacity",
        detail: `Route ${route.name} names no service that can be used.`,
        cause: "no-upstream",
      });
    }
    return await next();
  }
}
