/**
 * Transitions of a non-idempotent call from its send on: writing the outcome to
 * its record, or removing the record of an attempt that did not run.
 */
import * as Debug from "../debug.ts";
import type { Item } from "../store/key_value.ts";
import {
  type Attempt,
  type Effect,
  finish,
  getOwn,
  go,
  type Input,
  refuse,
  stay,
  type Step,
  waitRound,
} from "./idempotency_attempt.ts";
import { type Call, encodeCall } from "./idempotency_record.ts";

/**
 * Number of reads that don't find the record after which a create without a
 * response is assumed to have had no effect.
 */
const MAX_MISSING_READS = 4;

function writeOutcome(
  attempt: Attempt,
  outcome: Call,
  ...effects: Effect[]
): Step {
  const { revision } = attempt;
  const value = encodeCall(outcome);
  const change = { phase: "recording", outcome } as const;
  const replace: Effect = { kind: "replace", value, revision };
  return go(attempt, change, ...effects, replace);
}

/** Handles the result of the send. */
export function stepSending(attempt: Attempt, input: Input): Step {
  const { call, revision } = attempt;
  if (input.kind === "answered") {
    const { answer } = input;
    return writeOutcome(attempt, { ...call, state: "done", answer });
  }
  if (input.kind === "unclear") {
    const detail = "The upstream did not answer in full";
    const reply = refuse("outcome-unknown", detail, "unknown");
    return writeOutcome(attempt, { ...call, state: "unknown" }, reply);
  }
  if (input.kind !== "not-run") return stay(attempt);
  const { code = "upstream-unreachable" } = input;
  const reply = refuse(code, "The request did not run", "no");
  return go(attempt, { phase: "settling" }, reply, {
    kind: "remove",
    revision,
  });
}

/** Handles the result of writing the outcome, and retries the write. */
export function stepRecording(attempt: Attempt, input: Input): Step {
  if (input.kind === "failed") return waitRound(attempt);
  if (input.kind === "elapsed") return stay(attempt, { kind: "read" });
  if (input.kind !== "conflict" && input.kind !== "read") {
    return finish(attempt);
  }
  const item = tryGetItem(input);
  // An earlier write of the outcome took effect although its response was lost.
  if (getOwn(attempt, item)?.state !== "sent") return finish(attempt);
  const change = { ...attempt, revision: item!.revision };
  return writeOutcome(change, attempt.outcome);
}

function tryGetItem(input: Input): Item | undefined {
  if (input.kind === "read") return input.item;
  if (input.kind === "conflict") return input.current;
  return undefined;
}

/** Handles the removal of this attempt's record, and the retries of it. */
export function stepSettling(attempt: Attempt, input: Input): Step {
  if (input.kind === "failed") return waitRound(attempt);
  if (input.kind === "elapsed") return stay(attempt, { kind: "read" });
  const item = tryGetItem(input);
  const own = getOwn(attempt, item);
  if (own !== undefined) {
    Debug.assert(own.state === "sent", "settled-call", () => own.state);
    return stay(attempt, { kind: "remove", revision: item!.revision });
  }
  const absences = attempt.absences + 1;
  if (attempt.lostCreates === 0 || absences >= MAX_MISSING_READS) {
    return finish(attempt);
  }
  return waitRound({ ...attempt, absences });
}
