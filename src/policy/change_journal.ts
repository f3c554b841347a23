/**
 * Keeps the last changes of the store that matter, for routers that ask what
 * has happened since a revision.
 *
 * Most writes are heartbeats that change nothing, so that few changes are kept.
 */
import type { StoreChange } from "../routing/types.ts";

/** Changes that lead from one revision to a later one. */
interface Batch {
  readonly revision: number;
  readonly changes: readonly StoreChange[];
  readonly at: number;
}

/** Changes kept: minutes of a fleet in which an upstream changes each second. */
const MOST_CHANGES = 512;

/** What remains of the time that an upstream is cold, `elapsedMs` later. */
function ageChange(change: StoreChange, elapsedMs: number): StoreChange {
  if (change.kind !== "upstream" || change.entry.coldLeftMs === 0) {
    return change;
  }
  const coldLeftMs = Math.max(0, change.entry.coldLeftMs - elapsedMs);
  return { kind: "upstream", entry: { ...change.entry, coldLeftMs } };
}

/** See the module. */
export class ChangeJournal {
  #batches: Batch[] = [];
  #pending: StoreChange[] = [];
  #count = 0;
  /** Revision up to which changes have been dropped. */
  #floor: number | undefined;
  #revision: number | undefined;

  /** Revision that the changes lead to; undefined before the first. */
  get revision(): number | undefined {
    return this.#revision;
  }

  /** Notes a change, of which it is not known yet whether others are missing. */
  note(change: StoreChange): void {
    this.#pending.push(change);
  }

  /** Notes that all changes up to `revision` are here. */
  advance(revision: number, now: number): void {
    if (this.#revision !== undefined && revision < this.#revision) return;
    const isFirst = this.#floor === undefined;
    this.#floor ??= revision;
    this.#revision = revision;
    const changes = this.#pending;
    this.#pending = [];
    // A first snapshot holds everything and answers no question.
    if (isFirst || changes.length === 0) return;
    this.#batches.push({ revision, changes, at: now });
    this.#count += changes.length;
    while (this.#count > MOST_CHANGES) this.#dropOldest();
  }

  /** Changes after `revision`; undefined where they are no longer kept. */
  since(revision: number, now: number): StoreChange[] | undefined {
    if (this.#floor === undefined || revision < this.#floor) return undefined;
    return this.#batches
      .filter((batch) => batch.revision > revision)
      .flatMap(({ changes, at }) =>
        changes.map((change) => ageChange(change, now - at))
      );
  }

  #dropOldest(): void {
    const oldest = this.#batches.shift()!;
    this.#count -= oldest.changes.length;
    this.#floor = oldest.revision;
  }
}
