/**
 * Names that the platform defines: HTTP headers, and paths and keys of the
 * metadata store.
 */

/** HTTP headers, in lower case. */
export const HEADERS = {
  requestId: "x-attempt-id",
  deadlineMs: "x-deadline-ms",
  promptParts: "x-prompt-prefix",
  /** Tokens of the prompt, and most tokens of the response. */
  tokenCounts: "x-token-counts",
  /** Expected tokens of the response. */
  lengthHint: "x-length-hint",
  lastEventId: "last-event-id",
  /** Id of the request that brought the first event of a resumed stream. */
  resumedId: "resumes",
  /** The upstream's signature of its response. */
  signature: "x-response-stamp",
  /** Name of the workspace, sent to the upstream. */
  workspace: "x-tenant",
  /** Id of the upstream that the request is meant for. */
  expectedUpstream: "x-expect-instance",
  /** Load of the upstream, on a response. */
  load: "x-runner-load",
  /** Set on a response if the upstream did not run the request. */
  notRun: "x-not-executed",
  /** Set to "1" on a response if the upstream is leaving. */
  leaving: "server-leaving",
  /** Requests a second that the upstream takes from all routers together. */
  rateLimit: "server-limit",
  /** Rejections for want of room that the upstream bears in a second. */
  brittle: "server-brittle",
  /** Time for which the upstream wants no request, in seconds. */
  retryAfter: "retry-after",
  /** On each answer of the store: how often it has returned to a copy. */
  storeEra: "store-era",
  priority: "x-request-priority",
  authorization: "authorization",
  /** `ip:port` of an upstream from which to copy the prompt's cache. */
  copyFrom: "kv-fetch",
} as const;

/**
 * Headers dropped from callers' requests because only the system may set them
 * for upstreams.
 */
export const SYSTEM_HEADERS: ReadonlySet<string> = new Set([
  HEADERS.workspace,
  HEADERS.expectedUpstream,
  HEADERS.priority,
  HEADERS.deadlineMs,
  HEADERS.authorization,
  "x-expect-version",
  "x-pin-ms",
  "x-hold",
  "x-kv-backup",
  "kv-from",
  HEADERS.copyFrom,
]);

/** Path of the readiness check of the load balancer. */
export const READY_PATH = "/corianderflow/ready";

/** Path of an engine's report of itself. */
export const ENGINE_REPORT_PATH = "/corianderflow/report";

/** Paths of the metadata store. */
export const STORE_PATHS = {
  range: "/corianderflow/kv-range",
  watch: "/corianderflow/kv-watch",
  transaction: "/corianderflow/kv-txn",
  lease: "/corianderflow/kv-lease",
  renewal: "/corianderflow/kv-keep/",
  leaseEnd: "/corianderflow/kv-lease-end/",
} as const;

/** Keys, or prefixes of keys if they end in a slash, in the metadata store. */
export const KEYS = {
  configuration: "op/config",
  domainsOut: "op/evacuate/",
  upstreams: "servers/",
  /** Orders to move services to a software version, by service. */
  rolloutOrders: "op/rollout/",
  /** How far these are, by service, which the routers write. */
  rolloutRecords: "status/rollout/",
  /** Registrations, which the routers write. */
  routers: "corianderflow/routers/",
  /** Software versions by service, which the routers write. */
  versions: "corianderflow/versions/",
} as const;
