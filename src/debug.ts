/**
 * Invariant checks.
 *
 * A breached invariant throws in tests and is counted and logged in a daemon,
 * which installs its own handler at start.
 */

/** A breach of an invariant that the program itself asserts. */
export class InvariantBreach extends Error {
  /** Stable name of the invariant, used as a metric label. */
  readonly invariant: string;

  constructor(invariant: string, detail: string) {
    super(`${invariant}: ${detail}`);
    this.name = "InvariantBreach";
    this.invariant = invariant;
  }
}

/** What to do about a breach. */
export type BreachHandler = (breach: InvariantBreach) => void;

function throwBreach(breach: InvariantBreach): void {
  throw breach;
}

let handler: BreachHandler = throwBreach;

/** Replaces the handler of breaches; returns the one that was in force. */
export function setBreachHandler(next: BreachHandler): BreachHandler {
  const previous = handler;
  handler = next;
  return previous;
}

/** Reports a breach of `invariant` unless `condition` holds. */
export function assert(
  condition: boolean,
  invariant: string,
  detail: () => string = () => "does not hold",
): void {
  if (condition) return;
  handler(new InvariantBreach(invariant, detail()));
}
