/**
 * Stand-in for the users' metadata store, implemented from its protocol: items,
 * paged ranges, watches, conditional transactions and leases over HTTP, with
 * fault injection.
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { closeServer, listen, readJson, sendJson } from "./stand_in_http.ts";

/** Faults that the stand-in can inject; each applies until it is changed. */
export interface MetadataStoreFaults {
  /** Sends no response on any connection. */
  isSilent: boolean;
  /** Answers every call with this HTTP status, if set. */
  refusalStatus: number | undefined;
  /** Watches return no events and no revision later than the requested one. */
  withholdsEvents: boolean;
  /** Delay before each call is applied, in milliseconds. */
  delayMs: number;
  /** Fraction of calls, 0 to 1, that are applied without a response. */
  lostResponseRate: number;
  /** Answers calls in place of the store, if set; undefined leaves one to it. */
  garble: ((url: URL) => GarbledReply | undefined) | undefined;
  /** Returns what happens to a write of `keys`, if set; undefined for none. */
  write: ((keys: readonly string[]) => WriteFault | undefined) | undefined;
}

/** What happens to a write and its answer. */
export interface WriteFault {
  /** Time until it takes effect, if its condition holds then, in ms. */
  readonly effectDelayMs: number;
  /** Time from then to the answer, in ms; undefined if there is no answer. */
  readonly answerDelayMs: number | undefined;
}

/** Answer whose body may be anything. */
export interface GarbledReply {
  readonly status: number;
  readonly text: string;
}

interface StoredItem {
  readonly key: string;
  readonly value: string;
  readonly rev: number;
  readonly created: number;
  readonly lease: number;
}

type StoreEvent = StoredItem | {
  readonly key: string;
  readonly rev: number;
  readonly deleted: true;
};

/** State of the store at an earlier moment. */
interface StoreCopy {
  readonly items: ReadonlyMap<string, StoredItem>;
  readonly leases: ReadonlyMap<number, { ttlMs: number; expiresAtMs: number }>;
  readonly revision: number;
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** Condition of a transaction: the revision of an item; 0 for none. */
interface ExpectedRevision {
  readonly key: string;
  readonly rev: number;
}

interface TransactionWrite {
  readonly key: string;
  readonly value: string;
  readonly lease?: number;
}

interface Transaction {
  readonly expectRev?: readonly ExpectedRevision[];
  readonly writes: readonly TransactionWrite[];
}

const MAX_PAGE_ITEMS = 50;
/** Characters of the values of a page; one item is never too long. */
const MAX_PAGE_LENGTH = 1_000_000;
const WATCH_POLL_MS = 20;
/** Revision of the empty store. */
const FIRST_REVISION = 100;

/** Returns the index from which on the items of a list meet a condition. */
function findFirst<T>(
  list: readonly T[],
  isMet: (item: T) => boolean,
): number {
  let start = 0;
  let end = list.length;
  while (start < end) {
    const middle = (start + end) >> 1;
    if (isMet(list[middle]!)) end = middle;
    else start = middle + 1;
  }
  return start;
}

/** A metadata store that holds its items in memory; listens on loopback. */
export class MetadataStoreServer {
  readonly faults: MetadataStoreFaults = {
    isSilent: false,
    refusalStatus: undefined,
    withholdsEvents: false,
    delayMs: 0,
    lostResponseRate: 0,
    garble: undefined,
    write: undefined,
  };
  /** Most items of a page. */
  pageItems = MAX_PAGE_ITEMS;
  /** Called after each write of an item, if set. */
  onWrite: ((key: string) => void) | undefined;
  /** Number of calls since the start, by path. */
  readonly calls = new Map<string, number>();
  #items = new Map<string, StoredItem>();
  /** Keys of the items in order; undefined after a change of the keys. */
  #sortedKeys: string[] | undefined;
  /** Leases by id, with their TTL and expiry in milliseconds. */
  #leases = new Map<number, { ttlMs: number; expiresAtMs: number }>();
  /** State to which the store can return; undefined before `saveCopy`. */
  #copy: StoreCopy | undefined;
  /** Number of times that the store has returned to a copy. */
  #era = 0;
  readonly #server: Server;
  #events: StoreEvent[] = [];
  #compactedRevision = FIRST_REVISION;
  #revision = FIRST_REVISION;
  #lastLeaseId = 0;
  #address = "";
  #isClosed = false;

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  get address(): string {
    return this.#address;
  }

