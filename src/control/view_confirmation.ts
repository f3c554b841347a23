/**
 * Confirms that this router's view of the upstreams holds all that the metadata
 * store had accepted at a moment.
 *
 * A watch of the store may be behind, so the store's revision is read apart from
 * it, with the versions that the services had. The view is confirmed once it has
 * that revision.
 */
import type { MetadataStore } from "../platform/metadata_store.ts";
import type { VersionRecord } from "../routing/types.ts";

/** Options of a `ViewConfirmation`. */
export interface ViewConfirmationOptions {
  readonly store: Pick<MetadataStore, "readVersions">;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Whether the view holds all changes up to `revision` of `era`. */
  readonly hasRevision: (revision: number, era: number) => boolean;
  /** Called if the view lacks changes that are in the store. */
  readonly onBehind: () => void;
  readonly onVersions: (record: VersionRecord) => void;
}

interface Waiter {
  readonly revision: number;
  readonly era: number;
  readonly finish: (isConfirmed: boolean) => void;
}

/**
 * Least time between two reads, in milliseconds. All questions that arrive
 * meanwhile share a read.
 */
const MIN_READ_INTERVAL_MS = 250;
/** Time in which a poll of a slow store brings the changes, in milliseconds. */
const CHANGES_TIMEOUT_MS = 1_000;

/** Reads the store's revision and waits for the view to have it. */
export class ViewConfirmation {
  readonly #options: ViewConfirmationOptions;
  readonly #waiters = new Set<Waiter>();
  /** The read that has not been sent yet. */
  #next: Promise<boolean> | undefined;
  #readableAt = -Infinity;
  #isClosed = false;

  constructor(options: ViewConfirmationOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether the view holds all that the store had accepted when
   * this was called.
   */
  confirm(): Promise<boolean> {
    this.#next ??= this.#confirmNext();
    return this.#next;
  }

  /** Records that the view has changed. */
  recordAdvance(): void {
    for (const waiter of [...this.#waiters]) {
      if (this.#options.hasRevision(waiter.revision, waiter.era)) {
        waiter.finish(true);
      }
    }
  }

  /** Ends all waits without a confirmation. */
  close(): void {
    this.#isClosed = true;
    for (const waiter of [...this.#waiters]) waiter.finish(false);
  }

  async #confirmNext(): Promise<boolean> {
    const { store, clock, hasRevision, onBehind, onVersions } = this.#options;
    const waitMs = Math.max(0, this.#readableAt - clock());
    await new Promise((resolve) => setTimeout(resolve, waitMs));
    // Later questions need a read that is sent later.
    this.#next = undefined;
    if (this.#isClosed) return false;
    this.#readableAt = clock() + MIN_READ_INTERVAL_MS;
    const read = await store.readVersions();
    if (read.err || this.#isClosed) return false;
    const { records, revision, era } = read.val;
    for (const record of records) onVersions(record);
    if (hasRevision(revision, era)) return true;
    const confirmed = this.#awaitRevision(revision, era);
    onBehind();
    return await confirmed;
  }

  #awaitRevision(revision: number, era: number): Promise<boolean> {
    return new Promise((resolve) => {
      const waiter = {
        revision,
        era,
        finish: (isConfirmed: boolean) => {
          clearTimeout(timer);
          this.#waiters.delete(waiter);
          resolve(isConfirmed);
        },
      };
      const timer = setTimeout(() => waiter.finish(false), CHANGES_TIMEOUT_MS);
      this.#waiters.add(waiter);
    });
  }
}
