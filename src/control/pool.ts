/**
 * What the filters ask of a pool: an upstream for one attempt, and the way to
 * say how the attempt went.
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
  /** Share of the queue relative to the other workspaces. */
  readonly weight: number;
  readonly chat: ChatHash | undefined;
  readonly promptTokens: number;
  /** Monotonic time of the deadline, milliseconds. */
  readonly deadlineAt: number;
  /** Upstreams that this request has failed at. */
  readonly excluded: readonly string[];
  /** Takes the request out of the queue. */
  readonly signal: AbortSignal;
}

/** Leave to send one attempt to one upstream. */
export interface Grant {
  readonly attemptId: string;
  readonly pool: string;
  readonly service: Service;
  readonly upstream: Upstream;
  /** Monotonic time of the admission. */
  readonly beganAt: number;
  /** Monotonic time past which the grant must not be used. */
  readonly sendBy: number;
  readonly request: AcquireRequest;
  /** Part of this router's share of the upstream in use with the attempt. */
  readonly utilisation: number;
}

/** How an attempt ended. */
export interface AttemptEnd {
  /**
   * `finished`: the upstream is done with it. `not-sent`: it never got it.
   * `unclear`: the upstream may still be at work on it.
   */
  readonly fate: "finished" | "not-sent" | "unclear";
  /** False for a failure that is the upstream's. */
  readonly isOk: boolean;
  readonly firstByteMs?: number;
  /** Prompt tokens of the request; the upstream now has them cached. */
  readonly promptTokens?: number;
  /** Prompt tokens that were found in the cache. */
  readonly cachedTokens?: number;
}

/** The upstreams of one pool, as this router may use them. */
export interface Pool {
  readonly id: string;
  acquire(request: AcquireRequest): Promise<Result<Grant, Refusal>>;
  /** Whether the grant may be used at this very moment. */
  isUsable(grant: Grant): boolean;
  release(grant: Grant, end: AttemptEnd): void;
  /** Notes a report; `askedAt` is when the request it answers was sent. */
  report(upstream: string, report: LoadReport, askedAt: number): void;
}

/** Where the requests of a service go. */
export interface PoolLocation {
  readonly pool: string;
  /** Routers that may own the pool, in order of preference. */
  readonly replicas: readonly string[];
}

/** Finds pools. */
export interface PoolDirectory {
  locate(service: Service, chat: string | undefined): PoolLocation;
  /** The pool, where this router is one of its replicas. */
  get(pool: string): Pool | undefined;
}
