/**
 * Keeps the latest relevant changes of the metadata store, for routers that
 * request the changes since a revision.
 *
 * Most writes are heartbeats that change nothing, so few changes are kept.
 */
import type { StoreChange } from "../routing/types.ts";

/** Changes between an earlier revision and `revision`. */
interface Batch {
  readonly revision: number;
  readonly changes: readonly StoreChange[];
  readonly at: number;
}

/**
 * Maximum number of changes kept: several minutes of changes in a fleet in
 * which an upstream changes every second.
 */
const MAX_CHANGES = 512;

/**
 * Reduces the remaining cold time of an upstream by `elapsedMs`, and adds that to
 * the age of an order.
 */
function addElapsedTime(change: StoreChange, elapsedMs: number): StoreChange {
  if (change.kind === "rollout-order" && change.ageMs !== undefined) {
    return { ...change, ageMs: change.ageMs + elapsedMs };
  }
  if (change.kind !== "upstream" || change.entry.coldLeftMs === 0) {
    return change;
  }
  const coldLeftMs = Math.max(0, change.entry.coldLeftMs - elapsedMs);
  return { kind: "upstream", entry: { ...change.entry, coldLeftMs } };
}

/** A bounded journal of changes of the metadata store. */
export class ChangeJournal {
  #batches: Batch[] = [];
  #pending: StoreChange[] = [];
  #count = 0;
  /** Changes up to this revision are not available. */
  #compactedRevision: number | undefined;
  #revision: number | undefined;

  /** Revision of the latest `advance`; undefined before the first one. */
  get revision(): number | undefined {
    return this.#revision;
  }

  /**
   * Records a change. It is not returned before `advance`, because changes of
   * the same or an earlier revision may still be missing.
   */
  recordChange(change: StoreChange): void {
    this.#pending.push(change);
  }

  /**
   * Records that all changes up to `revision` have been received; `now` is in
   * milliseconds.
   */
  advance(revision: number, now: number): void {
    if (this.#revision !== undefined && revision < this.#revision) return;
    const isFirst = this.#compactedRevision === undefined;
    this.#compactedRevision ??= revision;
    this.#revision = revision;
    const changes = this.#pending;
    this.#pending = [];
    // The first snapshot is complete state, not the changes since a revision.
    if (isFirst || changes.length === 0) return;
    this.#batches.push({ revision, changes, at: now });
    this.#count += changes.length;
    while (this.#count > MAX_CHANGES) this.#dropOldest();
  }

  /**
   * Gets the changes after `revision`, with ages and remaining cold times as of `now`;
   * undefined if some of them are not kept.
   */
  getChangesSince(revision: number, now: number): StoreChange[] | undefined {
    if (
      this.#compactedRevision === undefined ||
      revision < this.#compactedRevision
    ) return undefined;
    return this.#batches
      .filter((batch) => batch.revision > revision)
      .flatMap(({ changes, at }) =>
        changes.map((change) => addElapsedTime(change, now - at))
      );
  }

  #dropOldest(): void {
    const oldest = this.#batches.shift()!;
    this.#count -= oldest.changes.length;
    this.#compactedRevision = oldest.revision;
  }
}
