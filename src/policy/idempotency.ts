/**
 * At most one run of a non-idempotent call: the transitions of one attempt.
 *
 * The attempt creates the call's record, as `sent`, before it sends anything.
 * Whoever finds a record of another attempt never runs the call. Only the
 * attempt that wrote the record removes it, and only if it sent nothing, so
 * that a pause of any length between two steps is harmless.
 *
 * Two writes a call: the record and the answer. A third state was weighed, a
 * claim that another router may take over, turned into `sent` by CAS right
 * before sending. It makes three writes and one more round trip before the
 * call runs: some 130 calls/s of a service that bears 400 writes/s, against
 * 200. It gains little, because the write before the send has the same gap: if
 * the answer to that CAS is lost and the record can't be read, or the router
 * dies before it sends, the record says `sent` and nothing ran. A take-over
 * without that CAS is not safe, as the first router may be paused between its
 * last check and the send. So the record is created as late as possible, after
 * the request has got its place, and there is no take-over.
 *
 * A record may stand although its attempt was refused as not run: the answer to
 * the create was lost, or the release failed. The attempt then goes on after
 * its refusal, in the phase `settling`, and removes its record when the service
 * answers again. Until then a repeat is told that the call is in progress. If
 * the router dies first, the repeat is told that the outcome is unknown until
 * the record's retention ends.
 *
 * A refusal's `ran` speaks of this attempt where the service can't be reached:
 * an earlier request with the same key may have run. Once a record of another
 * attempt was seen, it speaks of the call.
 */
import {
  type Attempt,
  type AttemptOptions,
  type Input,
  stay,
  type Step,
  type Surroundings,
} from "./idempotency_attempt.ts";
import {
  create,
  stepCreating,
  stepObserving,
  stepResolving,
} from "./idempotency_claim.ts";
import {
  stepRecording,
  stepSending,
  stepSettling,
} from "./idempotency_outcome.ts";

const DEFAULT_MAX_WAIT_MS = 2_000;
const DEFAULT_POLL_MS = 200;
const DEFAULT_STALE_AFTER_MS = 120_000;

/** Starts an attempt; `id` must never be used again. */
export function startAttempt(
  { id, digest, router, wallNow }: {
    id: string;
    digest: string;
    router: string;
    wallNow: number;
  },
  {
    maxWaitMs = DEFAULT_MAX_WAIT_MS,
    pollMs = DEFAULT_POLL_MS,
    staleAfterMs = DEFAULT_STALE_AFTER_MS,
    ranIfUnavailable = "no",
  }: AttemptOptions = {},
): Step {
  const call = { id, digest, router, at: wallNow, state: "sent" } as const;
  return create({
    phase: "creating",
    call,
    options: { maxWaitMs, pollMs, staleAfterMs, ranIfUnavailable },
    revision: 0,
    outcome: call,
    creates: 0,
    lostCreates: 0,
    waitedMs: 0,
    rounds: 0,
    absences: 0,
  });
}

/** Takes an attempt on by one input. */
export function stepAttempt(
  attempt: Attempt,
  input: Input,
  surroundings: Surroundings,
): Step {
  switch (attempt.phase) {
    case "creating":
      return stepCreating(attempt, input, surroundings);
    case "resolving":
      return stepResolving(attempt, input, surroundings);
    case "observing":
      return stepObserving(attempt, input, surroundings);
    case "sending":
      return stepSending(attempt, input);
    case "recording":
      return stepRecording(attempt, input);
    case "settling":
      return stepSettling(attempt, input);
    case "finished":
      return stay(attempt);
  }
}
