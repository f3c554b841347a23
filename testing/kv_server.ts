/**
 * Stand-in for the platform's key-value service: a subset of etcd's v3 JSON
 * gateway over HTTP, with rate limits, call counters and fault injection.
 *
 * `GET /stats` returns the call counters; a watch counts once, when it opens.
 * `POST /faults` sets faults. Both paths also work while the `down` fault is set.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { closeServer, listen, readJson, sendJson } from "./stand_in_http.ts";
import { RateLimit } from "./rate_limit.ts";
import { MemoryStore } from "./kv_store.ts";
import { OpenWatch } from "./kv_watch.ts";
import * as Calls from "./kv_calls.ts";
import * as Wire from "./kv_wire.ts";

/** Faults that the stand-in can inject. */
export interface KeyValueFaults {
  /** Closes all watches, and the connection of each call before it is applied. */
  down: boolean;
  /** Delay before a call is applied, in milliseconds. */
  delayMs: number;
  /** Fraction of writes, 0 to 1, that are applied without a response. */
  loseAnswerRate: number;
  /** Number of upcoming writes that are applied without a response. */
  loseNext: number;
  /** Permanently silences the watches that are open now; new ones work. */
  silentWatches: boolean;
}

/** Number of calls since the start. */
export interface KeyValueStats {
  reads: number;
  writes: number;
  watches: number;
}

/** Options of the stand-in. */
export interface KeyValueServerOptions {
  /** A free port by default. */
  port?: number;
  /** Seed for the choice of lost responses. */
  seed?: number;
  /** Rate limit of reads and opened watches; unlimited by default. */
  readsPerSecond?: number;
  /** Rate limit of writes; unlimited by default. */
  writesPerSecond?: number;
  /** Interval of progress notifications to idle watches, in milliseconds. */
  progressMs?: number;
  store?: MemoryStore;
}

/** A running stand-in. */
export interface KeyValueServer {
  /** `ip:port`. */
  readonly address: string;
  readonly store: MemoryStore;
  setFaults(faults: Partial<KeyValueFaults>): KeyValueFaults;
  getStats(): KeyValueStats;
  close(): Promise<void>;
}

type Call = (store: MemoryStore, request: Wire.WireObject) => Wire.WireObject;

interface Endpoint {
  readonly call: Call;
  isWrite(request: Wire.WireObject): boolean;
}

const DEFAULT_PROGRESS_MS = 1_000;
const LEASE_CHECK_INTERVAL_MS = 50;

const alwaysWrites = { isWrite: () => true };
const neverWrites = { isWrite: () => false };
const ENDPOINTS: { readonly [path: string]: Endpoint } = {
  "/v3/kv/range": { call: Calls.range, ...neverWrites },
  "/v3/kv/put": { call: Calls.put, ...alwaysWrites },
  "/v3/kv/deleterange": { call: Calls.deleteRange, ...alwaysWrites },
  "/v3/kv/txn": { call: Calls.txn, isWrite: Calls.isWritingTxn },
  "/v3/lease/grant": { call: Calls.grantLease, ...alwaysWrites },
  "/v3/lease/revoke": { call: Calls.revokeLease, ...alwaysWrites },
  "/v3/lease/keepalive": { call: Calls.renewLease, ...alwaysWrites },
};