  async open(): Promise<this> {
    this.#address = await listen(this.#server, 0);
    return this;
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    await closeServer(this.#server);
  }

  /** Writes an item without a lease, as an operator or an upstream does. */
  put(key: string, value: unknown): void {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#write(key, Buffer.from(text).toString("base64"), 0);
  }

  /** Returns the text of an item. */
  read(key: string): string {
    const { value } = this.#items.get(key)!;
    return Buffer.from(value, "base64").toString("utf8");
  }

  /** Removes an item. */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#sortedKeys = undefined;
    this.#events.push({ key, rev: ++this.#revision, deleted: true });
  }

  /** Drops the event history; a watch from an earlier revision ends with 410. */
  compact(): void {
    this.#compactedRevision = this.#revision;
    this.#events = [];
  }

  /** Keeps a copy of the current state. */
  saveCopy(): void {
    this.#copy = {
      items: new Map(this.#items),
      leases: new Map(this.#leases),
      revision: this.#revision,
    };
  }

  /**
   * Returns to the copy: what was written since, leases too, is gone, and
   * revisions are given out again.
   */
  returnToCopy(): void {
    const { items, leases, revision } = this.#copy!;
    this.#items = new Map(items);
    this.#sortedKeys = undefined;
    this.#leases = new Map(leases);
    this.#revision = revision;
    this.#events = this.#events.filter(({ rev }) => rev <= revision);
    this.#era++;
  }

  keys(prefix: string): string[] {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    const body = request.method === "POST" ? await readJson(request) : {};
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    if (this.faults.isSilent) return;
    const garbled = this.faults.garble?.(url);
    if (garbled !== undefined) {
      response.writeHead(garbled.status, { "store-era": String(this.#era) });
      response.end(garbled.text);
      return;
    }
    const { refusalStatus } = this.faults;
    const reply = refusalStatus === undefined
      ? await this.#answer(url, body as Record<string, unknown>)
      : { status: refusalStatus, body: {} };
    if (this.faults.isSilent || response.destroyed) return;
    if (reply === undefined) {
      response.destroy();
      return;
    }
    response.setHeader("store-era", String(this.#era));
    if (Math.random() < this.faults.lostResponseRate) {
      response.destroy();
      return;
    }
    sendJson(response, reply.status, reply.body);
  }

  /** Ends the leases whose TTL has elapsed. */
  #expireLeases(): void {
    for (const [lease, { expiresAtMs }] of [...this.#leases]) {
      if (performance.now() > expiresAtMs) this.#endLease(lease);
    }
  }

  /** Returns the answer to a call; undefined if it is lost. */
  async #answer(
    url: URL,
    body: Record<string, unknown>,
  ): Promise<Reply | undefined> {
    this.#expireLeases();
    const path = url.pathname.replace("/corianderflow/", "");
    if (path === "kv-range") return this.#readRange(url.searchParams);
    if (path === "kv-watch") return await this.#awaitEvents(url.searchParams);
    if (path === "kv-txn") {
      return await this.#receiveTransaction(body as unknown as Transaction);
    }
    if (path === "kv-lease") return this.#grantLease(Number(body["ttlMs"]));
    const lease = Number(path.split("/")[1]);
    if (path.startsWith("kv-keep/")) return this.#renewLease(lease);
    if (path.startsWith("kv-lease-end/")) return this.#endLease(lease);
    return { status: 400, body: { error: path } };
  }

  #readRange(query: URLSearchParams): Reply {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    this.#sortedKeys ??= [...this.#items.keys()].sort();
    const items: StoredItem[] = [];
    let length = 0;
    let isTruncated = false;
    const start = findFirst(
      this.#sortedKeys,
      (key) => key > after && key >= prefix,
    );
    for (let index = start; index < this.#sortedKeys.length; index++) {
      const key = this.#sortedKeys[index]!;
      if (!key.startsWith(prefix)) break;
      const item = this.#items.get(key)!;
      length += item.value.length;
      isTruncated = items.length >= this.pageItems ||
        items.length > 0 && length > MAX_PAGE_LENGTH;
      if (isTruncated) break;
      items.push(item);
    }
    const currentRev = this.#revision;
    return { status: 200, body: { items, truncated: isTruncated, currentRev } };
  }

  async #awaitEvents(query: URLSearchParams): Promise<Reply> {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const deadlineMs = performance.now() + Number(query.get("waitMs"));
    for (;;) {
      if (after < this.#compactedRevision || after > this.#revision) {
        return { status: 410, body: {} };
      }
      const isDeaf = this.faults.withholdsEvents;
      const events = isDeaf ? [] : this.#events
        .slice(findFirst(this.#events, ({ rev }) => rev > after))
        .filter(({ key }) => key.startsWith(prefix));
      if (
        events.length > 0 || performance.now() >= deadlineMs || this.#isClosed
      ) {
        const currentRev = isDeaf ? after : this.#revision;
        return { status: 200, body: { events, currentRev } };
      }
      await sleep(WATCH_POLL_MS);
    }
  }

  async #receiveTransaction(
    transaction: Transaction,
  ): Promise<Reply | undefined> {
    const keys = transaction.writes.map(({ key }) => key);
    const fault = this.faults.write?.(keys);
    if (fault === undefined) return this.#applyTransaction(transaction);
    const { effectDelayMs, answerDelayMs } = fault;
    const applied = sleep(effectDelayMs, undefined, { ref: false })
      .then(() => this.#applyTransaction(transaction));
    if (answerDelayMs === undefined) return undefined;
    const reply = await applied;
    await sleep(answerDelayMs);
    return reply;
  }

  #applyTransaction({ expectRev = [], writes }: Transaction): Reply {
    const isMet = expectRev.every(({ key, rev }) =>
      (this.#items.get(key)?.rev ?? 0) === rev
    );
    if (!isMet) {
      const items = expectRev.flatMap(({ key }) => this.#items.get(key) ?? []);
      return { status: 412, body: { items, currentRev: this.#revision } };
    }
    if (writes.some(({ lease = 0 }) => lease > 0 && !this.#leases.has(lease))) {
      return { status: 404, body: {} };
    }
    for (const { key, value, lease = 0 } of writes) {
      this.#write(key, value, lease);
    }
    return { status: 200, body: { rev: this.#revision } };
  }

  #grantLease(ttlMs: number): Reply {
    const lease = ++this.#lastLeaseId;
    this.#leases.set(lease, { ttlMs, expiresAtMs: performance.now() + ttlMs });
    return { status: 200, body: { lease, ttlMs } };
  }

  #renewLease(lease: number): Reply {
    const granted = this.#leases.get(lease);
    if (granted === undefined) return { status: 404, body: {} };
    granted.expiresAtMs = performance.now() + granted.ttlMs;
    return { status: 200, body: { ttlMs: granted.ttlMs } };
  }

  #endLease(lease: number): Reply {
    this.#leases.delete(lease);
    for (const { key, lease: attachedLease } of [...this.#items.values()]) {
      if (attachedLease === lease) this.remove(key);
    }
    return { status: 200, body: {} };
  }

  #write(key: string, value: string, lease: number): void {
    const rev = ++this.#revision;
    const created = this.#items.get(key)?.created ?? rev;
    const item = { key, value, rev, created, lease };
    if (!this.#items.has(key)) this.#sortedKeys = undefined;
    this.#items.set(key, item);
    this.#events.push(item);
    this.onWrite?.(key);
  }
}
