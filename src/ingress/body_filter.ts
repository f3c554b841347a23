/**
 * Buffers the body of a request, up to the configured limit, so that it can be
 * sent to several upstreams.
 */
import { getDiagnostic, type Refusal } from "../diagnostics.ts";
import type { MemoryBudget } from "../policy/memory_budget.ts";
import { readBody } from "../transport/request_body.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";
import { refuseRetryable } from "./refusals.ts";

/** Options of the filter. */
export interface RequestBodyFilterOptions {
  /** Bounds the bodies of all requests together. */
  readonly memory: MemoryBudget;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
}

/** Buffers request bodies until the outcome of the request is known. */
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
    const { memory, clock } = this.#options;
    const { maxBodyBytes } = exchange.table.configuration.limits;
    const remainingMs = exchange.deadlineAt - clock();
    const body = await readBody(exchange.request, {
      maxBodyBytes,
      remainingMs,
      memory,
      ...(exchange.workspace !== undefined && {
        source: exchange.workspace.name,
      }),
    });
    if (body.err) {
      if (exchange.response.destroyed) return { kind: "caller-left" };
      return refuse(exchange, body.val);
    }
    exchange.body = body.val.bytes;
    try {
      return await next();
    } finally {
      body.val.release();
    }
  }
}

function refuse(exchange: IngressExchange, refusal: Refusal): IngressOutcome {
  const { code, detail } = refusal;
  if (!getDiagnostic(code).retryable) return { kind: "refused", refusal };
  return refuseRetryable(exchange, {
    code,
    detail,
    cause: "this-router",
    closes: true,
  });
}
