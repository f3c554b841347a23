/** Classifies a response: complete, refused by the protocol, or broken. */
import {
  type Diagnostic,
  getDiagnostic,
  getDiagnosticCodes,
} from "../../src/diagnostics.ts";
import type { ExecutionStatus } from "../../src/types.ts";
import type { Exchange } from "./exchange.ts";

/** Why a response is neither complete nor a valid refusal. */
export type Breakage =
  | "connection"
  | "timeout"
  | "cut"
  | "error-event"
  | "wrong-bytes"
  | "bad-refusal"
  | "ran-twice";

/** Classification of one response; `whole` is a complete one. */
export type Outcome =
  | { readonly kind: "whole" }
  | {
    readonly kind: "refused";
    readonly code: string;
    readonly ran: ExecutionStatus;
    readonly retryAfterMs?: number;
  }
  | {
    readonly kind: "broken";
    readonly breakage: Breakage;
    readonly detail: string;
  };

/** Receives a response and its outcome. */
export type OutcomeHandler = (exchange: Exchange, outcome: Outcome) => void;

interface Problem {
  readonly type?: unknown;
  readonly status?: unknown;
  readonly ran?: unknown;
}

const TYPE_PREFIX = "urn:corianderflow:";
const MS_PER_SECOND = 1_000;
const MAX_DETAIL_LENGTH = 300;
const ERROR_EVENT = "event: error\n";
const TIMEOUT_CODES = ["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"];

/** Classifies a response whose body must equal `expected`. */
export function classifyExchange(
  exchange: Exchange,
  expected: string,
): Outcome {
  const { status, failure, text } = exchange;
  if (failure !== undefined) return classifyFailure(exchange, failure);
  if (status !== 200) return classifyRefusal(exchange);
  if (text === expected) return { kind: "whole" };
  if (hasErrorEvent(text, expected)) return broken("error-event", text);
  if (expected.startsWith(text)) return broken("cut", text);
  return broken("wrong-bytes", describeDifference(text, expected));
}

/**
 * Classifies a refusal: it must be problem+json with the type, the status and,
 * if retryable, the `Retry-After` header that its diagnostic defines.
 */
export function classifyRefusal({ status, headers, text }: Exchange): Outcome {
  const problem = parseProblem(text);
  const contentType = headers["content-type"] ?? "";
  const diagnostic = problem && findDiagnostic(problem);
  const isWellFormed = contentType.startsWith("application/problem+json") &&
    diagnostic !== undefined && diagnostic.status === status &&
    problem?.status === status;
  const ran = problem?.ran;
  if (!isWellFormed || (ran !== "no" && ran !== "unknown")) {
    return broken("bad-refusal", `${status} ${contentType} ${text}`);
  }
  const seconds = Number(headers["retry-after"]);
  if (diagnostic.retryable && !(Number.isInteger(seconds) && seconds >= 0)) {
    return broken(
      "bad-refusal",
      `${diagnostic.code} without a valid Retry-After header`,
    );
  }
  const retryAfterMs = diagnostic.retryable
    ? seconds * MS_PER_SECOND
    : undefined;
  return { kind: "refused", code: diagnostic.code, ran, retryAfterMs };
}

function classifyFailure(exchange: Exchange, failure: string): Outcome {
  if (TIMEOUT_CODES.includes(failure)) return broken("timeout", failure);
  const breakage = exchange.status === 0 ? "connection" : "cut";
  return broken(breakage, failure);
}

/** Creates the outcome of a broken response; shortens `detail`. */
export function broken(breakage: Breakage, detail: string): Outcome {
  const short = detail.slice(-MAX_DETAIL_LENGTH);
  return { kind: "broken", breakage, detail: short };
}

function parseProblem(text: string): Problem | undefined {
  try {
    return JSON.parse(text) as Problem;
  } catch {
    return undefined;
  }
}

function findDiagnostic({ type }: Problem): Diagnostic | undefined {
  const codes = getDiagnosticCodes();
  const code = codes.find((one) => type === TYPE_PREFIX + one);
  return code && getDiagnostic(code);
}

function hasErrorEvent(text: string, expected: string): boolean {
  const eventIndex = text.lastIndexOf(ERROR_EVENT);
  return eventIndex >= 0 && expected.startsWith(text.slice(0, eventIndex));
}

function describeDifference(text: string, expected: string): string {
  let index = 0;
  while (index < text.length && text[index] === expected[index]) index++;
  return `length ${text.length}, expected ${expected.length}, differs at ${index}: ${
    text.slice(index, index + MAX_DETAIL_LENGTH / 2)
  }`;
}
