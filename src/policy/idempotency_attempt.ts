/**
 * State, inputs and effects of one attempt at a non-idempotent call, and the
 * transitions that several phases share.
 */
import {
  createRefusal,
  type DiagnosticCode,
  type Refusal,
} from "../diagnostics.ts";
import type { Item, PlatformFailureKind } from "../store/key_value.ts";
import type { ExecutionStatus } from "../types.ts";
import {
  type CallRecord,
  type StoredResponse,
  tryDecodeCallRecord,
} from "./idempotency_record.ts";

/** Phase of an attempt. */
export type Phase =
  /** Waiting for the response to the create of its record. */
  | "creating"
  /** Reading the record, because the response to the create was lost. */
  | "resolving"
  /** Waiting for the other attempt that owns the record. */
  | "observing"
  /** Sending the request, once. */
  | "sending"
  /** Writing the outcome to the record. */
  | "recording"
  /** Refused as not run; removing the record. */
  | "settling"
  | "finished";

/** Options of an attempt. Times are in milliseconds. */
export interface AttemptOptions {
  /** Maximum time to wait for the response of another attempt. */
  maxWaitMs?: number;
  /** Interval between reads of another attempt's record. */
  pollMs?: number;
  /** Age after which a record that is still `sent` counts as abandoned. */
  staleAfterMs?: number;
  /**
   * Value of `ran` in the refusal of an attempt that was not sent because the
   * key-value service can't be reached. `unknown` allows for an earlier request
   * with the same key that may have run.
   */
  ranIfUnavailable?: ExecutionStatus;
}

/** State of one attempt at a call. */
export interface Attempt {
  readonly phase: Phase;
  /** The record as this attempt creates it. */
  readonly call: CallRecord;
  readonly options: Required<AttemptOptions>;
  /** Last known revision of this attempt's record. */
  readonly revision: number;
  /** The record to write in the phase `recording`. */
  readonly outcome: CallRecord;
  /** Number of creates that were requested. */
  readonly creates: number;
  /** Number of creates without a response, which may still take effect. */
  readonly lostCreates: number;
  /** Time spent waiting for another attempt. */
  readonly waitedMs: number;
  /** Back-offs since the reply to the caller. */
  readonly backoffs: number;
  /** Reads in the phase `settling` that did not find this attempt's record. */
  readonly missingReads: number;
}

/**
 * An event that advances an attempt. The first four kinds are responses to the
 * last effect on the key.
 */
export type Input =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: Item | undefined }
  | { readonly kind: "read"; readonly item: Item | undefined }
  | { readonly kind: "failed"; readonly failure: PlatformFailureKind }
  /** The requested wait has elapsed. */
  | { readonly kind: "elapsed" }
  /** Nothing was written to an upstream, or it reported that nothing ran. */
  | { readonly kind: "not-run"; readonly code?: DiagnosticCode }
  /** The upstream sent a complete response. */
  | { readonly kind: "answered"; readonly answer: StoredResponse }
  /** The request was sent, but no complete response was received. */
  | { readonly kind: "unclear" };

/**
 * An action for the caller to perform. At most one effect of a step results in
 * an input.
 */
export type Effect =
  | { readonly kind: "create"; readonly value: string }
  | { readonly kind: "read" }
  | {
    readonly kind: "replace";
    readonly value: string;
    readonly revision: number;
  }
  | { readonly kind: "remove"; readonly revision: number }
  | { readonly kind: "wait"; readonly ms: number }
  /** Check the deadline and send the request; if unsent, report `not-run`. */
  | { readonly kind: "run" }
  | { readonly kind: "replay"; readonly answer: StoredResponse }
  | { readonly kind: "refuse"; readonly refusal: Refusal };

/** The state after an input, and the effects to perform in order. */
export interface Step {
  readonly attempt: Attempt;
  readonly effects: readonly Effect[];
}

/** What the router needs to know to evaluate another attempt's record. */
export interface AttemptContext {
  /** Wall clock, milliseconds since the epoch; safety doesn't depend on it. */
  readonly wallNow: number;
  /** Whether the router incarnation that a record names is still alive. */
  readonly isAlive: (router: string) => boolean;
}

const MAX_RETRIES = 40;
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 60_000;

/** Keeps the state and performs `effects`. */
export function keepState(attempt: Attempt, ...effects: Effect[]): Step {
  return { attempt, effects };
}

/** Applies `change` to the state and performs `effects`. */
export function updateState(
  attempt: Attempt,
  change: Partial<Attempt>,
  ...effects: Effect[]
): Step {
  return { attempt: { ...attempt, ...change }, effects };
}

/** Finishes the attempt after `effects`. */
export function finish(attempt: Attempt, ...effects: Effect[]): Step {
  return updateState(attempt, { phase: "finished" }, ...effects);
}

/** Creates the effect that refuses the request. */
export function refuse(
  code: DiagnosticCode,
  detail: string,
  ran: ExecutionStatus,
): Effect {
  return { kind: "refuse", refusal: createRefusal(code, detail, { ran }) };
}

function getBackoffMs(backoffs: number): number {
  return Math.min(
    MAX_BACKOFF_MS,
    INITIAL_BACKOFF_MS * 2 ** Math.min(backoffs, 10),
  );
}

/**
 * Waits for the key-value service with exponential back-off. Finishes the
 * attempt after `MAX_RETRIES` waits.
 */
export function backOff(attempt: Attempt, ...effects: Effect[]): Step {
  const { backoffs } = attempt;
  if (backoffs >= MAX_RETRIES) return finish(attempt, ...effects);
  const wait: Effect = { kind: "wait", ms: getBackoffMs(backoffs) };
  return updateState(attempt, { backoffs: backoffs + 1 }, ...effects, wait);
}

/**
 * Replies for an attempt that will not send. If the response to a create was
 * lost, the attempt continues in the phase `settling` to remove its record.
 */
export function finishUnsent(attempt: Attempt, reply: Effect): Step {
  if (attempt.lostCreates === 0) return finish(attempt, reply);
  return backOff({ ...attempt, phase: "settling" }, reply);
}

/** Decodes `item` if it is this attempt's record. */
export function tryGetOwnRecord(
  attempt: Attempt,
  item: Item | undefined,
): CallRecord | undefined {
  if (item === undefined) return undefined;
  const call = tryDecodeCallRecord(item.value);
  return call?.id === attempt.call.id ? call : undefined;
}
