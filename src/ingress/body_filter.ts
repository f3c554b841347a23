/**
 * Reads the body of a request within the configured bound, so that it can be
 * sent more than once.
 */
import { mayServeWhileStopping } from "../policy/stop_plan.ts";
import { readBody } from "../transport/http_server.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import { refuseForNow } from "./refusals.ts";

/** How far the stop of this router has gone. */
export interface StopProgress {
  /** Time since the router was asked to stop, in milliseconds. */
  readonly stoppingMs: number;
  /** Time until the process ends, in milliseconds. */
  readonly lifetimeMs: number;
}

/** Options of the filter. */
export interface RequestBodyFilterOptions {
  /** How far a stop has gone; undefined while there is none. */
  readonly getStop: () => StopProgress | undefined;
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
    const stop = this.#options.getStop();
    const remainingMs = exchange.answerBy - this.#options.clock();
    if (
      stop !== undefined && !mayServeWhileStopping({ ...stop, remainingMs })
    ) {
      return refuseForNow(exchange, {
        code: "router-stopping",
        detail: `This router stops in ${Math.round(stop.lifetimeMs)} ms.`,
        cause: "this-router",
        closes: true,
      });
    }
    return await next();
  }
}
