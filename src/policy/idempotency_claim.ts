/**
 * Transitions of a non-idempotent call before it is sent: creating its record,
 * or replying from the record of another attempt.
 */
import * as Debug from "../debug.ts";
import type { Item } from "../store/key_value.ts";
import {
  type Attempt,
  type AttemptContext,
  finishUnsent,
  type Input,
  keepState,
  refuse,
  type Step,
  updateState,
} from "./idempotency_attempt.ts";
import {
  type CallRecord,
  encodeCallRecord,
  type StoredResponse,
  tryDecodeCallRecord,
} from "./idempotency_record.ts";

const MAX_CREATES = 3;

/** Requests creation of the record; refuses after `MAX_CREATES` requests. */
export function createRecord(attempt: Attempt): Step {
  if (attempt.creates >= MAX_CREATES) return refuseUnconfirmed(attempt);
  const change = { phase: "creating", creates: attempt.creates + 1 } as const;
  const value = encodeCallRecord(attempt.call);
  return updateState(attempt, change, { kind: "create", value });
}

function refuseUnconfirmed(attempt: Attempt): Step {
  const { ranIfUnavailable } = attempt.options;
  const detail = "The call was not sent since its record can't be confirmed";
  return finishUnsent(
    attempt,
    refuse("key-value-unavailable", detail, ranIfUnavailable),
  );
}

function startSending(attempt: Attempt, revision: number): Step {
  return updateState(attempt, { phase: "sending", revision }, { kind: "run" });
}

/**
 * Waits for the attempt that owns the record. Refuses if that attempt seems
 * abandoned or the wait exceeds `maxWaitMs`.
 */
function waitForOtherAttempt(
  attempt: Attempt,
  call: CallRecord,
  { wallNow, isAlive }: AttemptContext,
): Step {
  const { options, waitedMs } = attempt;
  const isStale = wallNow - call.at > options.staleAfterMs;
  if (isStale || !isAlive(call.router)) {
    const detail = "An earlier request with this key was not seen to end";
    return finishUnsent(attempt, refuse("outcome-unknown", detail, "unknown"));
  }
  if (waitedMs >= options.maxWaitMs) {
    const detail = "An earlier request with this key is still running";
    return finishUnsent(attempt, refuse("in-progress", detail, "unknown"));
  }
  const change = {
    phase: "observing",
    waitedMs: waitedMs + options.pollMs,
  } as const;
  return updateState(attempt, change, { kind: "wait", ms: options.pollMs });
}

function replayResponse(attempt: Attempt, answer: StoredResponse): Step {
  if (answer.body !== undefined) {
    return finishUnsent(attempt, { kind: "replay", answer });
  }
  const detail = "The request has run; its answer was too large to keep";
  return finishUnsent(attempt, refuse("outcome-unknown", detail, "unknown"));
}

/** Decides how to proceed given the existing record of the key. */
function handleExistingRecord(
  attempt: Attempt,
  item: Item,
  surroundings: AttemptContext,
): Step {
  const call = tryDecodeCallRecord(item.value);
  if (call === undefined) {
    const detail = "The record of this key can't be read";
    return finishUnsent(attempt, refuse("outcome-unknown", detail, "unknown"));
  }
  if (call.id === attempt.call.id) {
    Debug.assert(call.state === "sent", "unsent-call", () => call.state);
    return startSending(attempt, item.revision);
  }
  if (call.digest !== attempt.call.digest) {
    const detail = "The key stands for a request with other content";
    return finishUnsent(attempt, refuse("idempotency-mismatch", detail, "no"));
  }
  if (call.state === "sent") {
    return waitForOtherAttempt(attempt, call, surroundings);
  }
  if (call.state === "done") return replayResponse(attempt, call.answer);
  const detail = "It is not known whether the request ran";
  return finishUnsent(attempt, refuse("outcome-unknown", detail, "unknown"));
}

/** Handles the response to the creation of the record, or its loss. */
export function stepCreating(
  attempt: Attempt,
  input: Input,
  surroundings: AttemptContext,
): Step {
  if (input.kind === "written") return startSending(attempt, input.revision);
  if (input.kind === "conflict") {
    if (input.current === undefined) return createRecord(attempt);
    return handleExistingRecord(attempt, input.current, surroundings);
  }
  if (input.kind !== "failed") return keepState(attempt);
  if (input.failure !== "unknown") return refuseUnconfirmed(attempt);
  const lostCreates = attempt.lostCreates + 1;
  return updateState(attempt, { phase: "resolving", lostCreates }, {
    kind: "read",
  });
}

/** Handles the read after the response to a creation was lost. */
export function stepResolving(
  attempt: Attempt,
  input: Input,
  surroundings: AttemptContext,
): Step {
  if (input.kind === "failed") return refuseUnconfirmed(attempt);
  if (input.kind !== "read") return keepState(attempt);
  if (input.item === undefined) return createRecord(attempt);
  return handleExistingRecord(attempt, input.item, surroundings);
}

/** Handles the end of a wait for another attempt, and the read after it. */
export function stepObserving(
  attempt: Attempt,
  input: Input,
  surroundings: AttemptContext,
): Step {
  if (input.kind === "elapsed") return keepState(attempt, { kind: "read" });
  if (input.kind === "failed") {
    const detail = "An earlier request with this key may have run";
    return finishUnsent(
      attempt,
      refuse("key-value-unavailable", detail, "unknown"),
    );
  }
  // If the record was removed, the other attempt sent nothing.
  return stepResolving(attempt, input, surroundings);
}
