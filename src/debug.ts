/**
 * Runtime invariant checks.
 *
 * By default a breach throws, which fails tests. The daemon installs a handler
 * at start that counts and logs the breach instead.
 */

/** Error for an invariant that `assert` found not to hold. */
export class InvariantBreach extends Error {
  /** Stable name of the invariant, used as a metric label. */
  readonly invariant: string;

  constructor(invariant: string, detail: string) {
    super(`${invariant}: ${detail}`);
    this.name = "InvariantBreach";
    this.invariant = invariant;
  }
}

/** Called for each breach that `assert` reports. */
export type BreachHandler = (breach: InvariantBreach) => void;

function throwBreach(breach: InvariantBreach): void {
  throw breach;
}

let handler: BreachHandler = throwBreach;

/** Replaces the breach handler and returns the previous one. */
export function setBreachHandler(next: BreachHandler): BreachHandler {
  const previous = handler;
  handler = next;
  return previous;
}

/**
 * Reports a breach of `invariant` to the breach handler unless `condition`
 * holds. `detail` is evaluated only on a breach.
 *
 * @throws InvariantBreach if the default handler is installed
 */
export function assert(
  condition: boolean,
  invariant: string,
  detail: () => string = () => "does not hold",
): void {
  if (condition) return;
  handler(new InvariantBreach(invariant, detail()));
}
