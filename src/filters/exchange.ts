/**
 * Types of the filter chain: the request that passes through it and the outcome
 * that it returns.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "ts-results";
import type { Service, Workspace } from "../config/manifest.ts";
import type { Refusal } from "../diagnostics.ts";

/** Headers of a response; the names are in lower case. */
export type ResponseHeaders = Record<string, string | string[]>;

/** Result of a request: a refusal, a buffered response or a streamed one. */
export type Outcome =
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: ResponseHeaders;
    readonly body: Buffer;
  }
  | {
    readonly kind: "stream";
    readonly status: number;
    readonly headers: ResponseHeaders;
    readonly body: AsyncIterable<Uint8Array>;
  };

/** Result of one try at a request; a failed try may be followed by another. */
export type TryResult =
  | { readonly kind: "outcome"; readonly outcome: Outcome }
  | {
    readonly kind: "failed";
    readonly refusal: Refusal;
    /** Whether it is certain that the request did not run in this try. */
    readonly isNotRun: boolean;
  };

/** Largest response that is buffered in full before it is sent, in bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;

/** State of one request. Filters fill in the fields that they determine. */
export interface Exchange {
  readonly requestId: string;
  readonly method: string;
  /** Path with the query string. */
  readonly target: string;
  /** Path without the query string. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** Aborted when the caller disconnects or the deadline is long past. */
  signal: AbortSignal;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /**
   * Reads the body. Refuses one that exceeds the server's size limit or ends
   * early. Must be called at most once.
   */
  readBody(): Promise<Result<Buffer, Refusal>>;
  body: Buffer;
  service?: Service;
  workspace?: Workspace;
  isIdempotent: boolean;
  isStreaming: boolean;
  chat?: string;
  idempotencyKey?: string;
  /** Whether the record of a non-idempotent call was checked. */
  isCallChecked: boolean;
  /** Monotonic time of the deadline, in milliseconds. */
  deadlineAt: number;
  /** Prompt length in tokens, estimated from the size of the body. */
  promptTokens: number;
  /** Number of routers that have forwarded the request so far. */
  hops: number;
  /**
   * Whether the request has used its only retry after a try that may have run.
   */
  hasRetried: boolean;
}

/** Runs the remaining filters of the chain. */
export type Next = () => Promise<Outcome>;

/** One step of a filter chain. */
export interface Filter<Request = Exchange, Answer = Outcome> {
  readonly name: string;
  handle(exchange: Request, next: () => Promise<Answer>): Promise<Answer>;
}

/** A chain of filters that run in order. */
export interface FilterChain<Request = Exchange, Answer = Outcome> {
  handle(exchange: Request): Promise<Answer>;
}

/** Creates a chain of `filters`. The last filter must not call `next`. */
export function createFilterChain<Request = Exchange, Answer = Outcome>(
  filters: readonly Filter<Request, Answer>[],
): FilterChain<Request, Answer> {
  function run(exchange: Request, index: number): Promise<Answer> {
    const filter = filters[index]!;
    return filter.handle(exchange, () => run(exchange, index + 1));
  }
  return { handle: (exchange) => run(exchange, 0) };
}

/** Creates the outcome of a refused request. */
export function createRefusedOutcome(refusal: Refusal): Outcome {
  return { kind: "refused", refusal };
}
