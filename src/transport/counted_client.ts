/**
 * A client of undici whose responses are bounded by `ResponseInput`, for undici's
 * own request functions.
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { type buildConnector, Client, type Dispatcher } from "undici";
import {
  type FieldMemory,
  limitReads,
  ResponseInput,
} from "./response_input.ts";

/** Options of `CountedClient`. */
export interface CountedClientOptions extends Client.Options {
  readonly connect: buildConnector.connector;
  /** Memory in which the fields of responses are counted. */
  readonly memory?: FieldMemory | undefined;
}

/** A response was ended since it takes too much. */
export class ResponseExcessError extends Error {}

/** Sends one request at a time on one connection. */
export class CountedClient extends Client {
  readonly #memory: FieldMemory | undefined;
  #socket: Socket | undefined;
  /** Input of the response in progress. */
  #input: ResponseInput | undefined;

  constructor(
    origin: URL,
    { memory, connect, ...options }: CountedClientOptions,
  ) {
    super(origin, {
      ...options,
      pipelining: 1,
      connect: (target, callback) =>
        connect(target, (...result) => {
          const [cause, socket] = result;
          if (cause === null) {
            this.#socket = socket;
            limitReads(socket, () => this.#input);
          }
          callback(...result);
        }),
    });
    this.#memory = memory;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const counted = new CountedHandler(handler, {
      memory: this.#memory,
      getSocket: () => this.#socket,
      onStart: (input) => this.#input = input,
    });
    return super.dispatch(options, counted);
  }
}

/**
 * Counts a response and passes it on. Undici's request functions have handlers of
 * its earlier form, which gives the fields as they were parsed.
 */
class CountedHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #getSocket: () => Socket | undefined;
  readonly #onStart: (input: ResponseInput) => void;
  readonly #input: ResponseInput;
  #abort: (cause: Error) => void = () => {};

  constructor(
    handler: Dispatcher.DispatchHandler,
    { memory, getSocket, onStart }: {
      memory: FieldMemory | undefined;
      getSocket: () => Socket | undefined;
      onStart: (input: ResponseInput) => void;
    },
  ) {
    this.#handler = handler;
    this.#getSocket = getSocket;
    this.#onStart = onStart;
    this.#input = new ResponseInput({
      clock: () => performance.now(),
      memory,
      onExcess: (detail) => this.#abort(new ResponseExcessError(detail)),
      onEvict: () => {
        const detail = "the memory for header fields is full";
        this.#abort(new ResponseExcessError(detail));
      },
    });
  }

  onConnect(abort: (cause?: Error) => void): void {
    this.#abort = abort;
    this.#onStart(this.#input);
    this.#handler.onConnect!(abort);
  }

  onHeaders(
    status: number,
    headers: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean {
    if (!this.#input.recordHead(status, headers)) return false;
    return this.#handler.onHeaders!(status, headers, resume, statusText);
  }

  onData(chunk: Buffer): boolean {
    if (!this.#input.recordContent(chunk)) return false;
    const goesOn = this.#handler.onData!(chunk);
    if (!goesOn) this.#input.recordPause();
    return goesOn;
  }

  onComplete(trailers: string[] | null): void {
    this.#input.end();
    this.#handler.onComplete!(trailers);
  }

  onError(cause: Error): void {
    this.#input.end(this.#getSocket());
    this.#handler.onError!(cause);
  }
}
