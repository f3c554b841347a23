/**
 * A caller's request at the router that the balancer picked, on its way through
 * the ingress filters.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "../diagnostics.ts";
import type { Filter } from "../filters/exchange.ts";
import type { RouteTable } from "../policy/route_table.ts";
import type {
  KeyedWorkspace,
  RequestTraits,
  ServiceRoute,
} from "../routing/types.ts";

/** A request; the filters fill in what they find out. */
export interface IngressExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly traits: RequestTraits;
  /** Path without its query. */
  readonly path: string;
  /** Monotonic time of arrival, milliseconds. */
  readonly arrivedAt: number;
  /** The configuration that all decisions on this request use. */
  readonly table: RouteTable;
  route?: ServiceRoute;
  workspace?: KeyedWorkspace;
  body?: Buffer;
  /** Monotonic time by which the caller has an answer, milliseconds. */
  answerBy: number;
  /** What happened at upstreams, for the log. */
  readonly trace: TryRecord[];
}

/** One try at an upstream, as it's logged. */
export interface TryRecord {
  readonly upstream: string;
  readonly reason: string;
  /** Estimated load that the choice was made by. */
  readonly load: number;
  /** Load up to which the upstream could be chosen. */
  readonly bound?: number;
  /** Where the upstream copies the prompt's cache from. */
  readonly copyFrom?: string;
  readonly isReused?: boolean;
  end?: string;
  detail?: string;
  ms?: number;
}

/** How the events of a stream came. */
export interface StreamTiming {
  readonly events: number;
  /** From the arrival of the request to the first event, milliseconds. */
  readonly firstMs: number | undefined;
  /** Longest time between two events, in milliseconds. */
  readonly longestPauseMs: number;
}

/** What came of a request. */
export type IngressOutcome =
  | {
    readonly kind: "refused";
    readonly refusal: Refusal;
    /** Whether the connection is to be closed, so that another router is met. */
    readonly closes?: boolean;
  }
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer;
    /** False where the answer ended with its connection. */
    readonly isFramed: boolean;
  }
  /** The answer has been written, or broken off, by the filter itself. */
  | {
    readonly kind: "streamed";
    readonly end: "complete" | "broken";
    readonly timing: StreamTiming;
  }
  | { readonly kind: "caller-left" };

/** A filter of the ingress. */
export type IngressFilter = Filter<IngressExchange, IngressOutcome>;
