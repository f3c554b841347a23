/** Judges an answer: whole, refused as the protocol says, or broken. */
import {
  type Diagnostic,
  getDiagnostic,
  getDiagnosticCodes,
} from "../../src/diagnostics.ts";
import type { Ran } from "../../src/types.ts";
import type { Exchange } from "./exchange.ts";

/** Why an answer is neither whole nor a proper refusal. */
export type Breakage =
  | "connection"
  | "timeout"
  | "cut"
  | "error-event"
  | "wrong-bytes"
  | "bad-refusal"
  | "ran-twice";

/** Verdict on one answer. */
export type Outcome =
  | { readonly kind: "whole" }
  | {
    readonly kind: "refused";
    readonly code: string;
    readonly ran: Ran;
    readonly retryAfterMs?: number;
  }
  | {
    readonly kind: "broken";
    readonly breakage: Breakage;
    readonly detail: string;
  };

/** Takes an answer and its verdict. */
export type OutcomeHandler = (exchange: Exchange, outcome: Outcome) => void;

interface Problem {
  readonly type?: unknown;
  readonly status?: unknown;
  readonly ran?: unknown;
}

const TYPE_PREFIX = "urn:corianderflow:";
const MS_PER_SECOND = 1_000;
const DETAIL_LENGTH = 300;
const ERROR_EVENT = "event: error\n";
const TIMEOUT_CODES = ["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"];

/** Judges an answer that must be `expected`, byte for byte. */
export function judge(exchange: Exchange, expected: string): Outcome {
  const { status, failure, text } = exchange;
  if (failure !== undefined) return judgeFailure(exchange, failure);
  if (status !== 200) return judgeRefusal(exchange);
  if (text === expected) return { kind: "whole" };
  if (hasErrorEvent(text, expected)) return broken("error-event", text);
  if (expected.startsWith(text)) return broken("cut", text);
  return broken("wrong-bytes", describeDifference(text, expected));
}

/** Judges an answer that refuses: it must be problem+json by the table. */
export function judgeRefusal({ status, headers, text }: Exchange): Outcome {
  const problem = parseProblem(text);
  const type = headers["content-type"] ?? "";
  const row = problem && findDiagnostic(problem);
  const isWellFormed = type.startsWith("application/problem+json") &&
    row !== undefined && row.status === status && problem?.status === status;
  const ran = problem?.ran;
  if (!isWellFormed || (ran !== "no" && ran !== "unknown")) {
    return broken("bad-refusal", `${status} ${type} ${text}`);
  }
  const seconds = Number(headers["retry-after"]);
  if (row.retryable && !(Number.isInteger(seconds) && seconds >= 0)) {
    return broken("bad-refusal", `${row.code} without Retry-After`);
  }
  const retryAfterMs = row.retryable ? seconds * MS_PER_SECOND : undefined;
  return { kind: "refused", code: row.code, ran, retryAfterMs };
}

function judgeFailure(exchange: Exchange, failure: string): Outcome {
  if (TIMEOUT_CODES.includes(failure)) return broken("timeout", failure);
  const breakage = exchange.status === 0 ? "connection" : "cut";
  return broken(breakage, failure);
}

/** Creates the verdict on a broken answer. */
export function broken(breakage: Breakage, detail: string): Outcome {
  const short = detail.slice(-DETAIL_LENGTH);
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
  const at = text.lastIndexOf(ERROR_EVENT);
  return at >= 0 && expected.startsWith(text.slice(0, at));
}

function describeDifference(text: string, expected: string): string {
  let at = 0;
  while (at < text.length && text[at] === expected[at]) at++;
  return `${text.length} for ${expected.length} at ${at}: ${
    text.slice(at, at + DETAIL_LENGTH / 2)
  }`;
}
