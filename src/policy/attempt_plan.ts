/**
 * Decides what follows a try at an upstream: the state machine of a request's
 * tries. Pattern: retry only what is known not to have run, or may run again.
 */
import type { RouteKind } from "../routing/types.ts";

/** How a try ended that brought no answer to pass on. */
export type TryEnd =
  /** Nothing was written to an upstream. */
  | "not-sent"
  /** Another upstream answered at the address, and did not run it. */
  | "misdirected"
  /** The upstream states that it did not run the request. */
  | "refused"
  /** The upstream answered that it failed; the answer can be passed on. */
  | "failed"
  /** The request may have run, and there is no whole answer. */
  | "no-answer";

/** What the request allows. */
export interface TryLimits {
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  /** Upstreams that the request may be sent to. */
  readonly maxAttempts: number;
}

/** What follows. */
export type NextStep =
  | "try-again"
  /** The upstream's own failure is the answer. */
  | "pass-on"
  /** The request has not run: refuse it. */
  | "refuse"
  /** The request may have run and there is no answer. */
  | "fail";

/** Tries that may end without having met the upstream they were meant for. */
const MAX_UNSENT = 3;

/** Follows the tries of one request. */
export class AttemptPlan {
  readonly #limits: TryLimits;
  #sent = 0;
  #unsent = 0;
  #mayHaveRun = false;

  constructor(limits: TryLimits) {
    this.#limits = limits;
  }

  /** Upstreams that the request was sent to so far. */
  get sent(): number {
    return this.#sent;
  }

  /** Whether the request can't have run. */
  get isNotRun(): boolean {
    return !this.#mayHaveRun;
  }

  /** Whether the request may run more than once. */
  get isRepeatable(): boolean {
    const { kind, isResumable } = this.#limits;
    return kind === "idempotent" || (kind === "stream" && isResumable);
  }

  /**
   * Decides on a try that ended. `tryRetry` takes a retry from the fleet's
   * budget; it is asked only if another try would follow.
   */
  next(end: TryEnd, { tryRetry }: { tryRetry: () => boolean }): NextStep {
    if (end === "not-sent" || end === "misdirected") {
      this.#unsent++;
      // What has arrived somewhere counts as a repeat when it's sent again.
      const mayRepeat = end === "not-sent" || tryRetry();
      const isFirst = this.#unsent < MAX_UNSENT;
      return isFirst && mayRepeat ? "try-again" : this.#giveUp(end);
    }
    this.#sent++;
    if (end !== "refused") this.#mayHaveRun = true;
    const mayRepeat = end === "refused" || this.isRepeatable;
    const hasAttempts = this.#sent < this.#limits.maxAttempts;
    if (mayRepeat && hasAttempts && tryRetry()) return "try-again";
    return this.#giveUp(end);
  }

  /** Notes that a try is given up before it has ended: it may have run. */
  abandon(): void {
    this.#mayHaveRun = true;
  }

  #giveUp(end: TryEnd): NextStep {
    if (end === "failed") return "pass-on";
    return this.isNotRun ? "refuse" : "fail";
  }
}
