/**
 * Refusals as problem+json (RFC 9457).
 */
import { Buffer } from "node:buffer";
import { getDiagnostic, type Refusal } from "../diagnostics.ts";
import type { Ran } from "../types.ts";

/** Body of a refusal. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly instance: string;
  /** Whether the request ran. */
  readonly ran: Ran;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

const MS_PER_SECOND = 1_000;

/** Describes a refusal of the request `requestId`. */
export function createProblem(refusal: Refusal, requestId: string): Problem {
  const { status, title } = getDiagnostic(refusal.code);
  const problem: Problem = {
    type: `urn:corianderflow:${refusal.code}`,
    title,
    status,
    detail: refusal.detail,
    instance: `urn:corianderflow:request:${requestId}`,
    ran: refusal.ran,
  };
  if (refusal.retryAfterMs === undefined) return problem;
  return { ...problem, retryAfterMs: Math.ceil(refusal.retryAfterMs) };
}

/** A refusal as it goes over HTTP. */
export interface RenderedProblem {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
}

/**
 * Renders a refusal; Retry-After is in whole seconds, rounded up, unless the
 * callers take fractions.
 */
export function renderProblem(
  refusal: Refusal,
  requestId: string,
  { hasFractions = false }: { hasFractions?: boolean } = {},
): RenderedProblem {
  const problem = createProblem(refusal, requestId);
  const body = Buffer.from(JSON.stringify(problem));
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "content-length": String(body.length),
    "x-request-id": requestId,
  };
  if (problem.retryAfterMs !== undefined) {
    const seconds = problem.retryAfterMs / MS_PER_SECOND;
    headers["retry-after"] = hasFractions
      ? seconds.toFixed(3)
      : String(Math.max(1, Math.ceil(seconds)));
  }
  return { status: problem.status, headers, body };
}
