/**
 * Decides about tries that receive no data. A pause is no end: an engine that runs
 * out of memory preempts requests and goes on with them seconds later, and a
 * caller waits for that. Silence therefore ends no try. It lets the request be
 * sent to another upstream as well, and the first of them that goes on with the
 * answer keeps the request.
 *
 * Answers the load of engines that are full: each of them preempts requests, the
 * others reject those that leave, and a request that waits at two of them makes
 * another one wait.
 */
import type { RouteKind } from "../routing/types.ts";

/**
 * Time without data after which a try of a plain service is silent, as a multiple
 * of the route's latency objective.
 */
const PLAIN_SILENCE_FACTOR = 2;
/**
 * Time without data, on top of the latency objective, after which a stream is
 * silent, in milliseconds. Callers abandon a stream after two seconds without an
 * event, or later.
 */
const STREAM_SILENCE_BASE_MS = 1_200;

/**
 * Returns the time without data after which a try is silent, in milliseconds;
 * Infinity for a request that may run only once, which no other upstream may get.
 */
export function getSilenceTimeoutMs(
  { kind, objectiveMs }: { kind: RouteKind; objectiveMs: number },
  { isRepeatable }: { isRepeatable: boolean },
): number {
  if (!isRepeatable) return Infinity;
  return kind === "stream"
    ? STREAM_SILENCE_BASE_MS + objectiveMs
    : objectiveMs * PLAIN_SILENCE_FACTOR;
}

/** Which upstreams may get a request: those with a free slot, or any. */
export type SlotRule = "free" | "any";

/**
 * Returns which upstreams may get a request whose open tries are all silent. A
 * request that may still be answered where it is takes no second place in a
 * queue.
 */
export function getSlotRule(
  openTries: readonly { readonly isSuspect: boolean }[],
): SlotRule {
  return openTries.every(({ isSuspect }) => isSuspect) ? "any" : "free";
}
