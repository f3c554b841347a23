/**
 * Interface between the request filters and a pool: a filter acquires an
 * upstream for one attempt and releases it with the outcome of the attempt.
 */
import type { Result } from "ts-results";
import type { Service, Upstream } from "../config/manifest.ts";
import type { ChatHash } from "../policy/chat_directory.ts";
import type { Refusal } from "../diagnostics.ts";
import type { LoadReport } from "../types.ts";

/** A request for one attempt at an upstream. */
export interface AcquireRequest {
  readonly requestId: string;
  readonly workspace: string;
  /** Weight of the workspace in the queue, relative to other workspaces. */
  readonly weight: number;
  readonly chat: ChatHash | undefined;
  readonly promptTokens: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
  /** Names of the upstreams at which this request has already failed. */
  readonly excluded: readonly string[];
  /** When aborted, removes the request from the queue. */
  readonly signal: AbortSignal;
}

/** Permission to send one attempt to one upstream. */
export interface Grant {
  readonly attemptId: string;
  readonly pool: string;
  readonly service: Service;
  readonly upstream: Upstream;
  /** Monotonic time of the admission, in milliseconds. */
  readonly beganAt: number;
  /** Monotonic time, in milliseconds, after which the grant is invalid. */
  readonly sendBy: number;
  readonly request: AcquireRequest;
  /**
   * Fraction of this router's capacity share of the upstream that is in use,
   * including this attempt.
   */
  readonly utilisation: number;
}

/** How an attempt ended. */
export interface AttemptOutcome {
  /**
   * `finished`: the upstream has completed the attempt. `not-sent`: the
   * attempt did not reach the upstream. `unclear`: the upstream may still be
   * processing it.
   */
  readonly fate: "finished" | "not-sent" | "unclear";
  /**
   * False for a failure that counts against the upstream, such as a refused
   * connection, a status of 500 or above or a broken stream. True for a status
   * below 500 and for an attempt that was cancelled before a response or never
   * sent because its grant had expired.
   */
  readonly isOk: boolean;
  readonly firstByteMs?: number;
  /** Prompt tokens of the request, which the upstream has now cached. */
  readonly promptTokens?: number;
  /** Prompt tokens that the upstream found in its cache. */
  readonly cachedTokens?: number;
}

/** Grants attempts on the upstreams of one pool. */
export interface Pool {
  readonly id: string;
  /** Resolves to a grant or a refusal; waits in the queue if necessary. */
  acquire(request: AcquireRequest): Promise<Result<Grant, Refusal>>;
  /** Whether an attempt may still be sent under the grant. */
  isUsable(grant: Grant): boolean;
  /** Returns the capacity of a grant and records the outcome. */
  release(grant: Grant, end: AttemptOutcome): void;
  /**
   * Records a load report. `askedAt` is the monotonic time, in milliseconds, at
   * which the request that it answers was sent.
   */
  recordReport(upstream: string, report: LoadReport, askedAt: number): void;
}

/** The pool that serves a request and the routers that may own it. */
export interface PoolLocation {
  readonly pool: string;
  /** Routers that may own the pool, in order of preference. */
  readonly replicas: readonly string[];
}

/** Maps services and chats to pools. */
export interface PoolDirectory {
  locate(service: Service, chat: string | undefined): PoolLocation;
  /** Returns a pool; undefined if this router is not one of its replicas. */
  get(pool: string): Pool | undefined;
}
