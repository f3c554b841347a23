/**
 * Buffers the body of a request, up to the configured limit, so that it can be
 * sent to several upstreams.
 */
import { mayServeWhileStopping } from "../policy/stop_plan.ts";
import { readBody } from "../transport/http_server.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import { refuseRetryable } from "./refusals.ts";

/** Progress of a graceful stop of this router. */
export interface StopProgress {
  /** Time since the router was asked to stop, in milliseconds. */
  readonly stoppingMs: number;
  /** Time until the process ends, in milliseconds. */
  readonly lifetimeMs: number;
}

/** Options of the filter. */
export interface RequestBodyFilterOptions {
  /** Returns the progress of the stop; undefined while the router runs. */
  readonly getStop: () => StopProgress | undefined;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
}

/**
 * Buffers request bodies. While the router stops, refuses requests that could
 * outlast the process.
 */
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
    const remainingMs = exchange.deadlineAt - this.#options.clock();
    if (
      stop !== undefined && !mayServeWhileStopping({ ...stop, remainingMs })
    ) {
      return refuseRetryable(exchange, {
        code: "router-stopping",
        detail: `This router stops in ${Math.round(stop.lifetimeMs)} ms.`,
        cause: "this-router",
        closes: true,
      });
    }
    return await next();
  }
}
