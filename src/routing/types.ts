/**
 * Types of the routing state: the configuration in force, the upstreams in the
 * metadata store, and the requests that are routed by both.
 */

/** Kind of a route's requests; decides whether they may be retried. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the weights of the other targets. */
  readonly weight: number;
}

/** A route: the services for requests to a host and a path prefix. */
export interface ServiceRoute {
  readonly name: string;
  /** Value of the `host` header, in lower case. */
  readonly host: string;
  /** Path prefix; starts and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time until the response is complete, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective for the first byte of the response, in milliseconds. */
  readonly objectiveMs: number;
  /** Most upstreams that one request may be sent to; at least 1. */
  readonly maxAttempts: number;
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether requests state the parts of their prompt in a header. */
  readonly isSticky: boolean;
  /** Whether a stream may be resumed at another upstream. */
  readonly isResumable: boolean;
}

/** A service that requests are routed to, as configured. */
export interface RoutedService {
  readonly name: string;
  /** Duration of the cold start of an upstream, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests per second that a cold upstream can take; 0 for no limit. */
  readonly coldRequestsPerSecond: number;
  /** Whether the upstreams are model engines. */
  readonly isEngine: boolean;
}

/** Limits on callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time to receive all headers, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Idle time after which a connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A workspace and the API keys that identify it. */
export interface KeyedWorkspace {
  /** Name in the form that routers use. */
  readonly name: string;
  /**
   * Name as upstreams are told it, in Latin-1 characters that stand for the bytes
   * of a header field; absent if it is `name`.
   */
  readonly headerName?: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route, if it is defined. */
  readonly priority: number | undefined;
}

/** One version of the operators' configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly ServiceRoute[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Undefined if no route requires API keys. */
  readonly workspaces: readonly KeyedWorkspace[] | undefined;
  /** Absent if all parts are used as they were written. */
  readonly faults?: ConfigurationFaults;
}

/** Parts of a configuration that are not used as they were written. */
export interface ConfigurationFaults {
  readonly count: number;
  /** Place, value and effect of the first ones. */
  readonly described: readonly string[];
}

/** An upstream's entry in the metadata store. */
export interface UpstreamEntry {
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that the upstream can run at the same time; at least 1. */
  readonly slots: number;
  /** An upstream that is `leaving` receives no new requests. */
  readonly state: "ready" | "leaving";
  /** Remaining time of the cold start, in milliseconds. */
  readonly coldLeftMs: number;
  /**
   * Version of its software; not that of a model's weights. Undefined only in
   * an update of a router that does not know the field.
   */
  readonly softwareVersion?: string;
  /**
   * Wall-clock start time of the process, in milliseconds; undefined if the
   * entry has none. A different value means a new process of the same upstream.
   */
  readonly bornAt: number | undefined;
}

/** A version of a service's software. */
export interface RecordedVersion {
  readonly version: string;
  /**
   * Time of the wall clock at which its last upstream was gone, in milliseconds;
   * undefined while there are any.
   */
  readonly goneAt: number | undefined;
}

/** The versions that a service has had lately. */
export interface VersionRecord {
  readonly service: string;
  readonly versions: readonly RecordedVersion[];
}

/** An order of the operators to move a service to a version of its software. */
export interface RolloutOrder {
  readonly service: string;
  /** Software version that the service is to be moved to. */
  readonly target: string;
  /** Time in which the move must be over, in milliseconds. */
  readonly durationMs: number;
  /** Revision of its item in the store; tells orders of a service apart. */
  readonly revision: number;
}

/** Phase of an order; `complete` and `rolled-back` are final. */
export type RolloutPhase = "trial" | "promoting" | "complete" | "rolled-back";

/** The state of an order, as the routers keep it in the store. */
export interface RolloutRecord {
  readonly service: string;
  readonly target: string;
  readonly phase: RolloutPhase;
  /** Revision of the order's item. */
  readonly order: number;
  /**
   * Wall-clock time of the order as the first writer saw it, in milliseconds.
   */
  readonly startedAt: number;
  /** Why the order is in this phase, for operators. */
  readonly reason: string;
  /** Revision of the record's own item; 0 before it was written. */
  readonly revision: number;
}

/** Which upstreams of a service a request may use, by software version. */
export type VersionRule =
  | { readonly kind: "any" }
  | { readonly kind: "only"; readonly versions: readonly string[] }
  | { readonly kind: "except"; readonly versions: readonly string[] }
  | {
    readonly kind: "canary";
    readonly target: string;
    /** Ids of the target's upstreams that the request may use. */
    readonly upstreams: readonly string[];
  };

