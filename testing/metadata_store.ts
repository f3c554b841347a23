/**
 * Stand-in for the users' metadata store, written from its protocol: items,
 * ranges in pages, watches, transactions and leases over HTTP, with faults.
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { closeServer, listen, readJson, sendJson } from "./kv_http.ts";

/** Faults of the stand-in; each stays until it is changed. */
export interface MetadataStoreFaults {
  /** Answers nothing, on any connection. */
  isSilent: boolean;
  /** Answers every call with this status. */
  refuseWith: number | undefined;
  /** Watches answer that nothing has happened, and name no later revision. */
  isDeaf: boolean;
  /** Delay of each answer, in milliseconds. */
  delayMs: number;
  /** Share of calls that take effect and whose connection then ends. */
  lostShare: number;
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

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

const PAGE_ITEMS = 50;
const WATCH_LOOK_MS = 20;
const FIRST_REVISION = 100;

/** See the module. */
export class MetadataStoreServer {
  readonly faults: MetadataStoreFaults = {
    isSilent: false,
    refuseWith: undefined,
    isDeaf: false,
    delayMs: 0,
    lostShare: 0,
  };
  /** Calls by path since the start. */
  readonly calls = new Map<string, number>();
  readonly #items = new Map<string, StoredItem>();
  /** Leases with the time in which each must be renewed, in milliseconds. */
  readonly #leases = new Map<number, { ttlMs: number; endsAt: number }>();
  readonly #server: Server;
  #events: StoreEvent[] = [];
  #compactedAt = FIRST_REVISION;
  #revision = FIRST_REVISION;
  #lastLease = 0;
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

  /** Writes an item as the operators or an upstream do. */
  put(key: string, value: unknown): void {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#write(key, Buffer.from(text).toString("base64"), 0);
  }

  /** Removes an item. */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#events.push({ key, rev: ++this.#revision, deleted: true });
  }

  /** Drops the history, so that a watch from an earlier revision ends. */
  compact(): void {
    this.#compactedAt = this.#revision;
    this.#events = [];
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
    const { refuseWith } = this.faults;
    const reply = refuseWith === undefined
      ? await this.#answer(url, body as Record<string, unknown>)
      : { status: refuseWith, body: {} };
    if (this.faults.isSilent || response.destroyed) return;
    if (Math.random() < this.faults.lostShare) {
      response.destroy();
      return;
    }
    sendJson(response, reply.status, reply.body);
  }

  /** Ends leases that were not renewed in time. */
  #lapse(): void {
    for (const [lease, { endsAt }] of [...this.#leases]) {
      if (performance.now() > endsAt) this.#end(lease);
    }
  }

  async #answer(url: URL, body: Record<string, unknown>): Promise<Reply> {
    this.#lapse();
    const path = url.pathname.replace("/corianderflow/", "");
    if (path === "kv-range") return this.#range(url.searchParams);
    if (path === "kv-watch") return await this.#watch(url.searchParams);
    if (path === "kv-txn") return this.#transact(body);
    if (path === "kv-lease") return this.#grant(Number(body["ttlMs"]));
    const lease = Number(path.split("/")[1]);
    if (path.startsWith("kv-keep/")) return this.#keep(lease);
    if (path.startsWith("kv-lease-end/")) return this.#end(lease);
    return { status: 400, body: { error: path } };
  }

  #range(query: URLSearchParams): Reply {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const keys = this.keys(prefix).filter((key) => key > after).sort();
    return {
      status: 200,
      body: {
        items: keys.slice(0, PAGE_ITEMS).map((key) => this.#items.get(key)),
        truncated: keys.length > PAGE_ITEMS,
        currentRev: this.#revision,
      },
    };
  }

  async #watch(query: URLSearchParams): Promise<Reply> {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const until = performance.now() + Number(query.get("waitMs"));
    for (;;) {
      if (after < this.#compactedAt) return { status: 410, body: {} };
      const isDeaf = this.faults.isDeaf;
      const events = isDeaf
        ? []
        : this.#events.filter((event) =>
          event.rev > after && event.key.startsWith(prefix)
        );
      if (events.length > 0 || performance.now() >= until || this.#isClosed) {
        const currentRev = isDeaf ? after : this.#revision;
        return { status: 200, body: { events, currentRev } };
      }
      await sleep(WATCH_LOOK_MS);
    }
  }

  #transact(body: Record<string, unknown>): Reply {
    const writes = body["writes"] as {
      key: string;
      value: string;
      lease?: number;
    }[];
    if (writes.some(({ lease = 0 }) => lease > 0 && !this.#leases.has(lease))) {
      return { status: 404, body: {} };
    }
    for (const { key, value, lease = 0 } of writes) {
      this.#write(key, value, lease);
    }
    return { status: 200, body: { rev: this.#revision } };
  }

  #grant(ttlMs: number): Reply {
    const lease = ++this.#lastLease;
    this.#leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
    return { status: 200, body: { lease, ttlMs } };
  }

  #keep(lease: number): Reply {
    const held = this.#leases.get(lease);
    if (held === undefined) return { status: 404, body: {} };
    held.endsAt = performance.now() + held.ttlMs;
    return { status: 200, body: { ttlMs: held.ttlMs } };
  }

  #end(lease: number): Reply {
    this.#leases.delete(lease);
    for (const { key, lease: held } of [...this.#items.values()]) {
      if (held === lease) this.remove(key);
    }
    return { status: 200, body: {} };
  }

  #write(key: string, value: string, lease: number): void {
    const rev = ++this.#revision;
    const created = this.#items.get(key)?.created ?? rev;
    const item = { key, value, rev, created, lease };
    this.#items.set(key, item);
    this.#events.push(item);
  }
}
