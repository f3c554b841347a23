/**
 * How a try ended, what that says of its upstream, and its record.
 */
import type { TryRecord } from "./ingress_exchange.ts";
import type { TryResult } from "./upstream_try.ts";

/** How a try ended, or why the router stopped waiting for it. */
export type TryOutcome =
  | TryResult
  /** The caller got the answer of another try, while this one was not silent. */
  | { readonly kind: "left" }
  | { readonly kind: "caller-left" }
  | { readonly kind: "timed-out" }
  | { readonly kind: "router-ended" };

const MIN_REDIRECT_STATUS = 300;

/** The parts of a try's outcome that are recorded. */
export interface TryEnd {
  readonly kind: string;
  /** How it failed; set if `kind` is "ended". */
  readonly end?: string;
  readonly detail?: string;
}

/** Whether the upstream gave a usable and complete response. */
export function isAnswered({ kind }: TryEnd): boolean {
  return kind === "answered" || kind === "stream-complete";
}

/** Whether an upstream has survived a request and answered it to its end. */
export function isSurvived(tryOutcome: TryOutcome): boolean {
  return tryOutcome.kind === "stream-complete" ||
    tryOutcome.kind === "answered" &&
      tryOutcome.answer.status < MIN_REDIRECT_STATUS;
}

/** Whether the upstream may have ended while it had the request. */
export function isPossibleCrash(tryOutcome: TryOutcome): boolean {
  return tryOutcome.kind === "ended" && tryOutcome.isCutOff === true;
}

/**
 * Completes `record` with the end of its try after `ms` milliseconds. Returns how
 * it ended.
 */
export function recordTryEnd(
  record: TryRecord,
  { tryOutcome: { kind, end, detail }, ms }: { tryOutcome: TryEnd; ms: number },
): string {
  record.ms = Math.round(ms);
  record.end = end ?? kind;
  if (end !== undefined) record.detail = detail;
  return record.end;
}
