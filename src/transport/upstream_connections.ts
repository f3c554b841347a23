/**
 * Connections to upstreams: one request at a time on each, reused while it is
 * young enough. A connection that broke, that answered another request or that
 * was cancelled is closed, never reused.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { buildConnector, Client, type Dispatcher } from "undici";

/** A request to an upstream. */
export interface UpstreamRequest {
  /** `ip:port`. */
  readonly address: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Name and value pairs. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Longest time that a reused connection was idle, in milliseconds. */
  readonly maxIdleMs: number;
}

/** Whether a request that failed may have reached the upstream. */
export type ExchangeFailure = "not-sent" | "broken";

/** Takes the answer of one request; exactly one of the ends is called. */
export interface AnswerListener {
  onHead(status: number, headers: IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: ExchangeFailure, detail: string): void;
}

/** A request under way. */
export interface UpstreamExchange {
  /** Whether it went out on a connection that had served another request. */
  readonly isReused: boolean;
  /** Closes the connection; the upstream drops the request. No end is called. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Options of the connections. */
export interface UpstreamConnectionsOptions {
  readonly clock: () => number;
  /** Called when a connection is opened, with the upstream's address. */
  readonly onOpen?: (address: string) => void;
  readonly connectTimeoutMs?: number;
  /** Idle time after which a connection is closed, in milliseconds. */
  readonly idleMs?: number;
}

/** Connections to all upstreams. */
export interface UpstreamConnections {
  send(request: UpstreamRequest, listener: AnswerListener): UpstreamExchange;
  /** Closes the idle connections to `address`, after one has gone silent. */
  dropIdle(address: string): void;
  close(): Promise<void>;
}

/** Within the objective of a plain call, so that another try is possible. */
const CONNECT_TIMEOUT_MS = 400;
/** Below the 10 s that upstreams state, in milliseconds. */
const IDLE_MS = 9_000;
/** Stated idle times are shortened by this, for the request on its way. */
const IDLE_MARGIN_MS = 400;
/** Probes tell a connection that has gone silent. */
const KEEP_ALIVE_PROBE_MS = 1_000;
/** To one upstream: what a router of a small fleet has in flight there. */
const MAX_IDLE_CONNECTIONS = 8;
/** Pause between two looks for idle connections to close, in milliseconds. */
const SWEEP_MS = 1_000;

class Connection {
  readonly client: Client;
  readonly address: string;
  isClosed = false;
  /** Whether the connection was reset rather than closed. */
  hasFailed = false;
  idleSince = 0;
  isFresh = true;

  constructor(address: string, connectTimeoutMs: number, idleMs: number) {
    this.address = address;
    const connect = buildConnector({
      timeout: connectTimeoutMs,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...[error, socket]) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          // Undici takes a reset for the end of an answer without a length.
          socket.prependListener("error", () => this.hasFailed = true);
          callback(null, socket);
        }),
      // The deadline of a request is its caller's, not the connection's.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleMs,
      keepAliveMaxTimeout: idleMs,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    });
    this.client.on("disconnect", () => this.isClosed = true);
    this.client.on("connectionError", () => this.isClosed = true);
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
  readonly #sweeper: NodeJS.Timeout;

  constructor(options: Required<UpstreamConnectionsOptions>) {
    this.#options = options;
    this.#sweeper = setInterval(() => this.#sweep(), SWEEP_MS);
    this.#sweeper.unref();
  }

  send(request: UpstreamRequest, listener: AnswerListener): UpstreamExchange {
    const connection = this.#take(request);
    const isReused = !connection.isFresh;
    connection.isFresh = false;
    this.#busy.add(connection);
    const handler = new ExchangeHandler(listener, {
      hasFailed: () => connection.hasFailed,
      onDone: (isReusable) => this.#release(connection, isReusable),
    });
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

  dropIdle(address: string): void {
    for (const each of this.#idle.get(address) ?? []) each.destroy();
    this.#idle.delete(address);
  }

  async close(): Promise<void> {
    clearInterval(this.#sweeper);
    for (const address of [...this.#idle.keys()]) this.dropIdle(address);
    const busy = [...this.#busy];
    await Promise.all(busy.map(({ client }) => client.destroy()));
  }

  #take({ address, maxIdleMs }: UpstreamRequest): Connection {
    const { clock, connectTimeoutMs, idleMs, onOpen } = this.#options;
    const idle = this.#idle.get(address) ?? [];
    for (let last = idle.pop(); last !== undefined; last = idle.pop()) {
      if (last.isClosed) continue;
      if (clock() - last.idleSince <= maxIdleMs) return last;
      // The others were idle for longer; they serve requests that may repeat.
      idle.push(last);
      break;
    }
    onOpen(address);
    return new Connection(address, connectTimeoutMs, idleMs);
  }

  #release(connection: Connection, isReusable: boolean): void {
    this.#busy.delete(connection);
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
    const oldest = this.#options.clock() - this.#options.idleMs;
    for (const [address, idle] of this.#idle) {
      const kept = idle.filter((each) => {
        if (!each.isClosed && each.idleSince >= oldest) return true;
        each.destroy();
        return false;
      });
      if (kept.length > 0) this.#idle.set(address, kept);
      else this.#idle.delete(address);
    }
  }
}

/** Turns undici's events into those of an `AnswerListener`. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  readonly #listener: AnswerListener;
  readonly #hasFailed: () => boolean;
  readonly #onDone: (isReusable: boolean) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #isEnded = false;

  constructor(
    listener: AnswerListener,
    { hasFailed, onDone }: {
      hasFailed: () => boolean;
      onDone: (isReusable: boolean) => void;
    },
  ) {
    this.#listener = listener;
    this.#hasFailed = hasFailed;
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
    if (this.#isEnded || status < 200) return;
    this.#listener.onHead(status, headers);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#isEnded) this.#listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    if (this.#hasFailed()) {
      this.#onDone(false);
      this.#listener.onFailure("broken", "the connection was reset");
      return;
    }
    // Undici closes the connection in this turn if the answer asks for it.
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

  /** Ends the exchange without a further event; false if it had ended. */
  tryCancel(): boolean {
    if (this.#isEnded) return false;
    this.#isEnded = true;
    return true;
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }
}

/** Creates connections; none is opened before the first request. */
export function createUpstreamConnections(
  options: UpstreamConnectionsOptions,
): UpstreamConnections {
  return new UndiciUpstreamConnections({
    onOpen: () => {},
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    idleMs: IDLE_MS,
    ...options,
  });
}
