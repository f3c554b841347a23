/**
 * Drops requests whose callers left while the requests waited to be read.
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { StaleArrivals } from "../policy/stale_arrivals.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";

/** Options of the filter. */
export interface PresenceFilterOptions {
  readonly arrivals: StaleArrivals;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
}

/** Checks that the caller is still there before the request is sent on. */
export class PresenceFilter implements IngressFilter {
  readonly name = "presence";
  readonly #options: PresenceFilterOptions;

  constructor(options: PresenceFilterOptions) {
    this.#options = options;
  }

  async handle(
    exchange: IngressExchange,
    next: () => Promise<IngressOutcome>,
  ): Promise<IngressOutcome> {
    const { arrivals, clock } = this.#options;
    if (!arrivals.mayBeStale(clock())) return next();
    const startedAt = clock();
    // The first turn ends the one that read the request, the second one reads
    // what has arrived behind it.
    await nextTurn();
    await nextTurn();
    arrivals.recordDelay(clock() - startedAt, clock());
    const { request, response } = exchange;
    // A server closes its side once the caller has closed the other.
    const hasLeft = request.socket.readableEnded || response.destroyed;
    return hasLeft ? { kind: "caller-left" } : next();
  }
}
