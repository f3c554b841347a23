/**
 * Transitions of a non-idempotent call from its send on: writing the outcome to
 * its record, or removing the record of an attempt that did not run.
 */
import * as Debug from "../debug.ts";
import type { Item } from "../store/key_value.ts";
import {
  type Attempt,
  backOff,
  type Effect,
  finish,
  type Input,
  keepState,
  refuse,
  type Step,
  tryGetOwnRecord,
  updateState,
} from "./idempotency_attempt.ts";
import { type CallRecord, encodeCallRecord } from "./idempotency_record.ts";

/**
 * Number of reads that don't find the record after which a create without a
 * response is assumed to have had no effect.
 */
const MAX_MISSING_READS = 4;

function writeOutcome(
  attempt: Attempt,
  outcome: CallRecord,
  ...effects: Effect[]
): Step {
  const { revision } = attempt;
  const value = encodeCallRecord(outcome);
  const change = { phase: "recording", outcome } as const;
  const replace: Effect = { kind: "replace", value, revision };
  return updateState(attempt, change, ...effects, replace);
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
  if (input.kind !== "not-run") return keepState(attempt);
  const { code = "upstream-unreachable" } = input;
  const reply = refuse(code, "The request did not run", "no");
  return updateState(attempt, { phase: "settling" }, reply, {
    kind: "remove",
    revision,
  });
}

/** Handles the result of writing the outcome, and retries the write. */
export function stepRecording(attempt: Attempt, input: Input): Step {
  if (input.kind === "failed") return backOff(attempt);
  if (input.kind === "elapsed") return keepState(attempt, { kind: "read" });
  if (input.kind !== "conflict" && input.kind !== "read") {
    return finish(attempt);
  }
  const item = tryGetItem(input);
  // An earlier write of the outcome took effect although its response was lost.
  if (tryGetOwnRecord(attempt, item)?.state !== "sent") return finish(attempt);
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
  if (input.kind === "failed") return backOff(attempt);
  if (input.kind === "elapsed") return keepState(attempt, { kind: "read" });
  const item = tryGetItem(input);
  const own = tryGetOwnRecord(attempt, item);
  if (own !== undefined) {
    Debug.assert(own.state === "sent", "settled-call", () => own.state);
    return keepState(attempt, { kind: "remove", revision: item!.revision });
  }
  const missingReads = attempt.missingReads + 1;
  if (attempt.lostCreates === 0 || missingReads >= MAX_MISSING_READS) {
    return finish(attempt);
  }
  return backOff({ ...attempt, missingReads });
}