/** A change in the metadata store, decoded. */
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
    /** Address for messages from other routers, `ip:port`. */
    readonly address: string;
    /** Bandwidth of its host's network link, in Mbit/s; 0 if unknown. */
    readonly linkMbps: number;
  }
  | { readonly kind: "router-gone"; readonly name: string }
  | { readonly kind: "versions"; readonly record: VersionRecord }
  | {
    readonly kind: "rollout-order";
    readonly order: RolloutOrder;
    /** Time since the store has had it, in ms; undefined if not known. */
    readonly ageMs?: number;
  }
  | { readonly kind: "rollout-order-gone"; readonly service: string }
  | { readonly kind: "rollout-record"; readonly record: RolloutRecord }
  | { readonly kind: "rollout-record-gone"; readonly service: string }
  | {
    readonly kind: "unreadable";
    readonly key: string;
    /** Why the item can't be decoded. */
    readonly reason: string;
    /** Whether the item holds the operators' configuration. */
    readonly isConfiguration?: boolean;
    /** Whether the same was reported before. */
    readonly isRepeated?: boolean;
  };

/** State of the metadata store that one router sends to another. */
export interface StoreUpdate {
  /**
   * Number of times that the store has returned to an older copy; absent for 0.
   */
  readonly era?: number;
  /** Revision of the store after the changes. */
  readonly revision: number;
  /** All changes after the requested revision, except configurations. */
  readonly changes: readonly StoreChange[];
  /** Version of the configuration at that revision. */
  readonly version: number;
  /** Time since this was confirmed to be the store's state, in milliseconds. */
  readonly ageMs: number;
  /** Whether the store currently does not respond to the sender. */
  readonly isStoreLost: boolean;
  /**
   * Whether `changes` may lack entries of upstreams of services that no
   * configuration names.
   */
  readonly lacksOthers?: boolean;
  /**
   * Time since the store responded again after its last outage, in
   * milliseconds; undefined if the sender knows of no outage.
   */
  readonly storeBackMs: number | undefined;
}

/** One part of a prompt; other requests may share it. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Lengths of a request and of its response in tokens, as the caller states. */
export interface TokenCounts {
  readonly prompt: number;
  /** Most tokens of the response. */
  readonly maxOutput: number;
}

/** Properties of a request, decoded from its headers. */
export interface RequestTraits {
  readonly requestId: string;
  /** Time that the caller waits, in milliseconds from the arrival. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Parts of the prompt in order; the last is specific to the request. */
  readonly promptParts: readonly PromptPart[];
  /** Absent if the caller states none, or they are malformed. */
  readonly tokenCounts?: TokenCounts;
  /** Tokens that the caller expects in the response; absent likewise. */
  readonly lengthHint?: number;
  /** Id of the last event that the caller has, if it resumes a stream. */
  readonly lastEventId: string | undefined;
  /**
   * Id of the request that brought the caller the stream's first event, if it
   * resumes a stream.
   */
  readonly resumedId: string | undefined;
}

/**
 * Requests a second that an upstream takes from all routers together, or
 * rejections a second that it bears, as it states in a response, or that it states
 * none.
 */
export type StatedRate = number | "none";

/** Properties of an upstream's response, decoded from its headers. */
export interface ResponseTraits {
  /** Id of the request that the upstream responds to. */
  readonly requestId: string | undefined;
  /** Whether the response has a signature. */
  readonly isSigned: boolean;
  /** Whether the upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  readonly load: UpstreamLoad | undefined;
  /** Whether the upstream states that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * Time for which the upstream wants no request from this router, in
   * milliseconds; only on refusals.
   */
  readonly pauseMs: number | undefined;
  /** Undefined if the header can't be read. */
  readonly rate: StatedRate | undefined;
  /**
   * Rejections a second, of requests of all routers, above which the upstream
   * ends; undefined if the header can't be read.
   */
  readonly rejectionLimit: StatedRate | undefined;
}

/** Requests at an upstream, as it counted them when it responded. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How much longer than usual work takes there now; absent for as usual. */
  readonly pace?: number;
}

/** Readings of both clocks at one moment, in milliseconds. */
export interface Instant {
  /** Monotonic clock; stops while the host is suspended. */
  readonly steady: number;
  /** Wall clock; may jump forward or backward. */
  readonly wall: number;
}
