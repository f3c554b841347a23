/**
 * State, inputs and effects of one attempt at a non-idempotent call, and the
 * steps that its phases have in common.
 */
import {
  createRefusal,
  type DiagnosticCode,
  type Refusal,
} from "../diagnostics.ts";
import type { Item, PlatformFailureKind } from "../store/key_value.ts";
import type { Ran } from "../types.ts";
import { type Answer, type Call, tryDecodeCall } from "./idempotency_record.ts";

/** Where an attempt stands. */
export type Phase =
  /** Its create is under way. */
  | "creating"
  /** Its create's answer was lost, and the record is being read. */
  | "resolving"
  /** Another attempt holds the record. */
  | "observing"
  /** It may send, once. */
  | "sending"
  /** Its outcome is being written. */
  | "recording"
  /** It was refused as not run, and its record is being removed. */
  | "settling"
  | "finished";

/** Options of an attempt; times are in milliseconds. */
export interface AttemptOptions {
  /** Longest wait for another attempt's answer. */
  maxWaitMs?: number;
  /** Time between two reads of another attempt's record. */
  pollMs?: number;
  /** Age at which a record that still says `sent` counts as abandoned. */
  staleAfterMs?: number;
  /**
   * What is said of an attempt that was not sent because the service can't be
   * reached. `unknown` takes into account that an earlier request with the
   * same key may have run.
   */
  ranIfUnavailable?: Ran;
}

/** One attempt at a call. */
export interface Attempt {
  readonly phase: Phase;
  /** The record as created. */
  readonly call: Call;
  readonly options: Required<AttemptOptions>;
  /** Revision of the own record. */
  readonly revision: number;
  /** The record to write in the phase `recording`. */
  readonly outcome: Call;
  readonly creates: number;
  /** Creates that may yet take effect. */
  readonly lostCreates: number;
  readonly waitedMs: number;
  /** Waits since the reply to the caller. */
  readonly rounds: number;
  /** Reads in the phase `settling` that found no own record. */
  readonly absences: number;
}

/** What the attempt learns; the first four answer its last effect on the key. */
export type Input =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict"; readonly current: Item | undefined }
  | { readonly kind: "read"; readonly item: Item | undefined }
  | { readonly kind: "failed"; readonly failure: PlatformFailureKind }
  /** A wait is over. */
  | { readonly kind: "elapsed" }
  /** Nothing was written to any upstream, or it said that nothing ran. */
  | { readonly kind: "not-run"; readonly code?: DiagnosticCode }
  /** The upstream answered in full. */
  | { readonly kind: "answered"; readonly answer: Answer }
  /** The request was sent and no full answer came. */
  | { readonly kind: "unclear" };

/** What is to be done; at most one of a list has an answer. */
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
  /** Check the deadline and send; an unsent request is `not-run`. */
  | { readonly kind: "run" }
  | { readonly kind: "replay"; readonly answer: Answer }
  | { readonly kind: "refuse"; readonly refusal: Refusal };

/** The attempt after an input, and what follows. */
export interface Step {
  readonly attempt: Attempt;
  readonly effects: readonly Effect[];
}

/** What the router knows when it judges another attempt's record. */
export interface Surroundings {
  /** Wall clock, milliseconds since the epoch; no safety rests on it. */
  readonly wallNow: number;
  /** Whether a router, as named in a record, is still up. */
  readonly isAlive: (router: string) => boolean;
}

const MAX_ROUNDS = 40;
const FIRST_ROUND_MS = 500;
const MAX_ROUND_MS = 60_000;

/** Leaves the attempt as it is. */
export function stay(attempt: Attempt, ...effects: Effect[]): Step {
  return { attempt, effects };
}

/** Changes the attempt. */
export function go(
  attempt: Attempt,
  change: Partial<Attempt>,
  ...effects: Effect[]
): Step {
  return { attempt: { ...attempt, ...change }, effects };
}

/** Ends the attempt. */
export function finish(attempt: Attempt, ...effects: Effect[]): Step {
  return go(attempt, { phase: "finished" }, ...effects);
}

/** Refuses the request. */
export function refuse(code: DiagnosticCode, detail: string, ran: Ran): Effect {
  return { kind: "refuse", refusal: createRefusal(code, detail, { ran }) };
}

function getDelay(rounds: number): number {
  return Math.min(MAX_ROUND_MS, FIRST_ROUND_MS * 2 ** Math.min(rounds, 10));
}

/** Waits for the key-value service, longer each time and within a bound. */
export function waitRound(attempt: Attempt, ...effects: Effect[]): Step {
  const { rounds } = attempt;
  if (rounds >= MAX_ROUNDS) return finish(attempt, ...effects);
  const wait: Effect = { kind: "wait", ms: getDelay(rounds) };
  return go(attempt, { rounds: rounds + 1 }, ...effects, wait);
}

/** Ends an attempt that will not send; a lost create is settled first. */
export function conclude(attempt: Attempt, reply: Effect): Step {
  if (attempt.lostCreates === 0) return finish(attempt, reply);
  return waitRound({ ...attempt, phase: "settling" }, reply);
}

/** Finds the own record in what was read. */
export function getOwn(
  attempt: Attempt,
  item: Item | undefined,
): Call | undefined {
  if (item === undefined) return undefined;
  const call = tryDecodeCall(item.value);
  return call?.id === attempt.call.id ? call : undefined;
}
