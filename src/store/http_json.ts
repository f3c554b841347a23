/**
 * JSON over HTTP towards the platform, with failures sorted by whether the call
 * may have taken effect.
 */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok, type Result } from "ts-results/result";
import { Agent, type Dispatcher } from "undici";
import { PlatformFailure, type PlatformFailureKind } from "./key_value.ts";

/** Called with the estimated bytes of headers and body that went by. */
export type ByteCounter = (direction: "in" | "out", count: number) => void;

/** Options of a client. */
export interface HttpJsonOptions {
  /** `ip:port` of the service. */
  address: string;
  /** Time that a whole call may take, in milliseconds. */
  timeoutMs?: number;
  onBytes?: ByteCounter;
}

/** Options of a call. */
export interface CallOptions {
  method?: "GET" | "POST" | "DELETE";
  /** Whether the call can change what the service holds. */
  isWrite?: boolean;
  body?: unknown;
}

/** A connection pool to one service of the platform. */
export interface HttpJson {
  /** Sends a call and reads its whole answer. */
  call(
    path: string,
    options?: CallOptions,
  ): Promise<Result<unknown, PlatformFailure>>;
  /** Sends a call whose answer is a stream without an end. */
  stream(
    path: string,
    options: { body: unknown; signal: AbortSignal },
  ): Promise<Result<AsyncIterable<Buffer>, PlatformFailure>>;
  close(): Promise<void>;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const MAX_ANSWER_BYTES = 67_108_864;
/** Request line, host, connection, content type and content length. */
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

function describe(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.message || getErrorCode(error) || error.name;
}

/** Status codes that leave open whether a write took effect. */
function isAmbiguous(status: number): boolean {
  return status >= 500 || status === 408 || status === 499;
}

function getLostKind(isWrite: boolean): PlatformFailureKind {
  return isWrite ? "unknown" : "unavailable";
}

/** Sorts an error that was thrown before the answer was whole. */
function toFailure(error: unknown, isWrite: boolean): PlatformFailure {
  const kind = isConnectError(error) ? "unavailable" : getLostKind(isWrite);
  return new PlatformFailure(kind, describe(error));
}

function toStatusFailure(
  status: number,
  isWrite: boolean,
  { text }: { text: string },
): PlatformFailure {
  const kind = isAmbiguous(status) ? getLostKind(isWrite) : "refused";
  const detail = `status ${status}: ${text.slice(0, 200)}`;
  return new PlatformFailure(kind, detail, { status });
}

function getHeaderBytes(headers: IncomingHttpHeaders): number {
  let size = STATUS_LINE_BYTES;
  for (const [name, value] of Object.entries(headers)) {
    size += name.length + String(value).length + HEADER_SEPARATOR_BYTES;
  }
  return size;
}

class UndiciHttpJson implements HttpJson {
  readonly #origin: string;
  readonly #timeoutMs: number;
  readonly #onBytes: ByteCounter;
  readonly #agent: Agent;

  constructor(
    { address, timeoutMs = DEFAULT_TIMEOUT_MS, onBytes = () => {} }:
      HttpJsonOptions,
  ) {
    this.#origin = `http://${address}`;
    this.#timeoutMs = timeoutMs;
    this.#onBytes = onBytes;
    // The deadline of a call is its signal; a stream has none.
    this.#agent = new Agent({
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: timeoutMs },
    });
  }

  async call(
    path: string,
    { method = "POST", isWrite = false, body }: CallOptions = {},
  ): Promise<Result<unknown, PlatformFailure>> {
    try {
      const signal = AbortSignal.timeout(this.#timeoutMs);
      const answer = await this.#send(path, { method, body, signal });
      const text = await this.#readText(answer.body);
      if (answer.statusCode !== 200) {
        return Err(toStatusFailure(answer.statusCode, isWrite, { text }));
      }
      return Ok(JSON.parse(text));
    } catch (error) {
      return Err(toFailure(error, isWrite));
    }
  }

  async stream(
    path: string,
    { body, signal }: { body: unknown; signal: AbortSignal },
  ): Promise<Result<AsyncIterable<Buffer>, PlatformFailure>> {
    try {
      const answer = await this.#send(path, { method: "POST", body, signal });
      if (answer.statusCode !== 200) {
        const text = await this.#readText(answer.body);
        return Err(toStatusFailure(answer.statusCode, false, { text }));
      }
      return Ok(this.#counted(answer.body));
    } catch (error) {
      return Err(toFailure(error, false));
    }
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async #send(
    path: string,
    { method, body, signal }: {
      method: "GET" | "POST" | "DELETE";
      body: unknown;
      signal: AbortSignal;
    },
  ): Promise<Dispatcher.ResponseData> {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const size = REQUEST_OVERHEAD_BYTES + path.length;
    this.#onBytes("out", size + Buffer.byteLength(text ?? ""));
    const answer = await this.#agent.request({
      origin: this.#origin,
      path,
      method,
      signal,
      ...(text !== undefined && {
        body: text,
        headers: { "content-type": "application/json" },
      }),
    });
    this.#onBytes("in", getHeaderBytes(answer.headers));
    return answer;
  }

  async *#counted(body: AsyncIterable<Buffer>): AsyncIterable<Buffer> {
    for await (const chunk of body) {
      this.#onBytes("in", chunk.length);
      yield chunk;
    }
  }

  async #readText(body: AsyncIterable<Buffer>): Promise<string> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of this.#counted(body)) {
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) throw new RangeError("answer is too large");
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
  }
}

/** Creates a client of one service of the platform. */
export function createHttpJson(options: HttpJsonOptions): HttpJson {
  return new UndiciHttpJson(options);
}
