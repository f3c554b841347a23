/**
 * Reads the body of a request within the configured bound, so that it can be
 * sent more than once.
 */
import { readBody } from "../transport/http_server.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import { refuseForNow } from "./refusals.ts";

/** Options of the filter. */
export interface RequestBodyFilterOptions {
  /** Time for which this router still answers, in milliseconds. */
  readonly getLifetimeMs: () => number;
  readonly clock: () => number;
}

/** Reads bodies; refuses what would outlast this router. */
export class RequestBodyFilter implements IngressFilter {
  readonly name = "body";
  readonly #options: RequestBodyFilterOptions;

  constructor(options: RequestBodyFilterOptions) {
    this.#options = options;
  }

  async handle(
    exchange: IngressExchange,
    next: () => Promise<IngressOutcome>,
  ): Promise<IngressOutcome> {
    const { maxBodyBytes } = exchange.table.configuration.limits;
    const body = await readBody(exchange.request, { maxBodyBytes });
    if (body.err) {
      if (exchange.response.destroyed) return { kind: "caller-left" };
      return { kind: "refused", refusal: body.val };
    }
    exchange.body = body.val;
    const lifetimeMs = this.#options.getLifetimeMs();
    if (exchange.answerBy - this.#options.clock() > lifetimeMs) {
      return refuseForNow(exchange, {
        code: "router-stopping",
        detail: `This router stops in ${Math.round(lifetimeMs)} ms.`,
        cause: "this-router",
        closes: true,
      });
    }
    return await next();
  }
}
