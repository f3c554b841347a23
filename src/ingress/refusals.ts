/**
 * Creates the refusals that several ingress filters share.
 */
import { createRefusal, type DiagnosticCode } from "../diagnostics.ts";
import { chooseRetryAfter, type RefusalCause } from "../policy/retry_after.ts";
import type { IngressExchange, IngressOutcome } from "./ingress_exchange.ts";

/**
 * Refuses a request that has not run and can be retried. The retry delay
 * depends on `cause` and on the time that the caller waits.
 */
export function refuseRetryable(
  exchange: Pick<IngressExchange, "deadlineAt" | "arrivedAt">,
  { code, detail, cause, earliestMs = 0, closes = false }: {
    code: DiagnosticCode;
    detail: string;
    cause: RefusalCause;
    /** Time before which a retry can't succeed, in milliseconds. */
    earliestMs?: number;
    closes?: boolean;
  },
): IngressOutcome {
  const remainingMs = exchange.deadlineAt - exchange.arrivedAt;
  const retryAfterMs = earliestMs + chooseRetryAfter(cause, {
    remainingMs,
    random: Math.random,
  });
  const refusal = createRefusal(code, detail, { retryAfterMs });
  return { kind: "refused", refusal, closes };
}

/**
 * Largest age of the configuration at which a route or key that it lacks counts
 * as unknown, in milliseconds. Operators may have added it since, so an older
 * configuration proves nothing. Longer than the pause between two polls plus
 * the wait of a poll, shorter than the bound on applying a configuration.
 */
const MAX_AGE_FOR_UNKNOWN_MS = 1_500;

/**
 * Refuses a request with an unknown route or key. If the configuration is too
 * old to tell, refuses with `configuration-unconfirmed` instead.
 */
export function refuseUnknown(
  exchange: IngressExchange,
  { ageMs, code, detail }: {
    ageMs: number;
    code: DiagnosticCode;
    detail: string;
  },
): IngressOutcome {
  if (ageMs > MAX_AGE_FOR_UNKNOWN_MS) return refuseUnconfirmed(exchange, ageMs);
  return { kind: "refused", refusal: createRefusal(code, detail) };
}

/** Refuses because the configuration, of age `ageMs`, may be outdated. */
export function refuseUnconfirmed(
  exchange: IngressExchange,
  ageMs: number,
): IngressOutcome {
  const age = Number.isFinite(ageMs)
    ? `${Math.round(ageMs)} ms old`
    : "unknown";
  return refuseRetryable(exchange, {
    code: "configuration-unconfirmed",
    detail: `The configuration of this router is ${age}.`,
    cause: "this-router",
    closes: true,
  });
}
