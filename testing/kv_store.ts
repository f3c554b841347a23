/**
 * In-memory store of the key-value stand-in: revisions, ranges, transactions,
 * leases and the history that watches read.
 *
 * Keys are binary strings (one character a byte), so that `<` orders them as
 * bytes. Values are opaque strings.
 */

/** A stored key with its revisions. */
export interface StoredItem {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Number of writes since the key was created. */
  readonly version: number;
  /** Lease that the key is attached to; "0" for none. */
  readonly lease: string;
}

/** One change in the history of the store. */
export interface StoreEvent {
  readonly kind: "put" | "delete";
  readonly revision: number;
  readonly item: StoredItem;
}

/** Keys from `key` up to but excluding `end`; only `key` without an `end`. */
export interface KeyRange {
  readonly key: string;
  /** "\0" stands for no upper bound. */
  readonly end?: string;
}

/** A write inside a transaction. */
export type StoreWrite =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: string;
    readonly lease: string;
  }
  | { readonly kind: "delete"; readonly range: KeyRange };

/** A granted lease. */
interface Lease {
  readonly ttlSeconds: number;
  expiresAt: number;
  readonly keys: Set<string>;
}

/** Options of the store. */
export interface MemoryStoreOptions {
  /** Monotonic clock, in milliseconds. */
  now?: () => number;
  /** Events that are kept for watches; older ones count as compacted. */
  historyLimit?: number;
}

const DEFAULT_HISTORY_LIMIT = 100_000;
const NO_LEASE = "0";
const FIRST_LEASE_ID = 7_587_000_000_000_000_000n;

/** True if `key` falls in the range. */
export function isInRange(key: string, { key: start, end }: KeyRange): boolean {
  if (end === undefined) return key === start;
  return key >= start && (end === "\0" || key < end);
}

/** A revisioned store of keys in memory. */
export class MemoryStore {
  revision = 1;
  /** Oldest revision that a watch can still start from. */
  compactRevision = 0;
  #items = new Map<string, StoredItem>();
  /** Every key of `#items` in byte order. */
  #sortedKeys: string[] = [];
  #history: StoreEvent[] = [];
  #leases = new Map<string, Lease>();
  #lastLease = FIRST_LEASE_ID;
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

  /** Returns the items of a range in the order of their keys. */
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
   * Carries out the writes under one new revision. Returns, for each write, the
   * number of keys that it changed. A write that changes nothing takes no
   * revision.
   */
  apply(writes: readonly StoreWrite[]): number[] {
    const events: StoreEvent[] = [];
    const counts: number[] = [];
    for (const write of writes) {
      const before = events.length;
      if (write.kind === "put") events.push(this.#put(write));
      else events.push(...this.#delete(write.range));
      counts.push(events.length - before);
    }
    if (events.length > 0) this.#publish(events);
    return counts;
  }

  /** True if the lease exists and has not lapsed; "0" always does. */
  hasLease(lease: string): boolean {
    return lease === NO_LEASE || this.#leases.has(lease);
  }

  /** Grants a lease and returns its id. */
  grantLease(ttlSeconds: number): string {
    this.#lastLease++;
    const id = this.#lastLease.toString();
    const expiresAt = this.#now() + ttlSeconds * 1_000;
    this.#leases.set(id, { ttlSeconds, expiresAt, keys: new Set() });
    return id;
  }

  /** Renews a lease; returns its time to live, 0 if there is no such lease. */
  renewLease(id: string): number {
    this.expireLeases();
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = this.#now() + lease.ttlSeconds * 1_000;
    return lease.ttlSeconds;
  }

  /** Ends a lease and deletes its keys; false if there is no such lease. */
  revokeLease(id: string): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    const keys = [...lease.keys];
    this.#leases.delete(id);
    this.apply(keys.map((key) => ({ kind: "delete", range: { key } })));
    return true;
  }

  /** Ends every lease whose time to live has passed. */
  expireLeases(): void {
    const now = this.#now();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.revokeLease(id);
    }
  }

  /** Returns the kept events of a range from a revision on, oldest first. */
  eventsFrom(revision: number, range: KeyRange): StoreEvent[] {
    return this.#history.filter((event) =>
      event.revision >= revision && isInRange(event.item.key, range)
    );
  }

  /** Calls `listener` with the events of each new revision. */
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
    return this.range(range).map((old) => {
      this.#items.delete(old.key);
      this.#sortedKeys.splice(this.#lowerBound(old.key), 1);
      this.#leases.get(old.lease)?.keys.delete(old.key);
      const item = {
        key: old.key,
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

  /** Index of the first key that is not below `key`. */
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
