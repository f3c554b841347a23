/**
 * In-memory store of the key-value stand-in: revisions, ranges, transactions,
 * leases and the event history for watches.
 *
 * Keys are binary strings (one character per byte), so that `<` compares them
 * bytewise. Values are opaque strings.
 */

/** A stored key with its revisions. */
export interface StoredItem {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Number of writes since the key was created. */
  readonly version: number;
  /** Id of the lease that the key is attached to; "0" for none. */
  readonly lease: string;
}

/** A change of one key in the history of the store. */
export interface StoreEvent {
  readonly kind: "put" | "delete";
  readonly revision: number;
  readonly item: StoredItem;
}

/** Keys from `key` up to, but not including, `end`; without `end`, only `key`. */
export interface KeyRange {
  readonly key: string;
  /** "\0" means no upper bound. */
  readonly end?: string;
}

/** A write of a transaction. */
export type StoreWrite =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: string;
    readonly lease: string;
  }
  | { readonly kind: "delete"; readonly range: KeyRange };

/** A granted lease with the keys attached to it. */
interface Lease {
  readonly ttlSeconds: number;
  expiresAtMs: number;
  readonly keys: Set<string>;
}

/** Options of the store. */
export interface MemoryStoreOptions {
  /** Monotonic clock, in milliseconds. */
  now?: () => number;
  /** Number of events kept for watches; older ones count as compacted. */
  historyLimit?: number;
}

const DEFAULT_HISTORY_LIMIT = 100_000;
const NO_LEASE = "0";
const LEASE_ID_BASE = 7_587_000_000_000_000_000n;

/** Returns whether `key` is in the range. */
export function isInRange(key: string, { key: start, end }: KeyRange): boolean {
  if (end === undefined) return key === start;
  return key >= start && (end === "\0" || key < end);
}

/** An in-memory key-value store with revisions. */
export class MemoryStore {
  /** Revision of the last write. */
  revision = 1;
  /** Oldest revision from which a watch can start. */
  compactRevision = 0;
  #items = new Map<string, StoredItem>();
  /** The keys of `#items` in byte order. */
  #sortedKeys: string[] = [];
  #history: StoreEvent[] = [];
  #leases = new Map<string, Lease>();
  #lastLeaseId = LEASE_ID_BASE;
  #listeners = new Set<(events: readonly StoreEvent[]) => void>();
  readonly #now: () => number;
  readonly #historyLimit: number;

  constructor(
    {
      now = () => performance.now(),
      historyLimit = DEFAULT_HISTORY_LIMIT,
    }: MemoryStoreOptions = {},
  ) {
    this.#now = now;
    this.#historyLimit = historyLimit;
  }

  /** Returns the items of a range, sorted by key. */
  range(range: KeyRange): StoredItem[] {
    if (range.end === undefined) {
      const item = this.#items.get(range.key);
      return item === undefined ? [] : [item];
    }
    const found: StoredItem[] = [];
    for (
      let i = this.#lowerBound(range.key);
      i < this.#sortedKeys.length;
      i++
    ) {
      const key = this.#sortedKeys[i]!;
      if (!isInRange(key, range)) break;
      found.push(this.#items.get(key)!);
    }
    return found;
  }

  /**
   * Applies the writes as one new revision; creates no revision if they change
   * no key. Returns the number of changed keys for each write.
   */
  apply(writes: readonly StoreWrite[]): number[] {
    const events: StoreEvent[] = [];
    const counts: number[] = [];
    for (const write of writes) {
      const countBefore = events.length;
      if (write.kind === "put") events.push(this.#put(write));
      else events.push(...this.#delete(write.range));
      counts.push(events.length - countBefore);
    }
    if (events.length > 0) this.#publish(events);
    return counts;
  }

  /** Returns whether the lease exists; always true for "0", which means none. */
  hasLease(lease: string): boolean {
    return lease === NO_LEASE || this.#leases.has(lease);
  }

  /** Grants a lease and returns its id. */
  grantLease(ttlSeconds: number): string {
    this.#lastLeaseId++;
    const id = this.#lastLeaseId.toString();
    const expiresAtMs = this.#now() + ttlSeconds * 1_000;
    this.#leases.set(id, { ttlSeconds, expiresAtMs, keys: new Set() });
    return id;
  }

  /** Renews a lease; returns its TTL in seconds, or 0 if it does not exist. */
  renewLease(id: string): number {
    this.expireLeases();
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAtMs = this.#now() + lease.ttlSeconds * 1_000;
    return lease.ttlSeconds;
  }

  /** Revokes a lease and deletes its keys; false if it does not exist. */
  revokeLease(id: string): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    const keys = [...lease.keys];
    this.#leases.delete(id);
    this.apply(keys.map((key) => ({ kind: "delete", range: { key } })));
    return true;
  }

  /** Revokes every lease whose TTL has elapsed. */
  expireLeases(): void {
    const now = this.#now();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAtMs <= now) this.revokeLease(id);
    }
  }

  /** Returns the retained events of a range since `revision`, oldest first. */
  getEventsFrom(revision: number, range: KeyRange): StoreEvent[] {
    return this.#history.filter((event) =>
      event.revision >= revision && isInRange(event.item.key, range)
    );
  }

  /**
   * Calls `listener` with the events of each new revision; returns a function
   * that unsubscribes it.
   */
  subscribe(listener: (events: readonly StoreEvent[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #put(write: StoreWrite & { kind: "put" }): StoreEvent {
    const { key, value, lease } = write;
    const revision = this.revision + 1;
    const previous = this.#items.get(key);
    if (previous === undefined) {
      this.#sortedKeys.splice(this.#lowerBound(key), 0, key);
    } else {
      this.#leases.get(previous.lease)?.keys.delete(key);
    }
    this.#leases.get(lease)?.keys.add(key);
    const item: StoredItem = {
      key,
      value,
      createRevision: previous?.createRevision ?? revision,
      modRevision: revision,
      version: (previous?.version ?? 0) + 1,
      lease,
    };
    this.#items.set(key, item);
    return { kind: "put", revision, item };
  }

  #delete(range: KeyRange): StoreEvent[] {
    const revision = this.revision + 1;
    return this.range(range).map((removed) => {
      this.#items.delete(removed.key);
      this.#sortedKeys.splice(this.#lowerBound(removed.key), 1);
      this.#leases.get(removed.lease)?.keys.delete(removed.key);
      const item = {
        key: removed.key,
        value: "",
        createRevision: 0,
        modRevision: revision,
        version: 0,
        lease: NO_LEASE,
      };
      return { kind: "delete", revision, item };
    });
  }

  #publish(events: readonly StoreEvent[]): void {
    this.revision++;
    this.#history.push(...events);
    while (this.#history.length > this.#historyLimit) {
      this.compactRevision = this.#history.shift()!.revision + 1;
    }
    for (const listener of this.#listeners) listener(events);
  }

  /** Returns the index of the first key that is not less than `key`. */
  #lowerBound(key: string): number {
    let low = 0;
    let high = this.#sortedKeys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#sortedKeys[middle]! < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
