/**
 * Buffers the request body, up to the server's size limit.
 */
import {
  createRefusedOutcome,
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
} from "./exchange.ts";

/** Reads the whole body into `exchange.body` for the filters that follow. */
export class BodyFilter implements Filter {
  readonly name = "body";

  async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const body = await exchange.readBody();
    if (body.err) return createRefusedOutcome(body.val);
    exchange.body = body.val;
    return next();
  }
}
