/**
 * HTTP client for the platform's JSON services. It classifies each failure by
 * whether the call may have taken effect.
 */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok, type Result } from "ts-results/result";
import { type Dispatcher, Pool } from "undici";
import { ByteCollector } from "../transport/byte_collector.ts";
import {
  CountedClient,
  type CountedClientOptions,
} from "../transport/counted_client.ts";
import type { FieldMemory } from "../transport/response_input.ts";
import {
  type JsonListOptions,
  JsonListReader,
  OversizeError,
} from "./json_list_reader.ts";
import { PlatformFailure, type PlatformFailureKind } from "./key_value.ts";

/**
 * Receives the number of bytes sent (`out`) or received (`in`). The sizes of
 * headers are estimates.
 */
export type ByteCounter = (direction: "in" | "out", count: number) => void;

/** Options of {@link createHttpJsonClient}. */
export interface HttpJsonClientOptions {
  /** `ip:port` of the service. */
  address: string;
  /** Timeout of a whole call, in milliseconds; 2000 by default. */
  timeoutMs?: number;
  /** Longest answer that is read, in bytes; 8 MiB by default. */
  maxResponseBytes?: number;
  /** Most JSON values of an answer; 131,072 by default. */
  maxResponseValues?: number;
  onBytes?: ByteCounter;
  /** Memory in which the fields of responses are counted, if it has a limit. */
  memory?: FieldMemory | undefined;
}

/** Options of a call. */
export interface CallOptions {
  method?: "GET" | "POST" | "DELETE";
  /** Whether the call can change the state of the service. */
  isWrite?: boolean;
  body?: unknown;
  headers?: Record<string, string>;
  /** Called with the headers of the response, whatever its status. */
  onHeaders?: (headers: IncomingHttpHeaders) => void;
}

/** Options of a call whose response is an object with one long list. */
export interface ListCallOptions
  extends JsonListOptions, Pick<CallOptions, "onHeaders"> {
  /**
   * Whether enough elements were received; the rest of the response is not read
   * then.
   */
  readonly isFull?: () => boolean;
}

/** A response whose list was read element by element. */
export type ListResponse =
  /** `rest` is the object with an empty list. */
  | { readonly kind: "complete"; readonly rest: unknown }
  /** The list was full, or the time was over, after the elements received. */
  | { readonly kind: "partial" };

/** A connection pool to one service of the platform. */
export interface HttpJsonClient {
  /**
   * Sends a request and reads the whole response. An error or timeout before
   * the response is complete fails with `unknown` if `isWrite`, and otherwise
   * with `unavailable`; so does a status of 5xx, 408 or 499. A failure to
   * connect is always `unavailable`. Any other status than 200 is `refused`.
   */
  call(
    path: string,
    options?: CallOptions,
  ): Promise<Result<unknown, PlatformFailure>>;
  /**
   * Sends a GET request and reads the list of its response while it arrives. The
   * limits on the bytes and values of a response do not apply. Fails like `call`;
   * a timeout after some elements is a partial response.
   */
  readList(
    path: string,
    options: ListCallOptions,
  ): Promise<Result<ListResponse, PlatformFailure>>;
  /** Sends a request whose response is an endless stream without a timeout. */
  stream(
    path: string,
    options: { body: unknown; signal: AbortSignal },
  ): Promise<Result<AsyncIterable<Buffer>, PlatformFailure>>;
  close(): Promise<void>;
}

const DEFAULT_TIMEOUT_MS = 2_000;
/**
 * The platform's page allows about 1 MB or 500 items in a range and 1 MiB in a
 * value, which base64 lengthens by a third. The changes of a watch have no bound
 * there: this one holds five such values, or an entry of each upstream of the
 * largest fleets.
 */
const MAX_RESPONSE_BYTES = 8_388_608;
/** Changes of an answer; the largest fleets have 12,000 upstreams. */
const MAX_RESPONSE_ITEMS = 16_384;
/** An item has five fields. */
const MAX_ITEM_VALUES = 8;
/**
 * Objects take many times the bytes of their text: 4 MB of empty ones exceed the
 * heap of a router.
 */
