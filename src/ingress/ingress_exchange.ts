/**
 * State of a caller's request while it passes through the ingress filters of
 * the router that the load balancer chose.
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
import type { ForwardedTraits } from "../transport/router_hop.ts";

/** A request with the data that the filters add to it. */
export interface IngressExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly traits: RequestTraits;
  /** Path without query and fragment. */
  readonly path: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Set if another router has forwarded the request to this one. */
  readonly forwarded?: ForwardedTraits;
  /** Routes of the configuration version that serves this whole request. */
  readonly table: RouteTable;
  /** Set by the route filter. */
  route?: ServiceRoute;
  /** Set by the key filter; absent on routes without keys. */
  workspace?: KeyedWorkspace;
  /** Set by the body filter. */
  body?: Buffer;
  /** Monotonic time of the caller's deadline, in milliseconds. */
  deadlineAt: number;
  /** Set by the admission filter if the service had no room, for the log. */
  admission?: AdmissionRecord;
  /** Tries at upstreams in order, for the log. */
  readonly trace: TryRecord[];
}

/** What the admission filter did; its fields are written to the log. */
export interface AdmissionRecord {
  /** Estimated load of the service divided by its slots. */
  readonly fill?: number;
  /** Time for which the request was held, in milliseconds. */
  readonly heldMs?: number;
}

/** One try at an upstream or a router; its fields are written to the log. */
export interface TryRecord {
  readonly upstream?: string;
  /** Router to which the request was forwarded. */
  readonly router?: string;
  /** Version of the upstream's software. */
  readonly softwareVersion?: string;
  /** Why the upstream or the router was chosen. */
  readonly reason: string;
  /** Estimated requests at the upstream when it was chosen. */
  readonly load?: number;
  /** Estimated work of the request, in milliseconds at usual pace. */
  readonly workMs?: number | undefined;
  /** Load limit that applied to the choice, in requests. */
  readonly bound?: number;
  /** `ip:port` of the upstream to copy the prompt's cache from. */
  readonly copyFrom?: string;
  /** Whether the connection had served another request before. */
  readonly isReused?: boolean;
  /** How the try ended. */
  end?: string;
  detail?: string;
  /** Set if the process of the upstream ended during the try. */
  hasUpstreamEnded?: boolean;
  /** Duration of the try, in milliseconds. */
  ms?: number;
}

/** Number and timing of the events of a stream. */
export interface StreamTiming {
  readonly events: number;
  /**
   * Time from the arrival of the request to the first event, in milliseconds;
   * undefined without an event.
   */
  readonly firstMs: number | undefined;
  /** Longest time between two writes of events, in milliseconds. */
  readonly longestPauseMs: number;
}

/** Result of a request. */
export type IngressOutcome =
  | {
    readonly kind: "refused";
    readonly refusal: Refusal;
    /**
     * Whether to close the connection, so that the caller's retry can reach
     * another router.
     */
    readonly closes?: boolean;
  }
  | {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer;
  }
  /** The filter has written the response itself, or has aborted it. */
  | {
    readonly kind: "streamed";
    readonly end: "complete" | "broken";
    readonly timing: StreamTiming;
  }
  | { readonly kind: "caller-left" };

/** A filter of the ingress chain. */
export type IngressFilter = Filter<IngressExchange, IngressOutcome>;
