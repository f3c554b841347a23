/**
 * Names the workspace of a request by its API key.
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
import { MAX_AGE_OF_ABSENCE_MS } from "./route_filter.ts";

/**
 * Refuses requests without a known key, and all keyed requests while the
 * configuration is too old to tell whether the key was taken away.
 */
export class KeyFilter implements IngressFilter {
  readonly name = "key";
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
    if (!exchange.table.isKeyed(exchange.route!)) return await next();
    const now = this.#now();
    const ageMs = this.#routing.ageAt(now);
    if (!this.#routing.isTrustedAt(now)) {
      return refuseUnconfirmed(exchange, ageMs);
    }
    const { apiKey } = exchange.traits;
    const workspace = apiKey === undefined
      ? undefined
      : exchange.table.findWorkspace(apiKey);
    if (workspace === undefined) {
      if (apiKey !== undefined && ageMs > MAX_AGE_OF_ABSENCE_MS) {
        return refuseUnconfirmed(exchange, ageMs);
      }
      const detail = "Send a workspace's API key as a bearer token.";
      return { kind: "refused", refusal: createRefusal("unknown-key", detail) };
    }
    exchange.workspace = workspace;
    return await next();
  }
}
