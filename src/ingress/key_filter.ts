/**
 * Finds the workspace of a request by its API key.
 */
import type { RoutingView } from "../control/routing_controller.ts";
import type { Instant } from "../routing/types.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import { refuseUnconfirmed, refuseUnknown } from "./refusals.ts";

/**
 * Refuses requests without a known key. Also refuses every request that needs a
 * key while the configuration is so old that the key may have been revoked.
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
    if (!exchange.table.isKeyRequired(exchange.route!)) return await next();
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
      return refuseUnknown(exchange, {
        // Without a key the request is invalid under every configuration, so
        // the age of this one does not matter.
        ageMs: apiKey === undefined ? 0 : ageMs,
        code: "unknown-key",
        detail: "Send a workspace's API key as a bearer token.",
      });
    }
    exchange.workspace = workspace;
    return await next();
  }
}
