/**
 * Table of all diagnostics that a caller or an operator can receive.
 *
 * A refusal is sent as problem+json (RFC 9457) with the `type`
 * `urn:corianderflow:<code>`.
 */
import type { ExecutionStatus } from "./types.ts";

/** A diagnostic: its HTTP status, title and retryability. */
export interface Diagnostic {
  readonly code: DiagnosticCode;
  /** HTTP status of the refusal. */
  readonly status: number;
  readonly title: string;
  /** Whether the same request may succeed when it is retried. */
  readonly retryable: boolean;
}

const diagnosticRows = {
  "bad-request": [400, "The request is malformed", false],
  "bad-json": [400, "The body is not JSON", false],
  "bad-chat-id": [400, "The chat id is malformed", false],
  "missing-idempotency-key": [
    400,
    "This route needs an Idempotency-Key",
    false,
  ],
  "bad-idempotency-key": [400, "The Idempotency-Key is malformed", false],
  "unknown-key": [401, "The workspace key is unknown", false],
  "unknown-model": [404, "No service serves this model", false],
  "unknown-route": [404, "No service has this route", false],
  "body-too-large": [413, "The body is too large", false],
  "request-timeout": [408, "The request was not sent in time", true],
  "idempotency-mismatch": [
    422,
    "The Idempotency-Key was used for another request",
    false,
  ],
  "in-progress": [409, "A request with this key is in progress", true],
  "workspace-limit": [429, "The workspace is at its limit", true],
  "queue-full": [503, "The queue is full", true],
  "workspace-share": [429, "The workspace is above its share", true],
  "would-miss-deadline": [503, "The wait would pass the deadline", true],
  "deadline-passed": [504, "The deadline has passed", true],
  "no-capacity": [503, "No upstream can take the request", true],
  "prompt-quarantined": [503, "The prompt crashes upstreams", true],
  "request-quarantined": [503, "The request crashes upstreams", true],
  "stream-unknown": [503, "The stream that is resumed is unknown", true],
  "no-owner": [503, "No router that owns the pool can be reached", true],
  "not-ready": [503, "The router is not ready", true],
  "memory-full": [503, "The router has no memory left for the request", true],
  "configuration-unconfirmed": [
    503,
    "The router can't confirm its configuration",
    true,
  ],
  "router-stopping": [503, "The router is about to stop", true],
  "key-value-unavailable": [
    503,
    "The platform's key-value service can't be reached",
    true,
  ],
  "upstream-unreachable": [503, "The upstream can't be reached", true],
  "upstream-failed": [502, "The upstream failed while it answered", false],
  "outcome-unknown": [502, "The outcome of the request is unknown", false],
  "internal": [500, "The router failed", false],
} as const satisfies Record<string, readonly [number, string, boolean]>;

/** Stable code of a diagnostic, sent to callers and used as a metric label. */
export type DiagnosticCode = keyof typeof diagnosticRows;

/** Returns the diagnostic with the given code. */
export function getDiagnostic(code: DiagnosticCode): Diagnostic {
  const [status, title, retryable] = diagnosticRows[code];
  return { code, status, title, retryable };
}

/** Returns the codes of all diagnostics. */
export function getDiagnosticCodes(): DiagnosticCode[] {
  return Object.keys(diagnosticRows) as DiagnosticCode[];
}

/** Refusal of one request, with the information that the caller acts on. */
export interface Refusal {
  readonly code: DiagnosticCode;
  readonly ran: ExecutionStatus;
  readonly detail: string;
  /** Delay before a retry, in milliseconds; absent if not retryable. */
  readonly retryAfterMs?: number;
}

/** Options for `createRefusal`. */
export interface RefusalOptions {
  ran?: ExecutionStatus;
  retryAfterMs?: number;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Characters of a detail, which may quote what others have sent. */
const MAX_DETAIL_LENGTH = 1_000;

/**
 * Creates a refusal. If its code is retryable, it has a retry delay: the given
 * `retryAfterMs` or a default. A long `text` is cut.
 */
export function createRefusal(
  code: DiagnosticCode,
  text: string,
  { ran = "no", retryAfterMs }: RefusalOptions = {},
): Refusal {
  const detail = text.length > MAX_DETAIL_LENGTH
    ? `${text.slice(0, MAX_DETAIL_LENGTH)}…`
    : text;
  if (!getDiagnostic(code).retryable) return { code, ran, detail };
  return {
    code,
    ran,
    detail,
    retryAfterMs: retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
  };
}
