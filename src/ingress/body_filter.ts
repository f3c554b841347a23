/**
 * Buffers the body of a request, up to the configured limit, so that it can be
 * sent to several upstreams.
 */
import { readBody } from "../transport/request_body.ts";
import type {
  IngressExchange,
  IngressFilter,
  IngressOutcome,
} from "./ingress_exchange.ts";

/** Buffers request bodies. */
export class RequestBodyFilter implements IngressFilter {
  readonly name = "body";

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
    return await next();
  }
}
