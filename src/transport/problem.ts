/**
 * Renders refusals as problem+json (RFC 9457).
 */
import { Buffer } from "node:buffer";
import { getDiagnostic, type Refusal } from "../diagnostics.ts";
import type { ExecutionStatus } from "../types.ts";

/** Response body of a refusal. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly instance: string;
  /** Whether the request may have reached an upstream. */
  readonly ran: ExecutionStatus;
  /** Delay before a retry, in whole milliseconds. */
  readonly retryAfterMs?: number;
}

/** Header of a refusal that holds the id of the request. */
export const REQUEST_ID_HEADER = "x-request-id";

const MS_PER_SECOND = 1_000;

/** Creates the problem document for a refusal of the request `requestId`. */
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

/** HTTP response of a refusal. */
export interface RenderedProblem {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
}

/**
 * Renders the HTTP response of a refusal. `Retry-After` is in whole seconds,
 * rounded up to at least 1, or with `allowsFractionalSeconds` in seconds with three
 * decimals, for callers that accept fractions.
 */
export function renderProblem(
  refusal: Refusal,
  requestId: string,
  { allowsFractionalSeconds = false }: {
    allowsFractionalSeconds?: boolean;
  } = {},
): RenderedProblem {
  const problem = createProblem(refusal, requestId);
  const body = Buffer.from(JSON.stringify(problem));
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    "content-length": String(body.length),
    [REQUEST_ID_HEADER]: requestId,
  };
  if (problem.retryAfterMs !== undefined) {
    const seconds = problem.retryAfterMs / MS_PER_SECOND;
    headers["retry-after"] = allowsFractionalSeconds
      ? seconds.toFixed(3)
      : String(Math.max(1, Math.ceil(seconds)));
  }
  return { status: problem.status, headers, body };
}
