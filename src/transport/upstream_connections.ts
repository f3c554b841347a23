/**
 * Pool of connections to upstreams. Each serves one request at a time and is
 * reused unless it was idle for too long. A connection is closed instead of
 * reused if it failed, if it received a response to another request, or if its
 * request was cancelled.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import type { ContactResult } from "../policy/answer_end.ts";
import type { Eviction } from "../policy/memory_budget.ts";
import { recordReset } from "./connection_reset.ts";
import {
  type FieldMemory,
  limitReads,
  ResponseInput,
} from "./response_input.ts";
import { SentinelConnections } from "./sentinel_connections.ts";
import { openSocket } from "./socket.ts";

/** A request to an upstream. */
export interface UpstreamRequest {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Names and values, alternating. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Maximum idle time of a reused connection, in milliseconds. */
  readonly maxIdleMs: number;
  /**
   * Whether it needs a new connection, which replaces an idle one; false by
   * default.
   */
  readonly isFresh?: boolean;
  /**
   * Memory in which the fields of the response are counted, and who sends it;
   * without a limit of all responses if absent.
   */
  readonly memory?: FieldMemory | undefined;
}

/**
 * Whether a request that failed may have reached the upstream. "excess" is a
 * response with too many bytes or parts that bring nothing, or of an upstream
 * whose fields take most of the memory; "given-up" is one that was given up for
 * the fields of others.
 */
export type ExchangeFailure = "not-sent" | "broken" | "excess" | "given-up";

/**
 * Receives the response of one request. Either `onEnd` or `onFailure` is called
 * exactly once, unless the exchange is cancelled.
 */
export interface ResponseListener {
  /** Called for each informational response (1xx). */
  onInformation?(): void;
  onHead(status: number, headers: IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: ExchangeFailure, detail: string): void;
}

