/**
 * State machine that decides after each failed try of a request at an upstream
 * whether to retry. A request is retried only if it is known not to have run or
 * may run more than once.
 */
import type { RouteKind } from "../routing/types.ts";

/** How a try failed. */
export type TryFailure =
  /** Nothing was written to the upstream. */
  | "not-sent"
  /** A different upstream answered at the address and did not run it. */
  | "misdirected"
  /** The upstream states that it did not run the request. */
  | "refused"
  /** The upstream answered with an error that can be passed on. */
  | "failed"
  /** The request may have run, but no complete response arrived. */
  | "no-answer";

/** Limits on the tries of one request. */
export interface TryLimits {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  /** Maximum number of upstreams that the request may be sent to. */
  readonly maxAttempts: number;
}

/** What to do after a failed try. */
export type NextStep =
  | "try-again"
  /** Pass the upstream's error response on to the caller. */
  | "pass-on"
  /** Refuse the request: it has not run. */
  | "refuse"
  /** Fail the request: it may have run and there is no response. */
  | "fail";

/** Maximum number of tries that don't reach the intended upstream. */
const MAX_UNSENT_TRIES = 3;

/** Whether a request of a route may run more than once. */
export function isRepeatable(
  { kind, isResumable }: Pick<TryLimits, "kind" | "isResumable">,
): boolean {
  return kind === "idempotent" || (kind === "stream" && isResumable);
}

/** Tracks the tries of one request. */
export class AttemptPlan {
  readonly #limits: TryLimits;
  #sent = 0;
  #unsent = 0;
  #mayHaveRun = false;

  constructor(limits: TryLimits) {
    this.#limits = limits;
  }

  /** Number of upstreams that the request was sent to so far. */
  get sent(): number {
    return this.#sent;
  }

  /** Whether the request is known not to have run. */
  get isNotRun(): boolean {
    return !this.#mayHaveRun;
  }

  /** Whether the request may run more than once. */
  get isRepeatable(): boolean {
    return isRepeatable(this.#limits);
  }

  /**
   * Decides what to do after a failed try. `tryRetry` takes a retry from the
   * fleet's budget; it is called only if another try is otherwise allowed.
   */
  next(end: TryFailure, { tryRetry }: { tryRetry: () => boolean }): NextStep {
    this.recordFailure(end);
    if (end === "not-sent" || end === "misdirected") {
      // A misdirected request reached an upstream, so resending it is a retry.
      const mayRepeat = end === "not-sent" || tryRetry();
      const isWithinUnsentLimit = this.#unsent < MAX_UNSENT_TRIES;
      return isWithinUnsentLimit && mayRepeat
        ? "try-again"
        : this.#getFinalStep(end);
    }
    const mayRepeat = end === "refused" || this.isRepeatable;
    const hasAttempts = this.#sent < this.#limits.maxAttempts;
    if (mayRepeat && hasAttempts && tryRetry()) return "try-again";
    return this.#getFinalStep(end);
  }

  /**
   * Whether the request may be sent to another upstream while `openTries` others
   * may still answer it.
   */
  mayTryBeside(openTries: number): boolean {
    return this.isRepeatable && openTries < this.triesLeft &&
      this.#unsent < MAX_UNSENT_TRIES;
  }

  /** Records a failed try that decides on nothing, since others are open. */
  recordFailure(end: TryFailure): void {
    if (end === "not-sent" || end === "misdirected") {
      this.#unsent++;
      return;
    }
    this.#sent++;
    if (end !== "refused") this.#mayHaveRun = true;
  }

  /** Records a try that was ended for another one. */
  recordLeft(): void {
    this.recordFailure("no-answer");
  }

  /** Upstreams that the request may still be sent to. */
  get triesLeft(): number {
    return this.#limits.maxAttempts - this.#sent;
  }

  /**
   * Records the tries of another router that was to serve the request; without
   * its word, it may have made all that it was allowed.
   */
  recordForwarded(tries: number | undefined): void {
    this.#sent += Math.min(tries ?? this.triesLeft, this.triesLeft);
  }

  /** Records that a try was abandoned before it ended; it may have run. */
  abandon(): void {
    this.#mayHaveRun = true;
  }

  #getFinalStep(end: TryFailure): NextStep {
    if (end === "failed") return "pass-on";
    return this.isNotRun ? "refuse" : "fail";
  }
}
