/**
 * A client of undici that takes the reset of a connection for the failure of its
 * response. Undici alone takes it for the end of a response without a length, so
 * that a part of the body counts as the whole.
 */
import type { Buffer } from "node:buffer";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { recordReset } from "./connection_reset.ts";

/** Options of `ResetClient`; undici has made a function of `connect`. */
export interface ResetClientOptions extends Client.Options {
  readonly connect: buildConnector.connector;
}

/** Sends requests on one connection at a time. */
export class ResetClient extends Client {
  /** The current connection. */
  #connection = { isReset: false };

  constructor(origin: URL, { connect, ...options }: ResetClientOptions) {
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connect(target, (...result) => {
          const [cause, socket] = result;
          if (cause === null) {
            const connection = { isReset: false };
            this.#connection = connection;
            recordReset(socket, () => connection.isReset = true);
          }
          callback(...result);
        }),
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(
      options,
      new ResetHandler(handler, () => this.#connection.isReset),
    );
  }
}

/**
 * Passes a response on. Undici's request functions have handlers of its earlier
 * form.
 */
class ResetHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #isReset: () => boolean;

  constructor(
    handler: Dispatcher.DispatchHandler,
    isReset: () => boolean,
  ) {
    this.#handler = handler;
    this.#isReset = isReset;
  }

  onConnect(abort: (cause?: Error) => void): void {
    this.#handler.onConnect!(abort);
  }

  onHeaders(
    status: number,
    headers: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean {
    return this.#handler.onHeaders!(status, headers, resume, statusText);
  }

  onData(chunk: Buffer): boolean {
    return this.#handler.onData!(chunk);
  }

  onComplete(trailers: string[] | null): void {
    if (this.#isReset()) {
      this.#handler.onError!(new Error("the connection was reset"));
    } else this.#handler.onComplete!(trailers);
  }

  onError(cause: Error): void {
    this.#handler.onError!(cause);
  }
}
