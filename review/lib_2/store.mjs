/**
 * Stand-in for the platform's metadata store, as the users' PROTOCOL page
 * describes it: items, ranges, watches, transactions and leases.
 */
import { createServer } from "node:http";

/** Longest wait of a watch, in milliseconds. */
const MAX_WAIT_MS = 30_000;
/** Items and characters of values of one page, which has at least one item. */
const PAGE_ITEMS = 500;
const PAGE_LENGTH = 1_000_000;

function encode(value) {
  if (Buffer.isBuffer(value)) return value.toString("base64");
  const text = typeof value === "string" ? value : JSON.stringify(value);
  return Buffer.from(text).toString("base64");
}

async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === "" ? {} : JSON.parse(text);
}

/** A store with one revision counter, whose answers are linearizable. */
export class Store {
  #items = new Map();
  #leases = new Map();
  #history = [];
  #watches = new Set();
  #revision = 100;
  #nextLease = 1;
  #timers = new Set();
  #sockets = new Set();

  /**
   * Called with each transaction. If it returns a time in milliseconds, the call
   * gets no answer and is executed after that time.
   */
  getLateMs = () => undefined;

  /** Whether the store is down: it answers 503 to each call. */
  isDown = false;

  async open(address) {
    const [host, port] = address.split(":");
    this.server = createServer((request, response) => {
      this.#serve(request, response).catch((cause) => {
        response.writeHead(500);
        response.end(String(cause));
      });
    });
    this.server.keepAliveTimeout = 600_000;
    this.server.on("connection", (socket) => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(Number(port), host, resolve);
    });
    this.address = address;
  }

  close() {
    for (const timer of this.#timers) clearTimeout(timer);
    for (const socket of this.#sockets) socket.destroy();
    this.server.close();
  }

  /** Number of watches that wait. */
  get waiting() {
    return this.#watches.size;
  }

  /** Keys of the items with a prefix. */
  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  /** Writes an item, as the operator or a server does. */
  put(key, value, { lease = 0 } = {}) {
    const rev = ++this.#revision;
    const created = this.#items.get(key)?.created ?? rev;
    const item = { key, value: encode(value), rev, created, lease };
    this.#items.set(key, item);
    this.#history.push(item);
    this.#notify();
    return rev;
  }

  /** Removes an item. */
  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#history.push({ key, rev: ++this.#revision, deleted: true });
    this.#notify();
  }

  /** Closes the connections of the watches that wait, without an answer. */
  cutWatches(isCut = () => true) {
    let count = 0;
    for (const watch of [...this.#watches]) {
      if (!isCut(watch)) continue;
      watch.end();
      watch.response.destroy();
      count++;
    }
    return count;
  }

  #notify() {
    for (const watch of [...this.#watches]) watch.look();
  }

  async #serve(request, response) {
    if (this.isDown) {
      response.writeHead(503, { "content-length": 0 });
      response.end();
      return;
    }
    const url = new URL(request.url, "http://store");
    const body = await readJson(request);
    const { pathname } = url;
    const send = (status, value) => {
      const text = JSON.stringify(value);
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (pathname === "/corianderflow/kv-key") {
      const item = this.#items.get(url.searchParams.get("key"));
      if (item === undefined) return send(404, {});
      return send(200, { ...item, currentRev: this.#revision });
    }
    if (pathname === "/corianderflow/kv-range") {
      return send(200, this.#range(url.searchParams));
    }
    if (pathname === "/corianderflow/kv-watch") {
      return this.#watch(request, response, { query: url.searchParams, send });
    }
    if (pathname === "/corianderflow/kv-txn") {
      const lateMs = this.getLateMs(body);
      if (lateMs === undefined) return this.#transact(body, send);
      const timer = setTimeout(() => this.#transact(body, () => {}), lateMs);
      this.#timers.add(timer);
      return;
    }
    if (pathname === "/corianderflow/kv-lease") {
      const lease = this.#nextLease++;
      this.#leases.set(lease, { ttlMs: body.ttlMs });
      this.#renew(lease);
      return send(200, { lease, ttlMs: body.ttlMs });
    }
    const [, action, id] =
      /^\/corianderflow\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(pathname) ?? [];
    const lease = Number(id);
    if (action === undefined) return send(400, {});
    if (!this.#leases.has(lease)) return send(404, {});
    if (action === "kv-keep") {
      this.#renew(lease);
      return send(200, { ttlMs: this.#leases.get(lease).ttlMs });
    }
    this.#endLease(lease);
    return send(200, {});
  }

  #range(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after");
    const items = [...this.#items.values()]
      .filter(({ key }) =>
        key.startsWith(prefix) && (after === null || key > after)
      )
      .sort((one, other) => one.key < other.key ? -1 : 1);
    let length = 0;
    let count = 0;
    for (const { value } of items.slice(0, PAGE_ITEMS)) {
      length += value.length;
      if (count > 0 && length > PAGE_LENGTH) break;
      count++;
    }
    return {
      items: items.slice(0, count),
      truncated: items.length > count,
      currentRev: this.#revision,
    };
  }

  #watch(request, response, { query, send }) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const waitMs = Math.min(Number(query.get("waitMs")), MAX_WAIT_MS);
    const list = () =>
      this.#history.filter(({ key, rev }) =>
        rev > after && key.startsWith(prefix)
      );
    const answer = () => {
      watch.end();
      send(200, { events: list(), currentRev: this.#revision });
    };
    const watch = {
      response,
      since: Date.now(),
      peer: request.socket.remotePort,
      look: () => {
        if (list().length > 0) answer();
      },
      end: () => {
        clearTimeout(timer);
        this.#timers.delete(timer);
        this.#watches.delete(watch);
      },
    };
    const timer = setTimeout(answer, waitMs);
    this.#timers.add(timer);
    this.#watches.add(watch);
    response.once("close", () => watch.end());
    watch.look();
  }

  #transact({ expectRev = [], writes = [], remove = [] }, send) {
    const isMet = expectRev.every(({ key, rev }) =>
      (this.#items.get(key)?.rev ?? 0) === rev
    );
    if (!isMet) {
      const items = expectRev.flatMap(({ key }) => this.#items.get(key) ?? []);
      return send(412, { items });
    }
    if (writes.some(({ lease }) => lease && !this.#leases.has(lease))) {
      return send(404, {});
    }
    for (const { key, value, lease = 0 } of writes) {
      this.put(key, Buffer.from(value, "base64").toString(), { lease });
    }
    for (const key of remove) this.remove(key);
    return send(200, { rev: this.#revision });
  }

  #renew(lease) {
    const known = this.#leases.get(lease);
    clearTimeout(known.timer);
    known.timer = setTimeout(() => this.#endLease(lease), known.ttlMs);
    this.#timers.add(known.timer);
  }

  #endLease(lease) {
    clearTimeout(this.#leases.get(lease)?.timer);
    this.#leases.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }
}
