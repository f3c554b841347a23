/**
 * Reads the body of a request within its bounds.
 */
import {
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
  refused,
} from "./exchange.ts";

/** Reads the body before the filters that need it. */
export class BodyFilter implements Filter {
  readonly name = "body";

  async handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const body = await exchange.readBody();
    if (body.err) return refused(body.val);
    exchange.body = body.val;
    return next();
  }
}
