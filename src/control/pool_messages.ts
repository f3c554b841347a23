/**
 * Messages of a pool's task.
 */
import type { Result } from "ts-results";
import type { Service, Upstream } from "../config/manifest.ts";
import type { Refusal } from "../diagnostics.ts";
import type { ChatHash } from "../policy/chat_directory.ts";
import type { ChatChange } from "../policy/directory_changes.ts";
import type { Heartbeat, Offer, Stamp } from "../policy/loans.ts";
import type { LoadReport } from "../types.ts";
import type { AcquireRequest, AttemptEnd, Grant } from "./pool.ts";

/** Chats that an upstream has evicted from its cache. */
export interface Evictions {
  readonly chats: readonly ChatHash[];
  /** Monotonic time; a chat that was used since may be cached again. */
  readonly usedBefore: number;
}

/** What the configuration says of a pool beside its service. */
export interface PoolConfiguration {
  readonly upstreams: readonly Upstream[];
  readonly replicas: readonly string[];
  /** Whether sets of routers before this one were not seen. */
  readonly hasGap: boolean;
}

/** Answers a request for an upstream. */
export type Reply = (result: Result<Grant, Refusal>) => void;

/** What a pool's task is told or asked. */
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
    readonly end: AttemptEnd;
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
  | { readonly kind: "return"; reply(stamp: Stamp): void }
  | { readonly kind: "returned"; readonly peer: string; readonly stamp: Stamp }
  | {
    readonly kind: "take-changes";
    reply(changes: readonly ChatChange[]): void;
  }
  | { readonly kind: "changes"; readonly changes: readonly ChatChange[] }
  | { readonly kind: "tick" };
