/**
 * An in-memory key-value service for tests, with hooks that fail a call before
 * it takes effect or drop its response afterwards.
 */
import { Err, Ok, type Result } from "ts-results/result";
import type {
  ConditionalWrite,
  Item,
  KeyValue,
  Listing,
  ListOptions,
  PlatformFailure,
  Watch,
  WatchEvent,
  WatchOptions,
} from "../key_value.ts";

/** Description of a call, as passed to a fault hook. */
export interface KeyValueCall {
  readonly operation:
    | "get"
    | "list"
    | "create"
    | "replace"
    | "remove"
    | "lease"
    | "watch";
  /** The key, prefix or lease ID; empty for a lease grant. */
  readonly key: string;
}

/**
 * Returns the failure of a call, or undefined to let it succeed. A hook that
 * returns a promise delays the call, so that other calls can overtake it.
 */
export type FaultHook = (
  call: KeyValueCall,
) => PlatformFailure | undefined | Promise<PlatformFailure | undefined>;

/** Fault hooks, which a test can change at any time. */
export interface FaultHooks {
  /** Runs before the call takes effect; a failure prevents it. */
  before?: FaultHook;
  /** Runs after the call took effect; a failure replaces its response. */
  after?: FaultHook;
}

interface StoredItem extends Item {
  readonly lease: string | undefined;
}

interface Change {
  readonly revision: number;
  readonly key: string;
  readonly event: WatchEvent;
}

interface Watcher {
  readonly prefix: string;
  readonly handler: (event: WatchEvent) => void;
}

/** An in-memory store; one instance represents the whole service. */
export class MemoryKeyValue implements KeyValue {
  readonly faults: FaultHooks = {};
  /** All calls so far, oldest first. */
  readonly calls: KeyValueCall[] = [];

  readonly #items = new Map<string, StoredItem>();
  readonly #leases = new Map<string, number>();
  readonly #changes: Change[] = [];
  readonly #watchers = new Set<Watcher>();
  #revision = 0;
  #leaseCount = 0;

  get(key: string): Promise<Result<Item | undefined, PlatformFailure>> {
    return this.#call({ operation: "get", key }, () => this.#find(key));
  }

  list(
    prefix: string,
    { from = prefix, limit = Infinity }: ListOptions = {},
  ): Promise<Result<Listing, PlatformFailure>> {
    return this.#call({ operation: "list", key: prefix }, () => {
      const items = [...this.#items.keys()]
        .filter((key) => key.startsWith(prefix) && key >= from)
        .sort()
        .slice(0, limit)
        .map((key) => this.#find(key)!);
      return { items, revision: this.#revision };
    });
  }

  create(
    key: string,
    value: string,
    { lease }: { lease?: string } = {},
  ): Promise<Result<ConditionalWrite, PlatformFailure>> {
    return this.#call({ operation: "create", key }, () => {
      if (this.#items.has(key)) return this.#createConflict(key);
      return this.#put({ key, value, lease });
    });
  }

  replace(
    key: string,
    value: string,
    { revision, lease }: { revision: number; lease?: string },
  ): Promise<Result<ConditionalWrite, PlatformFailure>> {
    return this.#call({ operation: "replace", key }, () => {
      if (this.#find(key)?.revision !== revision) {
        return this.#createConflict(key);
      }
      return this.#put({ key, value, lease });
    });
  }

  remove(
    key: string,
    revision: number,
  ): Promise<Result<ConditionalWrite, PlatformFailure>> {
    return this.#call({ operation: "remove", key }, () => {
      if (this.#find(key)?.revision !== revision) {
        return this.#createConflict(key);
      }
      return this.#delete(key);
    });
  }

  grantLease(ttlSeconds: number): Promise<Result<string, PlatformFailure>> {
    return this.#call({ operation: "lease", key: "" }, () => {
      this.#leaseCount++;
      const lease = String(this.#leaseCount);
      this.#leases.set(lease, ttlSeconds);
      return lease;
    });
  }

  renewLease(lease: string): Promise<Result<number, PlatformFailure>> {
    return this.#call(
      { operation: "lease", key: lease },
      () => this.#leases.get(lease) ?? 0,
    );
  }

  revokeLease(lease: string): Promise<Result<void, PlatformFailure>> {
    return this.#call(
      { operation: "lease", key: lease },
      () => this.expireLease(lease),
    );
  }

  /** Expires a lease and deletes its keys. Leases never expire on their own. */
  expireLease(lease: string): void {
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.#delete(item.key);
    }
  }

  watch(
    prefix: string,
    handler: (event: WatchEvent) => void,
    { fromRevision = this.#revision + 1 }: WatchOptions = {},
  ): Watch {
    this.calls.push({ operation: "watch", key: prefix });
    const watcher = { prefix, handler };
    this.#watchers.add(watcher);
    for (const change of this.#changes) {
      if (change.revision >= fromRevision) this.#publish(watcher, change);
    }
    return { close: () => void this.#watchers.delete(watcher) };
  }

  /** Closes every watch with `failure`. */
  closeWatches(failure: PlatformFailure): void {
    for (const { handler } of [...this.#watchers]) {
      handler({ kind: "closed", failure });
    }
    this.#watchers.clear();
  }

  close(): Promise<void> {
    this.#watchers.clear();
    return Promise.resolve();
  }

  async #call<T>(
    call: KeyValueCall,
    execute: () => T,
  ): Promise<Result<T, PlatformFailure>> {
    this.calls.push(call);
    const failure = await this.faults.before?.(call);
    if (failure !== undefined) return Err(failure);
    const value = execute();
    const lostResponse = await this.faults.after?.(call);
    return lostResponse === undefined ? Ok(value) : Err(lostResponse);
  }

  #find(key: string): Item | undefined {
    const stored = this.#items.get(key);
    if (stored === undefined) return undefined;
    const { value, revision } = stored;
    return { key, value, revision };
  }

  #createConflict(key: string): ConditionalWrite {
    return { kind: "conflict", current: this.#find(key) };
  }

  #put({ key, value, lease }: Omit<StoredItem, "revision">): ConditionalWrite {
    this.#revision++;
    const revision = this.#revision;
    this.#items.set(key, { key, value, revision, lease });
    this.#record(key, { kind: "put", item: { key, value, revision } });
    return { kind: "written", revision };
  }

  #delete(key: string): ConditionalWrite {
    this.#revision++;
    this.#items.delete(key);
    this.#record(key, { kind: "delete", key });
    return { kind: "written", revision: this.#revision };
  }

  #record(key: string, event: WatchEvent): void {
    const change = { revision: this.#revision, key, event };
    this.#changes.push(change);
    for (const watcher of this.#watchers) this.#publish(watcher, change);
  }

  #publish(watcher: Watcher, { key, event }: Change): void {
    if (!key.startsWith(watcher.prefix)) return;
    queueMicrotask(() => {
      if (this.#watchers.has(watcher)) watcher.handler(event);
    });
  }
}
