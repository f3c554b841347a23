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

/**
 * Age up to which a missing route or key counts as missing, in milliseconds;
 * an older configuration may lack one that operators have just added. Above a
 * pause between polls and a poll that waits, below the bound on applying one.
 */
const MAX_AGE_OF_ABSENCE_MS = 1_500;

/** Refuses what the configuration lacks, if it is recent enough to say so. */
export function refuseAbsent(
  exchange: IngressExchange,
  { ageMs, code, detail }: {
    ageMs: number;
    code: DiagnosticCode;
    detail: string;
  },
): IngressOutcome {
  if (ageMs > MAX_AGE_OF_ABSENCE_MS) return refuseUnconfirmed(exchange, ageMs);
  return { kind: "refused", refusal: createRefusal(code, detail) };
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
