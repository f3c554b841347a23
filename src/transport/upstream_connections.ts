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
import { InputAllowance } from "../policy/input_allowance.ts";
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
}

/**
 * Whether a request that failed may have reached the upstream. "excess" is a
 * response with too many bytes or parts that bring nothing.
 */
export type ExchangeFailure = "not-sent" | "broken" | "excess";

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
   * Closes the idle connections to `address`. Used when a connection to it has
   * become unresponsive or the process of the upstream is new.
   */
  closeIdle(address: string): void;
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
/** Largest head of a response, without separators. */
const MAX_HEAD_BYTES = 16_384;
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

/**
 * Calls `onReset` if the connection is reset, before undici takes its end for
 * that of a close-delimited response.
 */
function recordReset(socket: Socket, onReset: () => void): void {
  socket.prependListener("error", onReset);
  socket.prependListener("end", () => {
    // libuv reports an end without an error if the reset is there when the last
    // bytes are read. A reset connection has no peer any more; one that the peer
    // closed still has. Node caches the address once it was read.
    if (socket.remoteAddress === undefined) onReset();
  });
  socket.prependListener("close", () => {
    if (!socket.readableEnded) onReset();
  });
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
          // Runs before undici reads and parses what has arrived.
          socket.on("readable", () => this.handler?.checkInput());
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

  /** Bytes that the connection has received. */
  get bytesRead(): number {
    return this.#socket?.bytesRead ?? 0;
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
    for (const each of this.#idle.get(address) ?? []) each.destroy();
    this.#idle.delete(address);
    this.#sentinels.closeAddress(address);
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

/** Parts of any size that a response may have at once. */
const MAX_BURST_PARTS = 4_096;

/** Translates undici's dispatch events to calls of a `ResponseListener`. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #listener: ResponseListener;
  readonly #connection: Connection;
  readonly #clock: () => number;
  readonly #onDone: (isReusable: boolean) => void;
  readonly #bytesBefore: number;
  /** Bytes of the response that are known to be parsed. */
  #parsedBytes = 0;
  #isPaused = false;
  #controller: Dispatcher.DispatchController | undefined;
  /** Set when the first bytes of the response arrive. */
  #allowance: InputAllowance | undefined;
  #isEnded = false;

  constructor(
    listener: ResponseListener,
    { connection, clock, onDone }: {
      connection: Connection;
      clock: () => number;
      onDone: (isReusable: boolean) => void;
    },
  ) {
    this.#listener = listener;
    this.#connection = connection;
    this.#bytesBefore = connection.bytesRead;
    this.#clock = clock;
    this.#onDone = onDone;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.#isEnded) return;
    if (this.#isHeadTooLarge(headers)) this.#endExcess("the head is too large");
    else if (status >= MIN_FINAL_STATUS) this.#listener.onHead(status, headers);
    else if (this.#recordPart(0)) this.#listener.onInformation?.();
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isEnded) return;
    if (this.#recordPart(chunk.length)) this.#listener.onData(chunk);
  }

  /** Ends a response of which most bytes bring nothing. */
  checkInput(): void {
    if (this.#isEnded || this.#isPaused) return;
    this.#allowance ??= new InputAllowance(this.#clock(), {
      baseParts: MAX_BURST_PARTS,
    });
    // What has arrived since then hasn't been parsed.
    const parsedBytes = this.#parsedBytes;
    this.#parsedBytes = this.#receivedBytes;
    if (this.#allowance.allowsTotal(parsedBytes, this.#clock)) return;
    this.#endExcess("too many bytes that are no content");
  }

  get #receivedBytes(): number {
    return this.#connection.bytesRead - this.#bytesBefore;
  }

  #isHeadTooLarge(headers: IncomingHttpHeaders): boolean {
    if (this.#receivedBytes <= MAX_HEAD_BYTES) return false;
    let bytes = 0;
    for (const [name, value = ""] of Object.entries(headers)) {
      for (const each of [value].flat()) bytes += name.length + each.length;
    }
    return bytes > MAX_HEAD_BYTES;
  }

  /** Returns false if the response has too many parts; it is ended then. */
  #recordPart(bytes: number): boolean {
    this.#allowance ??= new InputAllowance(this.#clock(), {
      baseParts: MAX_BURST_PARTS,
    });
    if (this.#allowance.recordPart(bytes, this.#clock)) return true;
    this.#endExcess("too many small parts");
    return false;
  }

  #endExcess(detail: string): void {
    this.#isEnded = true;
    this.#onDone(false);
    this.#listener.onFailure("excess", detail);
  }

  onResponseEnd(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    if (this.#connection.hasFailed) {
      this.#onDone(false);
      this.#listener.onFailure("broken", "the connection was reset");
      return;
    }
    // If the response requests it, undici closes the connection in this turn
    // of the event loop, before `#onDone` checks whether it can be reused.
    setImmediate(() => this.#onDone(true));
    this.#listener.onEnd();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#onDone(false);
    const isSent = this.#controller !== undefined;
    this.#listener.onFailure(isSent ? "broken" : "not-sent", error.message);
  }

  /** Stops further listener calls; returns false if already ended. */
  tryCancel(): boolean {
    if (this.#isEnded) return false;
    this.#isEnded = true;
    return true;
  }

  pause(): void {
    this.#isPaused = true;
    this.#controller?.pause();
  }

  resume(): void {
    this.#isPaused = false;
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