/** A request in progress. */
export interface UpstreamExchange {
  /** Whether it was sent on a connection that had served another request. */
  readonly isReused: boolean;
  /**
   * Closes the connection, so that the upstream drops the request. The listener
   * is not called again for the end or a failure.
   */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Options for `createUpstreamConnections`. */
export interface UpstreamConnectionsOptions {
  /** Returns the monotonic time in milliseconds. */
  readonly clock: () => number;
  /** Called when a connection is opened, with the upstream's address. */
  readonly onOpen?: (address: string) => void;
  readonly connectTimeoutMs?: number;
  /** Idle time after which a connection is closed, in milliseconds. */
  readonly idleMs?: number;
}

/** Pool of connections to all upstreams. */
export interface UpstreamConnections {
  /**
   * Sends a request. Never throws: the listener is told of an address that can't
   * be connected to, too.
   */
  send(request: UpstreamRequest, listener: ResponseListener): UpstreamExchange;
  /**
   * Closes the idle connections to `address`. Used when the process of the
   * upstream is new.
   */
  closeIdle(address: string): void;
  /**
   * Closes those of them that requests would reuse, since a connection to
   * `address` has become unresponsive. What `hold` keeps stays open.
   */
  closeReusable(address: string): void;
  /**
   * Whether a connection to `address` is open that was opened before `at`, a
   * monotonic time in milliseconds, so that the process there has run since
   * then. It may be idle or in use.
   */
  isOpenSince(address: string, at: number): boolean;
  /**
   * The same of a connection that was established before `at`. One that was being
   * opened then may have met a later process.
   */
  isEstablishedSince(address: string, at: number): boolean;
  /**
   * Keeps a connection without requests to `address` open, for
   * `isEstablishedSince`, until the function that is returned is called.
   */
  hold(address: string): () => void;
  /**
   * Whether `address` refuses connections, as when the process there has ended.
   * False if that can't be found out in time.
   */
  isRefusing(address: string): Promise<boolean>;
  /** Whether a new connection to `address` opens within a short time. */
  isReachable(address: string): Promise<boolean>;
  /** Opens a new connection to `address` and returns what it met. */
  findContact(address: string): Promise<ContactResult>;
  close(): Promise<void>;
}

/** Shorter than the time objective of a plain request, to allow a retry. */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Time to find out whether an address refuses connections, which its host does
 * at once; a request may wait for it.
 */
const REFUSAL_TIMEOUT_MS = 100;
/**
 * Time in which a connection opens to a host that is reachable, in
 * milliseconds; many round trips, since its process need not accept it.
 */
const REACHABLE_TIMEOUT_MS = 200;
/** Below the idle timeout of 10 s that upstreams announce. */
const IDLE_TIMEOUT_MS = 9_000;
/**
 * Subtracted from the idle timeout that an upstream announces, because a
 * request may be in transit when the timeout expires.
 */
const IDLE_MARGIN_MS = 400;
/**
 * Per upstream. Corresponds to the requests that a router of a small fleet has
 * in flight at one upstream.
 */
const MAX_IDLE_CONNECTIONS = 8;
/**
 * Limit of undici, which goes on with what it has read after it has failed, and
 * fails again at each field. Larger than what may be read before a response is
 * ended.
 */
const MAX_PARSED_HEAD_BYTES = 262_144;
/** Informational responses have a lower status. */
const MIN_FINAL_STATUS = 200;
/** Interval between scans for expired idle connections. */
const SWEEP_INTERVAL_MS = 1_000;

/** Opens a connection to `address` and closes it at once. */
async function findContact(
  address: string,
  timeoutMs: number,
): Promise<ContactResult> {
  try {
    const socket = await openSocket(address, timeoutMs);
    socket.destroy();
    return "accepted";
  } catch (cause) {
    // The caller reports the outcome.
    const { code } = cause as NodeJS.ErrnoException;
    return code === "ECONNREFUSED" ? "refused" : "silent";
  }
}

class Connection {
  readonly client: Client;
  readonly address: string;
  isClosed = false;
  /** Whether the connection was reset rather than closed. */
  hasFailed = false;
  idleSince = 0;
  isUnused = true;
  /** Monotonic time in milliseconds. */
  readonly openedAt: number;
  /** Monotonic time in milliseconds; infinite until it is established. */
  establishedAt = Infinity;
  /** Handler of the request in progress. */
  handler: ExchangeHandler | undefined;
  #socket: Socket | undefined;

  constructor(
    address: string,
    { connectTimeoutMs, idleMs, clock }: {
      connectTimeoutMs: number;
      idleMs: number;
      clock: () => number;
    },
  ) {
    this.address = address;
    this.openedAt = clock();
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (_options, callback) => {
        openSocket(address, connectTimeoutMs).then((socket) => {
          this.establishedAt = clock();
          this.#socket = socket;
          limitReads(socket, () => this.handler?.input);
          recordReset(socket, () => this.hasFailed = true);
          callback(null, socket);
        }, (cause) => callback(cause, null));
      },
      // The caller of `send` enforces the deadline of its request.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_PARSED_HEAD_BYTES,
      keepAliveTimeout: idleMs,
      keepAliveMaxTimeout: idleMs,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    });
    this.client.on("disconnect", () => this.isClosed = true);
    this.client.on("connectionError", () => this.isClosed = true);
  }

  /** Undefined until the connection is established. */
  get socket(): Socket | undefined {
    return this.#socket;
  }

  destroy(): void {
    this.isClosed = true;
    void this.client.destroy();
  }
}

class UndiciUpstreamConnections implements UpstreamConnections {
  readonly #options: Required<UpstreamConnectionsOptions>;
  readonly #idle = new Map<string, Connection[]>();
  readonly #busy = new Set<Connection>();
  /** Checks in progress, by address. */
  readonly #refusalChecks = new Map<string, Promise<boolean>>();
  readonly #sentinels: SentinelConnections;
  readonly #sweeper: NodeJS.Timeout;

  constructor(options: Required<UpstreamConnectionsOptions>) {
    this.#options = options;
    this.#sentinels = new SentinelConnections(options);
    this.#sweeper = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
    this.#sweeper.unref();
  }

