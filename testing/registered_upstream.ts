/**
 * Stand-in for an upstream that registers itself in the metadata store, written
 * from the users' protocol. It runs a request, states what it did not run, and
 * records what arrived.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreePort } from "./free_address.ts";
import { closeServer, listen, readJson } from "./kv_http.ts";
import type { MetadataStoreServer } from "./metadata_store.ts";
import { createRelay, type Relay } from "./relay.ts";

/** A request that reached an upstream. */
export interface UpstreamArrival {
  readonly requestId: string;
  /** Id of the upstream's process. */
  readonly upstream: string;
  readonly failureDomain: string;
  readonly atMs: number;
  /** False where the upstream refused it and said so. */
  readonly isRun: boolean;
  /** Whether it goes on with a stream that was begun elsewhere. */
  readonly isResumed: boolean;
  readonly isCold: boolean;
  readonly workspace: string;
}

/** Options of an upstream. */
export interface RegisteredUpstreamOptions {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  /** How long it is cold after a start, in milliseconds; 0 for never. */
  readonly coldMs: number;
  readonly store: MetadataStoreServer;
  readonly onArrival: (arrival: UpstreamArrival) => void;
}

const SLOTS = 8;
const HEARTBEAT_MS = 400;
/** Heartbeats after whose absence the store drops an entry. */
const LAPSE_HEARTBEATS = 3;
const SERVICE_MS = 15;
const EVENT_GAP_MS = 20;
/** Time in which a leaving upstream still serves, in milliseconds. */
const LINGER_MS = 3_500;
const STATUS_MISDIRECTED = 421;
const STATUS_FULL = 503;

/** Number of events of the stream of a request. */
export function countEvents(requestId: string): number {
  return 3 + [...requestId].reduce((sum, c) => sum + c.charCodeAt(0), 0) % 12;
}

/** Signature of an upstream's answer to a request. */
export function signAnswer(upstream: string, requestId: string): string {
  return `${upstream}/${requestId}`;
}

/** Data of an event. */
export function renderEvent(requestId: string, id: number): string {
  return `${requestId}#${id}`;
}

/** See the module; its callers reach it through a relay with faults. */
export class RegisteredUpstream {
  readonly #options: RegisteredUpstreamOptions;
  #server: Server | undefined;
  #relay!: Relay;
  #incarnation = 0;
  #bornAt = 0;
  #sequence = 0;
  #running = 0;
  /** Heartbeats in a row that the store did not take. */
  #missed = 0;
  #coldUntil = -Infinity;
  #state: "ready" | "draining" = "ready";
  #heartbeat: NodeJS.Timeout | undefined;
  #lapse: NodeJS.Timeout | undefined;

  constructor(options: RegisteredUpstreamOptions) {
    this.#options = options;
  }

  get name(): string {
    return this.#options.name;
  }

  get relay(): Relay {
    return this.#relay;
  }

  /** Id of the process that runs, or ran last. */
  get id(): string {
    return `${this.#options.name}.${this.#incarnation}`;
  }

  /** Starts a new process at the same address, cold and under a new id. */
  async start({ isCold = true } = {}): Promise<void> {
    this.#incarnation++;
    this.#bornAt = Date.now();
    this.#sequence = 0;
    this.#state = "ready";
    this.#coldUntil = performance.now() + (isCold ? this.#options.coldMs : 0);
    const server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 10_000;
    this.#server = server;
    const address = await listen(server, 0);
    if (this.#relay === undefined) {
      // A port of outgoing connections could be taken while the relay is cut.
      const port = await findFreePort();
      this.#relay = await createRelay({ target: address, port });
    } else this.#relay.setTarget(address);
    this.#beat();
  }