const MAX_RESPONSE_VALUES = MAX_RESPONSE_ITEMS * MAX_ITEM_VALUES;
/** Length of the text of a failed call that its failure quotes. */
const MAX_QUOTED_LENGTH = 200;
const MAX_UTF8_BYTES = 4;
const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const OPENING_BRACE = 0x7b;
/**
 * Request line without its path, and the host, connection, content-type and
 * content-length headers.
 */
const REQUEST_OVERHEAD_BYTES = 118;
const STATUS_LINE_BYTES = 17;
const HEADER_SEPARATOR_BYTES = 4;

function getErrorCode(error: unknown): string {
  return String((error as { code?: unknown }).code ?? "");
}

function isConnectError(error: unknown): boolean {
  return (error as { syscall?: unknown }).syscall === "connect" ||
    getErrorCode(error) === "UND_ERR_CONNECT_TIMEOUT";
}

function getErrorMessage(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.message || getErrorCode(error) || error.name;
}

/** Whether a write that got this status may have taken effect. */
function isOutcomeUnknown(status: number): boolean {
  return status >= 500 || status === 408 || status === 499;
}

function getLostResponseKind(isWrite: boolean): PlatformFailureKind {
  return isWrite ? "unknown" : "unavailable";
}

/** Classifies an error thrown before the response was complete. */
function toFailure(error: unknown, isWrite: boolean): PlatformFailure {
  const kind = isConnectError(error)
    ? "unavailable"
    : getLostResponseKind(isWrite);
  const isTooLarge = error instanceof OversizeError;
  return new PlatformFailure(kind, getErrorMessage(error), { isTooLarge });
}

function toStatusFailure(
  status: number,
  isWrite: boolean,
  { bytes }: { bytes: Buffer },
): PlatformFailure {
  const kind = isOutcomeUnknown(status)
    ? getLostResponseKind(isWrite)
    : "refused";
  const end = MAX_QUOTED_LENGTH * MAX_UTF8_BYTES;
  const text = bytes.toString("utf8", 0, end).slice(0, MAX_QUOTED_LENGTH);
  const detail = `HTTP status ${status}: ${text}`;
  return new PlatformFailure(kind, detail, { status });
}

/**
 * Throws `OversizeError` if a JSON text may have more than `max` values. Each
 * value but the first of a list or an object follows a comma. Those marks count
 * within strings too, of which base64 has none.
 */
function checkValueCount(bytes: Buffer, max: number): void {
  // Most answers are too short for that many.
  if (bytes.length <= max) return;
  let count = 0;
  for (const byte of bytes) {
    if (
      byte === COMMA || byte === OPENING_BRACE || byte === OPENING_BRACKET
    ) count++;
  }
  if (count > max) {
    throw new OversizeError(`response has ${count} values, more than ${max}`);
  }
}

function getHeaderBytes(headers: IncomingHttpHeaders): number {
  let size = STATUS_LINE_BYTES;
  for (const [name, value] of Object.entries(headers)) {
    size += name.length + String(value).length + HEADER_SEPARATOR_BYTES;
  }
  return size;
}

class UndiciHttpJsonClient implements HttpJsonClient {
  readonly #origin: string;
  readonly #timeoutMs: number;
  readonly #maxBytes: number;
  readonly #maxValues: number;
  readonly #onBytes: ByteCounter;
  readonly #pool: Pool;

