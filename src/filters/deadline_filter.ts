/**
 * Sets the deadline of a request: the one that the caller asks for, capped by
 * the service's.
 */
import { createRefusal } from "../diagnostics.ts";
import {
  createRefusedOutcome,
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
} from "./exchange.ts";

/** Sets `deadlineAt`; refuses a malformed `x-deadline-ms` as `bad-request`. */
export class DeadlineFilter implements Filter {
  readonly name = "deadline";

  handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const service = exchange.service!;
    const header = exchange.headers["x-deadline-ms"];
    const requestedMs = header === undefined
      ? service.deadlineMs
      : Number(header);
    if (!Number.isFinite(requestedMs) || requestedMs <= 0) {
      const detail = "x-deadline-ms takes a number above 0.";
      return Promise.resolve(
        createRefusedOutcome(createRefusal("bad-request", detail)),
      );
    }
    const budgetMs = Math.min(requestedMs, service.deadlineMs);
    exchange.deadlineAt = exchange.arrivedAt + budgetMs;
    return next();
  }
}