  /** Ends the process without a word; its entry lapses. */
  async kill(): Promise<void> {
    clearTimeout(this.#heartbeat);
    const key = `servers/${this.id}`;
    const lapseMs = LAPSE_HEARTBEATS * HEARTBEAT_MS;
    this.#lapse = setTimeout(() => this.#options.store.remove(key), lapseMs);
    await this.#closeServer();
  }

  /** Says that it leaves; returns when the store has been told. */
  leave(): void {
    this.#state = "draining";
    clearTimeout(this.#heartbeat);
    this.#beat();
  }

  /** Ends a process that has left. */
  async exit(): Promise<void> {
    await sleep(LINGER_MS);
    clearTimeout(this.#heartbeat);
    this.#options.store.remove(`servers/${this.id}`);
    await this.#closeServer();
  }

  /** Becomes cold, as after a start. */
  turnCold(): void {
    this.#coldUntil = performance.now() + this.#options.coldMs;
    clearTimeout(this.#heartbeat);
    this.#beat();
  }

  async close(): Promise<void> {
    clearTimeout(this.#heartbeat);
    clearTimeout(this.#lapse);
    await this.#closeServer();
    await this.#relay.close();
  }

  async #closeServer(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server !== undefined) await closeServer(server);
  }

  #beat(): void {
    const { store } = this.#options;
    this.#heartbeat = setTimeout(() => this.#beat(), HEARTBEAT_MS);
    if (store.faults.isSilent || store.faults.refuseWith !== undefined) {
      // Half of the entries lapse while the store is away.
      this.#missed++;
      const lapses = this.#missed >= LAPSE_HEARTBEATS &&
        this.#bornAt % 2 === 0;
      if (lapses) store.remove(`servers/${this.id}`);
      return;
    }
    this.#missed = 0;
    this.#register();
  }

  #register(): void {
    const { service, failureDomain, store } = this.#options;
    store.put(`servers/${this.id}`, {
      service,
      address: this.#relay.address,
      zone: failureDomain,
      version: "v1",
      slots: SLOTS,
      state: this.#state,
      coldLeftMs: Math.round(Math.max(0, this.#coldUntil - performance.now())),
      seq: ++this.#sequence,
      born: this.#bornAt,
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const server = this.#server;
    const requestId = String(request.headers["x-attempt-id"] ?? "");
    const isMisdirected = request.headers["x-expect-instance"] !== this.id;
    const isRun = !isMisdirected && this.#running < SLOTS;
    const lastEventId = Number(request.headers["last-event-id"] ?? 0);
    this.#options.onArrival({
      requestId,
      upstream: this.id,
      failureDomain: this.#options.failureDomain,
      atMs: performance.now(),
      isRun,
      isResumed: lastEventId > 0,
      isCold: performance.now() < this.#coldUntil,
      workspace: String(request.headers["x-tenant"] ?? ""),
    });
    if (!isRun) {
      const status = isMisdirected ? STATUS_MISDIRECTED : STATUS_FULL;
      response.writeHead(status, {
        "x-attempt-id": requestId,
        "x-not-executed": "1",
        "content-length": "0",
      });
      response.end();
      return;
    }
    this.#running++;
    try {
      await readJson(request);
      await sleep(SERVICE_MS);
      if (this.#server !== server || response.destroyed) return;
      response.setHeader("x-attempt-id", requestId);
      response.setHeader("x-response-stamp", signAnswer(this.id, requestId));
      const load = `${this.#running},0,${SLOTS}`;
      response.setHeader("x-runner-load", load);
      if (
        request.url!.startsWith("/read") || request.url!.startsWith("/book")
      ) {
        response.end(JSON.stringify({ requestId, upstream: this.id }));
      } else await this.#stream(response, { requestId, lastEventId });
    } finally {
      this.#running--;
    }
  }

  async #stream(
    response: ServerResponse,
    { requestId, lastEventId }: { requestId: string; lastEventId: number },
  ): Promise<void> {
    response.setHeader("content-type", "text/event-stream");
    const last = countEvents(requestId);
    for (let id = lastEventId + 1; id <= last; id++) {
      if (response.destroyed) return;
      response.write(`id: ${id}\ndata: ${renderEvent(requestId, id)}\n\n`);
      await sleep(EVENT_GAP_MS);
    }
    response.end();
  }
}