  send(request: UpstreamRequest, listener: ResponseListener): UpstreamExchange {
    let connection: Connection;
    try {
      connection = this.#acquire(request);
    } catch (cause) {
      return failExchange(listener, String(cause));
    }
    const isReused = !connection.isUnused;
    connection.isUnused = false;
    this.#busy.add(connection);
    const handler = new ExchangeHandler(listener, {
      connection,
      clock: this.#options.clock,
      memory: request.memory,
      onDone: (isReusable) => this.#release(connection, isReusable),
    });
    connection.handler = handler;
    connection.client.dispatch({
      path: request.path,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body ?? null,
    }, handler);
    return {
      isReused,
      cancel: () => {
        if (!handler.tryCancel()) return;
        this.#busy.delete(connection);
        connection.destroy();
      },
      pause: () => handler.pause(),
      resume: () => handler.resume(),
    };
  }

  closeIdle(address: string): void {
    this.closeReusable(address);
    this.#sentinels.closeAddress(address);
  }

  closeReusable(address: string): void {
    for (const each of this.#idle.get(address) ?? []) each.destroy();
    this.#idle.delete(address);
  }

  isOpenSince(address: string, at: number): boolean {
    return this.#hasConnection(
      address,
      ({ isClosed, openedAt }) => !isClosed && openedAt <= at,
    );
  }

