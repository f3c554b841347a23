/**
 * Connections that carry no request. While one stays open, the process at its
 * address has not ended; a connection that carries requests ends with an answer
 * that has no length.
 */
import type { Socket } from "node:net";
import {
  setImmediate as untilPolled,
  setTimeout as sleep,
} from "node:timers/promises";
import { SETTLE_MS } from "../policy/answer_end.ts";
import { openSocket } from "./socket.ts";

/** Options of `SentinelConnections`. */
export interface SentinelConnectionsOptions {
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Called when a connection is opened, with its address. */
  readonly onOpen: (address: string) => void;
  readonly connectTimeoutMs: number;
  /** Age at which a connection is replaced, in milliseconds. */
  readonly maxAgeMs?: number;
  /** Time for which it is kept after its last use, in milliseconds. */
  readonly lingerMs?: number;
}

/**
 * Age at which a connection is replaced, in milliseconds; well below the idle
 * timeout of 10 s that upstreams announce.
 */
const MAX_AGE_MS = 4_000;
/** Time for which a connection is kept after its last use, in milliseconds. */
const LINGER_MS = 8_000;
/** Interval between checks of their age, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** A connection that carries no request. */
interface IdleSocket {
  readonly socket: Socket;
  readonly establishedAt: number;
  isClosed: boolean;
}

/** The connections to one address, of which one replaces the other. */
class Sentinel {
  readonly #address: string;
  readonly #options: Required<SentinelConnectionsOptions>;
  #current: IdleSocket | undefined;
  /** Time since which connections have been open without a gap. */
  #openSince = Infinity;
  #isOpening = false;
  #isClosed = false;
  #holders = 0;
  #releasedAt = 0;

  constructor(
    address: string,
    options: Required<SentinelConnectionsOptions>,
  ) {
    this.#address = address;
    this.#options = options;
  }

  /** Whether nothing has needed it for a while. */
  get isExpired(): boolean {
    const { clock, lingerMs } = this.#options;
    return this.#holders === 0 && clock() - this.#releasedAt > lingerMs;
  }

  hold(): void {
    this.#holders++;
    this.check();
  }

  release(): void {
    this.#holders--;
    this.#releasedAt = this.#options.clock();
  }

  isOpenSince(at: number): boolean {
    return this.#hasOpenSocket && this.#openSince <= at;
  }

  /** While it is held, opens a connection if none is open and young enough. */
  check(): void {
    if (this.#holders === 0 || this.#isOpening || this.#isClosed) return;
    const { clock, maxAgeMs } = this.#options;
    const isYoung = this.#current !== undefined && this.#hasOpenSocket &&
      clock() - this.#current.establishedAt <= maxAgeMs;
    if (!isYoung) void this.#open();
  }

  close(): void {
    this.#isClosed = true;
    this.#current?.socket.destroy();
  }

  get #hasOpenSocket(): boolean {
    return this.#current !== undefined && !this.#current.isClosed;
  }

  async #open(): Promise<void> {
    const { clock, onOpen, connectTimeoutMs } = this.#options;
    this.#isOpening = true;
    onOpen(this.#address);
    try {
      const socket = await openSocket(this.#address, connectTimeoutMs);
      const establishedAt = clock();
      await this.#replace({ socket, establishedAt, isClosed: false });
    } catch {
      // Nothing is proven without it; requests report that they can't connect.
    } finally {
      this.#isOpening = false;
    }
  }

  async #replace(next: IdleSocket): Promise<void> {
    watchEnd(next);
    if (this.#hasOpenSocket) {
      // The end of the process that holds the older one may still arrive.
      await sleep(SETTLE_MS);
      await untilPolled();
    }
    if (this.#isClosed) {
      next.socket.destroy();
      return;
    }
    if (!this.#hasOpenSocket) this.#openSince = next.establishedAt;
    this.#current?.socket.destroy();
    this.#current = next;
  }
}

/** Records when the connection has ended. */
function watchEnd(idle: IdleSocket): void {
  const { socket } = idle;
  socket.once("close", () => idle.isClosed = true);
  // An error is followed by "close".
  socket.on("error", () => {});
  socket.once("end", () => {
    idle.isClosed = true;
    socket.destroy();
  });
  // The end is noticed only while the socket is read.
  socket.resume();
}

/** Connections without requests, by address. */
export class SentinelConnections {
  readonly #options: Required<SentinelConnectionsOptions>;
  readonly #sentinels = new Map<string, Sentinel>();
  readonly #timer: NodeJS.Timeout;

  constructor(options: SentinelConnectionsOptions) {
    this.#options = {
      maxAgeMs: MAX_AGE_MS,
      lingerMs: LINGER_MS,
      ...options,
    };
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /**
   * Keeps a connection to `address` open, as far as the upstream lets it, until
   * the function that is returned is called, and for a while after.
   */
  hold(address: string): () => void {
    const sentinel = this.#sentinels.get(address) ??
      new Sentinel(address, this.#options);
    this.#sentinels.set(address, sentinel);
    sentinel.hold();
    return () => sentinel.release();
  }

  /**
   * Whether connections to `address` have been open without a gap since `at`, a
   * monotonic time in milliseconds.
   */
  isOpenSince(address: string, at: number): boolean {
    return this.#sentinels.get(address)?.isOpenSince(at) ?? false;
  }

  /** Closes the connection to `address`. */
  closeAddress(address: string): void {
    this.#sentinels.get(address)?.close();
    this.#sentinels.delete(address);
  }

  close(): void {
    clearInterval(this.#timer);
    for (const address of [...this.#sentinels.keys()]) {
      this.closeAddress(address);
    }
  }

  #check(): void {
    for (const [address, sentinel] of this.#sentinels) {
      if (sentinel.isExpired) this.closeAddress(address);
      else sentinel.check();
    }
  }
}