class Gateway implements KeyValueServer {
  address = "";
  readonly store: MemoryStore;
  readonly server: Server;
  #faults: KeyValueFaults = {
    down: false,
    delayMs: 0,
    loseAnswerRate: 0,
    loseNext: 0,
    silentWatches: false,
  };
  #stats: KeyValueStats = { reads: 0, writes: 0, watches: 0 };
  #watches = new Set<OpenWatch>();
  #timers: NodeJS.Timeout[];
  readonly #reads: RateLimit;
  readonly #writes: RateLimit;
  readonly #random;

  constructor(
    {
      seed = 1,
      readsPerSecond = Infinity,
      writesPerSecond = Infinity,
      progressMs = DEFAULT_PROGRESS_MS,
      store = new MemoryStore(),
    }: KeyValueServerOptions,
  ) {
    this.store = store;
    this.#random = xoroshiro128plus(seed);
    this.#reads = new RateLimit({ perSecond: readsPerSecond });
    this.#writes = new RateLimit({ perSecond: writesPerSecond });
    this.server = createServer((request, response) => {
      this.#handleRequest(request, response).catch(() => response.destroy());
    });
    store.subscribe((events) => {
      for (const watch of this.#watches) watch.publish(events);
    });
    this.#timers = [
      setInterval(() => store.expireLeases(), LEASE_CHECK_INTERVAL_MS),
      setInterval(() => this.#notifyProgress(), progressMs),
    ];
  }

  setFaults(faults: Partial<KeyValueFaults>): KeyValueFaults {
    this.#faults = { ...this.#faults, ...faults };
    if (faults.down) {
      for (const watch of this.#watches) watch.destroy();
    }
    if (faults.silentWatches) {
      for (const watch of this.#watches) watch.silence();
    }
    return this.#faults;
  }

  getStats(): KeyValueStats {
    return { ...this.#stats };
  }

  close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    return closeServer(this.server);
  }

  #notifyProgress(): void {
    for (const watch of this.#watches) watch.notifyProgress();
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(request);
    if (request.url === "/stats") {
      return sendJson(response, 200, this.getStats());
    }
    if (request.url === "/faults") {
      const faults = this.setFaults(body as Partial<KeyValueFaults>);
      return sendJson(response, 200, faults);
    }
    try {
      await this.#serveCall(request.url ?? "", response, { body });
    } catch (error) {
      if (!(error instanceof Wire.WireError)) throw error;
      const { status, code, message } = error;
      sendJson(response, status, { error: message, code, message });
    }
  }

  async #serveCall(
    path: string,
    response: ServerResponse,
    { body }: { body: unknown },
  ): Promise<void> {
    // A delayed call is applied even if its client has disconnected meanwhile.
    if (this.#faults.delayMs > 0) await sleep(this.#faults.delayMs);
    if (this.#faults.down) {
      response.destroy();
      return;
    }
    const request = Wire.toCamelCase(body) as Wire.WireObject;
    if (path === "/v3/watch") return this.#openWatch(request, response);
    const endpoint = ENDPOINTS[path];
    if (endpoint === undefined) throw new Wire.WireError(404, 5, "Not Found");
    const isWrite = endpoint.isWrite(request);
    this.#admitCall(isWrite ? "writes" : "reads");
    const answer = endpoint.call(this.store, request);
    if (isWrite && this.#shouldLoseAnswer()) response.destroy();
    else sendJson(response, 200, answer);
  }

  #openWatch(request: Wire.WireObject, response: ServerResponse): void {
    this.#admitCall("watches");
    const watch = new OpenWatch(this.store, response, {
      request: (request.createRequest ?? {}) as Wire.WireObject,
    });
    this.#watches.add(watch);
    response.on("close", () => this.#watches.delete(watch));
    watch.open();
  }

  /** Counts a call; throws a 429 error if it exceeds the rate limit. */
  #admitCall(kind: keyof KeyValueStats): void {
    this.#stats[kind]++;
    const limit = kind === "writes" ? this.#writes : this.#reads;
    if (!limit.tryTake()) {
      throw new Wire.WireError(429, 8, "too many requests");
    }
  }

  #shouldLoseAnswer(): boolean {
    if (this.#faults.loseNext > 0) {
      this.#faults.loseNext--;
      return true;
    }
    return uniformFloat64(this.#random) < this.#faults.loseAnswerRate;
  }
}

/** Starts the stand-in on loopback. */
export async function createKeyValueServer(
  options: KeyValueServerOptions = {},
): Promise<KeyValueServer> {
  const gateway = new Gateway(options);
  gateway.address = await listen(gateway.server, options.port ?? 0);
  return gateway;
}
