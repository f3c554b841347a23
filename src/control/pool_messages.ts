/**
 * Messages that the task of a pool handles.
 */
import type { Result } from "ts-results";
import type { Service, Upstream } from "../config/manifest.ts";
import type { Refusal } from "../diagnostics.ts";
import type { ChatHash } from "../policy/chat_directory.ts";
import type { ChatChange } from "../policy/directory_changes.ts";
import type { Heartbeat, Offer, ProcessTimestamp } from "../policy/loans.ts";
import type { LoadReport } from "../types.ts";
import type { AcquireRequest, AttemptOutcome, Grant } from "./pool.ts";

/** Chats that an upstream has evicted from its cache. */
export interface Evictions {
  readonly chats: readonly ChatHash[];
  /**
   * Monotonic time, in milliseconds. A chat that was used later may have been
   * cached again.
   */
  readonly usedBefore: number;
}

/** Configuration of a pool, apart from its service. */
export interface PoolConfiguration {
  readonly upstreams: readonly Upstream[];
  /** Names of the routers that may own the pool, in order of preference. */
  readonly replicas: readonly string[];
  /** Whether this router missed router sets between the last one and this. */
  readonly hasGap: boolean;
}

/** Callback with the result of an acquire request. */
export type Reply = (result: Result<Grant, Refusal>) => void;

/** A message to the task of a pool. */
export type PoolMessage =
  | {
    readonly kind: "acquire";
    readonly request: AcquireRequest;
    readonly reply: Reply;
  }
  | { readonly kind: "cancel"; readonly id: string }
  | {
    readonly kind: "release";
    readonly grant: Grant;
    readonly end: AttemptOutcome;
  }
  | {
    readonly kind: "report";
    readonly upstream: string;
    readonly report: LoadReport | undefined;
    readonly askedAt: number;
    readonly isPoll: boolean;
  }
  | {
    readonly kind: "offers";
    readonly peers: readonly string[];
    reply(offers: readonly Offer[]): void;
  }
  | {
    readonly kind: "heartbeat";
    readonly peer: string;
    readonly heartbeat: Heartbeat;
  }
  | {
    readonly kind: "evictions";
    readonly upstream: string;
    readonly evictions: Evictions;
  }
  | {
    readonly kind: "configure";
    readonly service: Service;
    readonly options: PoolConfiguration;
  }
  | { readonly kind: "return"; reply(stamp: ProcessTimestamp): void }
  | {
    readonly kind: "returned";
    readonly peer: string;
    readonly stamp: ProcessTimestamp;
  }
  | {
    readonly kind: "take-changes";
    reply(changes: readonly ChatChange[]): void;
  }
  | { readonly kind: "changes"; readonly changes: readonly ChatChange[] }
  | { readonly kind: "tick" };
