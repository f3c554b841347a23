/**
 * State machine of one attempt at a non-idempotent call. It ensures that the
 * call runs at most once.
 *
 * The attempt creates the call's record in the state `sent` before it sends
 * anything. An attempt that finds the record of another attempt never runs the
 * call. Only the attempt that wrote the record removes it, and only if it sent
 * nothing. Safety therefore doesn't depend on how long a process is paused
 * between two steps.
 *
 * Each call takes two writes: the record and the outcome. The alternative was a
 * third state: a claim that another router may take over and that is changed to
 * `sent` by compare-and-swap right before sending. It would take three writes
 * and one more round trip before the call runs, or about 130 calls/s instead of
 * 200 calls/s on a key-value service that handles 400 writes/s. It would gain
 * little, because the write before the send leaves the same gap: if the
 * response to the compare-and-swap is lost and the record can't be read, or the
 * router dies before it sends, the record says `sent` although nothing ran.
 * Taking over without the compare-and-swap is unsafe, because the first router
 * may be paused between its last check and the send. The record is therefore
 * created as late as possible, once the request has reached the pool's owner,
 * and can't be taken over.
 *
 * The record may still exist after its attempt was refused as not run, if the
 * response to its creation was lost or removing it failed. The attempt
 * then continues in the phase `settling` after its refusal, and removes the
 * record once the key-value service responds again. Until then, a repeat of the
 * request is refused as in progress. If the router dies first, repeats are
 * refused with an unknown outcome until the retention of the record ends.
 *
 * If the key-value service can't be reached, the `ran` field of a refusal
 * describes this attempt only: an earlier request with the same key may have
 * run. Once the attempt has read a record of another attempt, `ran` describes
 * the call.
 */
import {
  type Attempt,
  type AttemptContext,
  type AttemptOptions,
  type Input,
  keepState,
  type Step,
} from "./idempotency_attempt.ts";
import {
  createRecord,
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

/**
 * Starts an attempt.
 *
 * @param request `id` is unique to this attempt and must never be reused.
 *   `digest` comes from `getRequestDigest`. `router` names the router and its
 *   incarnation. `wallNow` is in milliseconds since the epoch.
 */
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
  return createRecord({
    phase: "creating",
    call,
    options: { maxWaitMs, pollMs, staleAfterMs, ranIfUnavailable },
    revision: 0,
    outcome: call,
    creates: 0,
    lostCreates: 0,
    waitedMs: 0,
    backoffs: 0,
    missingReads: 0,
  });
}

/** Applies one input to an attempt; a finished attempt ignores it. */
export function stepAttempt(
  attempt: Attempt,
  input: Input,
  surroundings: AttemptContext,
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
      return keepState(attempt);
  }
}
