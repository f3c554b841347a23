/**
 * Opens the ports of a router. Tries again while another process holds one.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "../log.ts";
import { getBindPause, type PortUse } from "../policy/bind_retry.ts";

/** A port to open. */
export interface Port {
  /** Setting that has the address, for messages: `[listen] callers`. */
  readonly setting: string;
  /** `ip:port`. */
  readonly address: string;
  readonly use: PortUse;
  /** Tries once to listen; rejects with a system error. */
  bind(): Promise<unknown>;
}

/** Options of `PortBinding`. */
export interface PortBindingOptions {
  readonly log: Log;
  /** Reads the monotonic clock, in milliseconds. */
  readonly clock: () => number;
}

/** Opens ports, and ends its tries when it is closed. */
export class PortBinding {
  readonly #options: PortBindingOptions;
  readonly #closing = new AbortController();
  #waitedMs = 0;

  constructor(options: PortBindingOptions) {
    this.#options = options;
  }

  /** Time for which `open` waited for ports that were taken, in ms. */
  get waitedMs(): number {
    return Math.round(this.#waitedMs);
  }

  /**
   * Opens a port. Resolves when a required one is bound, and after the first
   * try of an optional one, which is then tried again in the background.
   * Resolves as well when this is closed.
   *
   * @throws {Error} If a required port stays taken.
   */
  async open(port: Port): Promise<void> {
    if (this.#closing.signal.aborted) return;
    const cause = await this.#tryOnce(port);
    if (cause === undefined) return;
    const { setting, address, use } = port;
    const details = { setting, address, use };
    this.#options.log.warn("An address is taken and tried again.", {
      ...details,
      cause: cause.message,
    });
    const retries = this.#retry(port, cause);
    if (use === "required") return await retries;
    retries.catch((error: unknown) => {
      // Optional ports are tried without end, so this is a fault of the code.
      this.#options.log.error("An address is no longer tried.", {
        ...details,
        cause: String(error),
      });
    });
  }

  /** Ends the tries. */
  close(): void {
    this.#closing.abort();
  }

  async #tryOnce(
    { bind }: Port,
  ): Promise<NodeJS.ErrnoException | undefined> {
    try {
      await bind();
      return undefined;
    } catch (cause) {
      return cause as NodeJS.ErrnoException;
    }
  }

  async #retry(port: Port, firstCause: NodeJS.ErrnoException): Promise<void> {
    const { log, clock } = this.#options;
    const { setting, address, use } = port;
    const startedAt = clock();
    let cause: NodeJS.ErrnoException | undefined = firstCause;
    while (cause !== undefined) {
      const waitedMs = clock() - startedAt;
      const pauseMs = getBindPause({ use, code: cause.code, waitedMs });
      if (pauseMs === undefined) {
        const ms = Math.round(waitedMs);
        throw new Error(
          `${setting} = ${address} is tried in vain for ${ms} ms: ${cause.message}`,
          { cause },
        );
      }
      await this.#pause(pauseMs);
      if (this.#closing.signal.aborted) return;
      cause = await this.#tryOnce(port);
    }
    const ms = clock() - startedAt;
    if (use === "required") this.#waitedMs += ms;
    log.info("An address that was taken is bound.", {
      setting,
      address,
      ms: Math.round(ms),
    });
  }

  async #pause(ms: number): Promise<void> {
    try {
      await sleep(ms, undefined, { signal: this.#closing.signal });
    } catch {
      // Closed; the caller checks that.
    }
  }
}

/** A daemon whose start opens ports. */
export interface OpeningDaemon {
  open(): Promise<void>;
  /** Ends the wait for ports that are taken; `open` then resolves. */
  endWait(): void;
  /** Releases what is open after a failed start. */
  abandon(): Promise<void>;
}

/**
 * Opens a daemon. Releases what it has opened if that fails, its registration
 * for example, which would mislead other routers until it expires. Ends its
 * wait for ports if `stopSignal` is aborted.
 */
export async function openOrClose(
  daemon: OpeningDaemon,
  { stopSignal }: { readonly stopSignal?: AbortSignal },
): Promise<void> {
  const endWait = () => daemon.endWait();
  stopSignal?.addEventListener("abort", endWait);
  if (stopSignal?.aborted) endWait();
  try {
    await daemon.open();
  } catch (cause) {
    await daemon.abandon();
    throw cause;
  } finally {
    stopSignal?.removeEventListener("abort", endWait);
  }
}