  isEstablishedSince(address: string, at: number): boolean {
    return this.#sentinels.isOpenSince(address, at) ||
      this.#hasConnection(
        address,
        ({ isClosed, establishedAt }) => !isClosed && establishedAt <= at,
      );
  }

  hold(address: string): () => void {
    return this.#sentinels.hold(address);
  }

  isRefusing(address: string): Promise<boolean> {
    const pending = this.#refusalChecks.get(address);
    if (pending !== undefined) return pending;
    const check = findContact(address, REFUSAL_TIMEOUT_MS)
      .then((contact) => contact === "refused")
      .finally(() => this.#refusalChecks.delete(address));
    this.#refusalChecks.set(address, check);
    return check;
  }

  async isReachable(address: string): Promise<boolean> {
    return await this.findContact(address) === "accepted";
  }

  findContact(address: string): Promise<ContactResult> {
    this.#options.onOpen(address);
    return findContact(address, REACHABLE_TIMEOUT_MS);
  }

  async close(): Promise<void> {
    clearInterval(this.#sweeper);
    this.#sentinels.close();
    for (const address of [...this.#idle.keys()]) this.closeIdle(address);
    const busy = [...this.#busy];
    await Promise.all(busy.map(({ client }) => client.destroy()));
  }

  #hasConnection(
    address: string,
    matches: (connection: Connection) => boolean,
  ): boolean {
    if (this.#idle.get(address)?.some(matches)) return true;
    return [...this.#busy]
      .some((each) => each.address === address && matches(each));
  }

  #acquire(
    { address, maxIdleMs, isFresh = false }: UpstreamRequest,
  ): Connection {
    const { clock } = this.#options;
    const idle = this.#idle.get(address) ?? [];
    if (isFresh) {
      idle.shift()?.destroy();
      return this.#open(address);
    }
    for (let newest = idle.pop(); newest !== undefined; newest = idle.pop()) {
      if (newest.isClosed) continue;
      if (clock() - newest.idleSince <= maxIdleMs) return newest;
      // The others were idle for longer. They stay for requests that can be
      // repeated and therefore allow a longer idle time.
      idle.push(newest);
      break;
    }
    return this.#open(address);
  }

  #open(address: string): Connection {
    const { clock, connectTimeoutMs, idleMs, onOpen } = this.#options;
    onOpen(address);
    return new Connection(address, { connectTimeoutMs, idleMs, clock });
  }

  #release(connection: Connection, isReusable: boolean): void {
    this.#busy.delete(connection);
    connection.handler = undefined;
    const idle = this.#idle.get(connection.address) ?? [];
    const isKept = isReusable && !connection.isClosed &&
      idle.length < MAX_IDLE_CONNECTIONS;
    if (!isKept) {
      connection.destroy();
      return;
    }
    connection.idleSince = this.#options.clock();
    idle.push(connection);
    this.#idle.set(connection.address, idle);
  }

  #sweep(): void {
    const minIdleSince = this.#options.clock() - this.#options.idleMs;
    for (const [address, idle] of this.#idle) {
      const remaining = idle.filter((each) => {
        if (!each.isClosed && each.idleSince >= minIdleSince) return true;
        each.destroy();
        return false;
      });
      if (remaining.length > 0) this.#idle.set(address, remaining);
      else this.#idle.delete(address);
    }
  }
}

/** Translates undici's dispatch events to calls of a `ResponseListener`. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly input: ResponseInput;
  readonly #listener: ResponseListener;
  readonly #connection: Connection;
  readonly #onDone: (isReusable: boolean) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #isEnded = false;

  constructor(
    listener: ResponseListener,
    { connection, clock, memory, onDone }: {
      connection: Connection;
      clock: () => number;
      memory: FieldMemory | undefined;
      onDone: (isReusable: boolean) => void;
    },
  ) {
    this.#listener = listener;
    this.#connection = connection;
    this.#onDone = onDone;
    this.input = new ResponseInput({
      clock,
      memory,
      onExcess: (detail) => this.#fail("excess", detail),
      onEvict: (eviction) => this.#endEvicted(eviction),
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    // These Buffers would keep what was read for as long as the response lasts.
    controller.rawHeaders = null;
    if (this.#isEnded || !this.input.recordHead(status, headers)) return;
    if (status >= MIN_FINAL_STATUS) this.#listener.onHead(status, headers);
    else this.#listener.onInformation?.();
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isEnded || !this.input.recordContent(chunk)) return;
    this.#listener.onData(chunk);
    if (controller.paused) this.input.recordPause();
  }

  #endEvicted({ reason }: Eviction): void {
    this.#fail(
      reason === "source-share" ? "excess" : "given-up",
      "the memory for header fields is full",
    );
  }

  #fail(failure: ExchangeFailure, detail: string): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#endBroken();
    this.#listener.onFailure(failure, detail);
  }

  /** Closes the connection. */
  #endBroken(): void {
    this.#onDone(false);
    this.input.end(this.#connection.socket);
  }

  onResponseEnd(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    if (this.#connection.hasFailed) {
      this.#endBroken();
      this.#listener.onFailure("broken", "the connection was reset");
      return;
    }
    this.input.end();
    // If the response requests it, undici closes the connection in this turn
    // of the event loop, before `#onDone` checks whether it can be reused.
    setImmediate(() => this.#onDone(true));
    this.#listener.onEnd();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const isSent = this.#controller !== undefined;
    this.#fail(isSent ? "broken" : "not-sent", error.message);
  }

  /** Stops further listener calls; returns false if already ended. */
  tryCancel(): boolean {
    if (this.#isEnded) return false;
    this.#isEnded = true;
    this.input.end(this.#connection.socket);
    return true;
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }
}

/**
 * Reports a request that could not be sent, in a later turn of the event loop,
 * as all failures are.
 */
function failExchange(
  listener: ResponseListener,
  detail: string,
): UpstreamExchange {
  let isCancelled = false;
  setImmediate(() => {
    if (!isCancelled) listener.onFailure("not-sent", detail);
  });
  return {
    isReused: false,
    cancel: () => isCancelled = true,
    pause: () => {},
    resume: () => {},
  };
}

/** Creates a pool, which opens connections only when requests are sent. */
export function createUpstreamConnections(
  options: UpstreamConnectionsOptions,
): UpstreamConnections {
  return new UndiciUpstreamConnections({
    onOpen: () => {},
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    idleMs: IDLE_TIMEOUT_MS,
    ...options,
  });
}
