/**
 * Refusals of the ingress that several filters share.
 */
import { createRefusal, type DiagnosticCode } from "../diagnostics.ts";
import { chooseRetryAfter, type RefusalCause } from "../policy/retry_after.ts";
import type { IngressExchange, IngressOutcome } from "./ingress_exchange.ts";

/** Refuses a request that has not run, with when to come back. */
export function refuseForNow(
  exchange: Pick<IngressExchange, "answerBy" | "arrivedAt">,
  { code, detail, cause, closes = false }: {
    code: DiagnosticCode;
    detail: string;
    cause: RefusalCause;
    closes?: boolean;
  },
): IngressOutcome {
  const remainingMs = exchange.answerBy - exchange.arrivedAt;
  const retryAfterMs = chooseRetryAfter(cause, {
    remainingMs,
    random: Math.random,
  });
  const refusal = createRefusal(code, detail, { retryAfterMs });
  return { kind: "refused", refusal, closes };
}

/** Refuses because the configuration is too old to decide by. */
export function refuseUnconfirmed(
  exchange: IngressExchange,
  ageMs: number,
): IngressOutcome {
  const age = Number.isFinite(ageMs)
    ? `${Math.round(ageMs)} ms old`
    : "unknown";
  return refuseForNow(exchange, {
    code: "configuration-unconfirmed",
    detail: `The configuration of this router is ${age}.`,
    cause: "this-router",
    closes: true,
  });
}
