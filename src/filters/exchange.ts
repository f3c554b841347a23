/**
 * One request on its way through the filter chain, and what came of it.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "ts-results";
import type { Service, Workspace } from "../config/manifest.ts";
import type { Refusal } from "../diagnostics.ts";

/** Headers of an answer, in lower case. */
export type AnswerHeaders = Record<string, string | string[]>;

/** What a filter returns. */
export type Outcome =
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: Buffer;
  }
  | {
    readonly kind: "stream";
    readonly status: number;
    readonly headers: AnswerHeaders;
    readonly body: AsyncIterable<Uint8Array>;
  };

/** What one try at a request led to, where another may follow. */
export type TryResult =
  | { readonly kind: "outcome"; readonly outcome: Outcome }
  | {
    readonly kind: "failed";
    readonly refusal: Refusal;
    /** Whether the request can't have run in this try. */
    readonly isNotRun: boolean;
  };

/** Largest answer that is held back until it is whole, in bytes. */
export const MAX_WHOLE_ANSWER_BYTES = 1_048_576;

/** A request; the filters fill in what they find out. */
export interface Exchange {
  readonly requestId: string;
  readonly method: string;
  /** Path with its query. */
  readonly target: string;
  /** Path without its query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** Aborted once the caller has gone or the deadline is long past. */
  signal: AbortSignal;
  /** Monotonic time of arrival, milliseconds. */
  readonly arrivedAt: number;
  /** Reads the body within the server's bounds; called once. */
  readBody(): Promise<Result<Buffer, Refusal>>;
  body: Buffer;
  service?: Service;
  workspace?: Workspace;
  isIdempotent: boolean;
  isStreaming: boolean;
  chat?: string;
  idempotencyKey?: string;
  /** Whether the record of a non-idempotent call was looked at. */
  isCallChecked: boolean;
  /** Monotonic time of the deadline, milliseconds. */
  deadlineAt: number;
  /** Prompt length estimated from the body, in tokens. */
  promptTokens: number;
  /** Routers that have passed the request on so far. */
  hops: number;
  /** Whether this is the one repeat after a try that may have run. */
  hasRetried: boolean;
}

/** Runs the rest of the chain. */
export type Next = () => Promise<Outcome>;

/** One step of the chain. */
export interface Filter<Request = Exchange, Answer = Outcome> {
  readonly name: string;
  handle(exchange: Request, next: () => Promise<Answer>): Promise<Answer>;
}

/** A chain of filters, run in order. */
export interface FilterChain<Request = Exchange, Answer = Outcome> {
  handle(exchange: Request): Promise<Answer>;
}

/** Creates the chain of `filters`; the last one must not call `next`. */
export function createFilterChain<Request = Exchange, Answer = Outcome>(
  filters: readonly Filter<Request, Answer>[],
): FilterChain<Request, Answer> {
  function run(exchange: Request, index: number): Promise<Answer> {
    const filter = filters[index]!;
    return filter.handle(exchange, () => run(exchange, index + 1));
  }
  return { handle: (exchange) => run(exchange, 0) };
}

/** Wraps a refusal. */
export function refused(refusal: Refusal): Outcome {
  return { kind: "refused", refusal };
}
