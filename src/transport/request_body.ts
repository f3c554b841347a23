/**
 * Reads the bodies of requests: the whole of a body that is served, and the
 * rest of one that is refused.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { performance } from "node:perf_hooks";
import { Err, Ok, type Result } from "ts-results";
import {
  createRefusal,
  type DiagnosticCode,
  type Refusal,
} from "../diagnostics.ts";
import { InputAllowance } from "../policy/input_allowance.ts";
import type { Holding, MemoryBudget } from "../policy/memory_budget.ts";
import { ByteCollector } from "./byte_collector.ts";

/** Options of `readBody`. */
export interface ReadBodyOptions {
  readonly maxBodyBytes: number;
  /** Time until the request's deadline, in milliseconds; without one, unset. */
  readonly remainingMs?: number;
  /** Holds the memory of the body; without it, only the body is bounded. */
  readonly memory?: MemoryBudget;
  /** Workspace of the request; the caller's address by default. */
  readonly source?: string;
}

/** The body of a request. */
export interface RequestBody {
  readonly bytes: Buffer;
  /** Ends the holding of the body in the memory budget. */
  release(): void;
}

/** Time in which the rest of a refused body may arrive, in milliseconds. */
const MAX_DISCARD_MS = 3_000;
/** Largest rest of a refused body that is read. */
const MAX_DISCARD_BYTES = 8_388_608;
/** Time for the caller to read the response before its connection closes. */
const LINGER_MS = 500;

function readSteadyClock(): number {
  return performance.now();
}

/** Size of the body in bytes if the caller has announced it. */
function getAnnouncedBytes({ headers }: IncomingMessage): number | undefined {
  const length = headers["content-length"];
  return length === undefined ? undefined : Number(length);
}

function hasBody(request: IncomingMessage): boolean {
  return request.headers["transfer-encoding"] !== undefined ||
    getAnnouncedBytes(request) !== undefined;
}

/** Collects the body of one request. */
class BodyReader {
  readonly #request: IncomingMessage;
  readonly #options: ReadBodyOptions;
  readonly #collector = new ByteCollector();
  readonly #allowance = new InputAllowance(readSteadyClock());
  #parts = 0;
  #holding: Holding | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #resolve: (result: Result<RequestBody, Refusal>) => void = () => {};

  constructor(request: IncomingMessage, options: ReadBodyOptions) {
    this.#request = request;
    this.#options = options;
  }

  read(): Promise<Result<RequestBody, Refusal>> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      const request = this.#request;
      if (request.destroyed) return this.#fail();
      const { maxBodyBytes, memory } = this.#options;
      const announcedBytes = getAnnouncedBytes(request) ?? 0;
      if (announcedBytes > maxBodyBytes) return this.#refuseSize();
      if (memory?.hasRoomForBody(announcedBytes, this.#source) === false) {
        return this.#refuseMemory();
      }
      this.#setDeadline();
      request.on("data", this.#receive);
      request.on("end", this.#complete);
      request.on("error", this.#fail);
      request.on("close", this.#fail);
    });
  }

  get #source(): string {
    return this.#options.source ?? this.#request.socket.remoteAddress ??
      "unknown";
  }

  /** Ends the wait at the deadline, after which the request can't be served. */
  #setDeadline(): void {
    const { remainingMs } = this.#options;
    if (remainingMs === undefined || !hasBody(this.#request)) return;
    this.#deadlineTimer = setTimeout(() => {
      const detail = `The deadline passed ${this.#collector.length} bytes ` +
        "into the body, before its end.";
      this.#refuse("request-timeout", detail);
    }, Math.max(0, remainingMs));
  }

  // Events, not an iterator: that takes a promise for each part.
  readonly #receive = (chunk: Buffer): void => {
    this.#parts++;
    if (!this.#allowance.recordPart(chunk.length, readSteadyClock())) {
      closeUnread(this.#request);
      this.#refuse(
        "bad-request",
        `The first ${this.#collector.length} bytes of the body came in ` +
          `${this.#parts} parts, which is too many.`,
      );
      return;
    }
    const { maxBodyBytes } = this.#options;
    if (this.#collector.length + chunk.length > maxBodyBytes) {
      this.#refuseSize();
      return;
    }
    this.#collector.push(chunk);
    this.#hold();
  };

  /** Adjusts the holding to the memory that the body takes by now. */
  #hold(): void {
    this.#holding ??= this.#options.memory?.open({
      kind: "request-body",
      source: this.#source,
      expectedBytes: getAnnouncedBytes(this.#request),
      onEvict: () => this.#refuseMemory(),
    });
    const { heldBytes } = this.#collector;
    if (heldBytes !== this.#holding?.bytes) this.#holding?.resize(heldBytes);
  }

  readonly #complete = (): void => {
    const holding = this.#holding;
    // Before the parts are copied, so that the body can't be given up now.
    holding?.complete();
    this.#holding = undefined;
    const bytes = this.#collector.take();
    holding?.resize(bytes.buffer.byteLength);
    this.#end(Ok({ bytes, release: () => holding?.close() }));
  };

  readonly #fail = (): void =>
    this.#refuse("bad-request", "The body ended early.");

  #refuseSize(): void {
    const { maxBodyBytes } = this.#options;
    this.#refuse("body-too-large", `The limit is ${maxBodyBytes} bytes.`);
  }

  #refuseMemory(): void {
    const detail = "The memory for requests and answers is in use.";
    this.#refuse("memory-full", detail);
  }

  #refuse(code: DiagnosticCode, detail: string): void {
    this.#end(Err(createRefusal(code, detail)));
  }

  #end(result: Result<RequestBody, Refusal>): void {
    const request = this.#request;
    clearTimeout(this.#deadlineTimer);
    request.off("data", this.#receive);
    request.off("end", this.#complete);
    request.off("close", this.#fail);
    // The listener of errors stays: a refused request may still fail.
    this.#collector.clear();
    this.#holding?.close();
    this.#resolve(result);
  }
}

/**
 * Reads the whole request body. Returns a refusal if it exceeds `maxBodyBytes`,
 * comes in too many parts, is not whole at the deadline, does not fit into the
 * memory, or the connection closes early. The rest of a refused body is still to
 * come: see `discardBody`.
 */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Result<RequestBody, Refusal>> {
  return new BodyReader(request, options).read();
}

/**
 * Reads nothing more of `request` and closes its connection once the caller has
 * had the time to read the response.
 */
function closeUnread(request: IncomingMessage): void {
  const { socket } = request;
  // The stream would resume the socket, and buffer what the parser has left.
  request._read = () => {};
  request.push = () => true;
  socket.pause();
  setTimeout(() => socket.destroy(), LINGER_MS);
}

/**
 * Reads and drops the rest of a refused body, since closing a connection with
 * unread bytes would reset it before the caller has read the response. Closes
 * the connection if the rest is too long, too slow, or comes in too many parts.
 */
export function discardBody(request: IncomingMessage): void {
  if (request.complete || request.destroyed) return;
  const allowance = new InputAllowance(readSteadyClock());
  let bytes = 0;
  function stop(): void {
    clearTimeout(timer);
    request.off("data", receive);
  }
  function close(): void {
    stop();
    closeUnread(request);
  }
  function receive(chunk: Buffer): void {
    bytes += chunk.length;
    const isAllowed = allowance.recordPart(chunk.length, readSteadyClock());
    if (!isAllowed || bytes > MAX_DISCARD_BYTES) close();
  }
  const timer = setTimeout(close, MAX_DISCARD_MS);
  request.on("data", receive);
  request.once("end", stop);
  request.once("close", stop);
  request.on("error", stop);
}
