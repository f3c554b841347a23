/**
 * Second half of an attempt at a non-idempotent call: keeping its outcome, or
 * removing the record of an attempt that was not sent.
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

/** Reads without the record after which a lost create counts as ineffective. */
const MAX_ABSENCES = 4;

function record(attempt: Attempt, outcome: Call, ...effects: Effect[]): Step {
  const { revision } = attempt;
  const value = encodeCall(outcome);
  const change = { phase: "recording", outcome } as const;
  const replace: Effect = { kind: "replace", value, revision };
  return go(attempt, change, ...effects, replace);
}

/** The send has ended. */
export function stepSending(attempt: Attempt, input: Input): Step {
  const { call, revision } = attempt;
  if (input.kind === "answered") {
    const { answer } = input;
    return record(attempt, { ...call, state: "done", answer });
  }
  if (input.kind === "unclear") {
    const detail = "The upstream did not answer in full";
    const reply = refuse("outcome-unknown", detail, "unknown");
    return record(attempt, { ...call, state: "unknown" }, reply);
  }
  if (input.kind !== "not-run") return stay(attempt);
  const { code = "upstream-unreachable" } = input;
  const reply = refuse(code, "The request did not run", "no");
  return go(attempt, { phase: "settling" }, reply, {
    kind: "remove",
    revision,
  });
}

/** The outcome was written, or has to be written again. */
export function stepRecording(attempt: Attempt, input: Input): Step {
  if (input.kind === "failed") return waitRound(attempt);
  if (input.kind === "elapsed") return stay(attempt, { kind: "read" });
  if (input.kind !== "conflict" && input.kind !== "read") {
    return finish(attempt);
  }
  const item = getSeen(input);
  // An earlier write of the outcome took effect though its answer was lost.
  if (getOwn(attempt, item)?.state !== "sent") return finish(attempt);
  const change = { ...attempt, revision: item!.revision };
  return record(change, attempt.outcome);
}

function getSeen(input: Input): Item | undefined {
  if (input.kind === "read") return input.item;
  if (input.kind === "conflict") return input.current;
  return undefined;
}

/** The own record was removed, or is looked for again. */
export function stepSettling(attempt: Attempt, input: Input): Step {
  if (input.kind === "failed") return waitRound(attempt);
  if (input.kind === "elapsed") return stay(attempt, { kind: "read" });
  const item = getSeen(input);
  const own = getOwn(attempt, item);
  if (own !== undefined) {
    Debug.assert(own.state === "sent", "settled-call", () => own.state);
    return stay(attempt, { kind: "remove", revision: item!.revision });
  }
  const absences = attempt.absences + 1;
  if (attempt.lostCreates === 0 || absences >= MAX_ABSENCES) {
    return finish(attempt);
  }
  return waitRound({ ...attempt, absences });
}
