/**
 * Sets the deadline of a request: what the caller asks for, within what the
 * service allows.
 */
import { createRefusal } from "../diagnostics.ts";
import {
  type Exchange,
  type Filter,
  type Next,
  type Outcome,
  refused,
} from "./exchange.ts";

/** Sets `deadlineAt`. */
export class DeadlineFilter implements Filter {
  readonly name = "deadline";

  handle(exchange: Exchange, next: Next): Promise<Outcome> {
    const service = exchange.service!;
    const header = exchange.headers["x-deadline-ms"];
    const asked = header === undefined ? service.deadlineMs : Number(header);
    if (!Number.isFinite(asked) || asked <= 0) {
      const detail = "x-deadline-ms takes a number above 0.";
      return Promise.resolve(refused(createRefusal("bad-request", detail)));
    }
    const budgetMs = Math.min(asked, service.deadlineMs);
    exchange.deadlineAt = exchange.arrivedAt + budgetMs;
    return next();
  }
}
