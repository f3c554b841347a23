/**
 * Types of the routing state: the configuration in force, the upstreams that
 * registered themselves, and the requests that are matched against both.
 */

/** What may be repeated of a route's requests. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests relative to the other targets. */
  readonly weight: number;
}

/** A route: where the requests of a host and a path prefix go. */
export interface ServiceRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective of the first byte, in milliseconds. */
  readonly objectiveMs: number;
  /** Upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Rank of the requests; 0 goes first. */
  readonly priority: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether requests name the parts of their prompt. */
  readonly isSticky: boolean;
  /** Whether a stream may go on at another upstream. */
  readonly isResumable: boolean;
}

/** A service that requests are routed to. */
export interface RoutedService {
  readonly name: string;
  /** How long an upstream is cold after its start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests a second that a cold upstream bears; 0 where there is no bound. */
  readonly coldRequestsPerSecond: number;
  /** Whether the upstreams are model engines. */
  readonly isEngine: boolean;
}

/** Bounds on what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace and the API keys that identify it. */
export interface KeyedWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the priority of routes. */
  readonly priority: number | undefined;
}

/** One version of the operators' configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly ServiceRoute[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Undefined where requests carry no keys at all. */
  readonly workspaces: readonly KeyedWorkspace[] | undefined;
}

/** What an upstream says of itself in the metadata store. */
export interface UpstreamEntry {
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: "ready" | "leaving";
  /** How much longer the upstream is cold, in milliseconds. */
  readonly coldLeftMs: number;
  /** Start of the process, where the entry says it; tells incarnations apart. */
  readonly bornAt: number | undefined;
}

/** A change of the metadata store, in the project's types. */
export type StoreChange =
  | {
    readonly kind: "configuration";
    readonly configuration: RoutingConfiguration;
  }
  | { readonly kind: "upstream"; readonly entry: UpstreamEntry }
  | { readonly kind: "upstream-gone"; readonly id: string }
  | { readonly kind: "domain-out"; readonly failureDomain: string }
  | { readonly kind: "domain-back"; readonly failureDomain: string }
  | {
    readonly kind: "router";
    readonly name: string;
    /** Where it hears other routers, `ip:port`. */
    readonly address: string;
    /** Bandwidth of its host's link, in Mbit/s; 0 where it is not known. */
    readonly linkMbps: number;
  }
  | { readonly kind: "router-gone"; readonly name: string }
  | {
    readonly kind: "unreadable";
    readonly key: string;
    readonly reason: string;
  };

/** What a router tells another of the metadata store. */
export interface StoreWord {
  /** Revision that the changes lead to. */
  readonly revision: number;
  /** All changes after the revision that was asked for, but configurations. */
  readonly changes: readonly StoreChange[];
  /** Version of the configuration at that revision. */
  readonly version: number;
  /** Time since this was the store's state for certain, in milliseconds. */
  readonly ageMs: number;
  /** Whether the store does not answer the teller at present. */
  readonly isStoreLost: boolean;
  /** Time since the store answered again after an outage, in milliseconds. */
  readonly storeBackMs: number | undefined;
}

/** One part of a prompt, shared between requests or the request's own. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of itself, decoded from its headers. */
export interface RequestTraits {
  readonly requestId: string;
  /** Time that the caller waits, in milliseconds from arrival. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Parts of the prompt in order; the last belongs to the request. */
  readonly promptParts: readonly PromptPart[];
  /** Last event that the caller has, where it resumes a stream. */
  readonly lastEventId: number | undefined;
}

/** What an upstream says on an answer beside the answer itself. */
export interface AnswerTraits {
  readonly requestId: string | undefined;
  readonly isSigned: boolean;
  /** True where the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  readonly load: UpstreamLoad | undefined;
}

/** Requests at an upstream, as it counted them when it answered. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Reading of both clocks at one moment, in milliseconds. */
export interface Instant {
  /** Monotonic; stands still while the host is suspended. */
  readonly steady: number;
  /** Time of day; may jump either way. */
  readonly wall: number;
}