  constructor(
    {
      address,
      timeoutMs = DEFAULT_TIMEOUT_MS,
      maxResponseBytes = MAX_RESPONSE_BYTES,
      maxResponseValues = MAX_RESPONSE_VALUES,
      onBytes = () => {},
      memory,
    }: HttpJsonClientOptions,
  ) {
    this.#maxBytes = maxResponseBytes;
    this.#maxValues = maxResponseValues;
    this.#origin = `http://${address}`;
    this.#timeoutMs = timeoutMs;
    this.#onBytes = onBytes;
    // A call is timed out by its abort signal, and a stream has no timeout.
    this.#pool = new Pool(this.#origin, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: timeoutMs },
      // The pool has made a function of `connect`.
      factory: (origin, options) =>
        new CountedClient(origin, {
          ...options as CountedClientOptions,
          memory,
        }),
    });
  }

  async call(
    path: string,
    {
      method = "POST",
      isWrite = false,
      body,
      headers = {},
      onHeaders,
    }: CallOptions = {},
  ): Promise<Result<unknown, PlatformFailure>> {
    try {
      const signal = AbortSignal.timeout(this.#timeoutMs);
      const response = await this.#send(path, {
        method,
        body,
        headers,
        signal,
      });
      onHeaders?.(response.headers);
      const bytes = await this.#readBytes(response.body);
      if (response.statusCode !== 200) {
        return Err(toStatusFailure(response.statusCode, isWrite, { bytes }));
      }
      checkValueCount(bytes, this.#maxValues);
      return Ok(JSON.parse(bytes.toString("utf8")));
    } catch (error) {
      return Err(toFailure(error, isWrite));
    }
  }

  async readList(
    path: string,
    { onHeaders, isFull = () => false, ...options }: ListCallOptions,
  ): Promise<Result<ListResponse, PlatformFailure>> {
    const reader = new JsonListReader(options);
    const signal = AbortSignal.timeout(this.#timeoutMs);
    try {
      const { headers, statusCode, body } = await this.#send(path, {
        method: "GET",
        body: undefined,
        headers: {},
        signal,
      });
      onHeaders?.(headers);
      if (statusCode !== 200) {
        const bytes = await this.#readBytes(body);
        return Err(toStatusFailure(statusCode, false, { bytes }));
      }
      for await (const chunk of this.#countBytes(body)) {
        reader.push(chunk);
        // Leaving the loop closes the connection.
        if (isFull()) return Ok({ kind: "partial" });
      }
      return Ok({ kind: "complete", rest: reader.finish() });
    } catch (error) {
      if (signal.aborted && reader.count > 0) return Ok({ kind: "partial" });
      return Err(toFailure(error, false));
    }
  }

  async stream(
    path: string,
    { body, signal }: { body: unknown; signal: AbortSignal },
  ): Promise<Result<AsyncIterable<Buffer>, PlatformFailure>> {
    try {
      const response = await this.#send(path, {
        method: "POST",
        body,
        headers: {},
        signal,
      });
      if (response.statusCode !== 200) {
        const bytes = await this.#readBytes(response.body);
        return Err(toStatusFailure(response.statusCode, false, { bytes }));
      }
      return Ok(this.#countBytes(response.body));
    } catch (error) {
      return Err(toFailure(error, false));
    }
  }

  close(): Promise<void> {
    return this.#pool.destroy();
  }

  async #send(
    path: string,
    { method, body, headers, signal }: {
      method: "GET" | "POST" | "DELETE";
      body: unknown;
      headers: Record<string, string>;
      signal: AbortSignal;
    },
  ): Promise<Dispatcher.ResponseData> {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const size = REQUEST_OVERHEAD_BYTES + path.length;
    this.#onBytes("out", size + Buffer.byteLength(text ?? ""));
    const response = await this.#pool.request({
      path,
      method,
      signal,
      headers: {
        ...headers,
        ...(text !== undefined && { "content-type": "application/json" }),
      },
      ...(text !== undefined && { body: text }),
    });
    this.#onBytes("in", getHeaderBytes(response.headers));
    return response;
  }

  async *#countBytes(body: AsyncIterable<Buffer>): AsyncIterable<Buffer> {
    for await (const chunk of body) {
      this.#onBytes("in", chunk.length);
      yield chunk;
    }
  }

  async #readBytes(body: AsyncIterable<Buffer>): Promise<Buffer> {
    const collector = new ByteCollector();
    for await (const chunk of this.#countBytes(body)) {
      if (collector.length + chunk.length > this.#maxBytes) {
        throw new OversizeError("response is too large");
      }
      collector.push(chunk);
    }
    return collector.take();
  }
}

/** Creates a client of the platform service at `options.address`. */
export function createHttpJsonClient(
  options: HttpJsonClientOptions,
): HttpJsonClient {
  return new UndiciHttpJsonClient(options);
}
