/**
 * Names of the users' platform: headers, paths and keys of the metadata store.
 */

/** Headers, in lower case. */
export const HEADERS = {
  requestId: "x-attempt-id",
  deadlineMs: "x-deadline-ms",
  promptParts: "x-prompt-prefix",
  lastEventId: "last-event-id",
  /** The upstream's signature of its answer. */
  signature: "x-response-stamp",
  /** Name of the workspace, for the upstream. */
  workspace: "x-tenant",
  expectedUpstream: "x-expect-instance",
  load: "x-runner-load",
  notRun: "x-not-executed",
  priority: "x-request-priority",
  authorization: "authorization",
  /** Address of an upstream from which to copy the prompt's cache. */
  copyFrom: "kv-fetch",
} as const;

/** Headers that only the system sets; callers' values are dropped. */
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

/** Path on which the balancer asks whether the router is ready. */
export const READY_PATH = "/corianderflow/ready";

/** Paths of the metadata store. */
export const STORE_PATHS = {
  range: "/corianderflow/kv-range",
  watch: "/corianderflow/kv-watch",
  transaction: "/corianderflow/kv-txn",
  lease: "/corianderflow/kv-lease",
  renewal: "/corianderflow/kv-keep/",
  leaseEnd: "/corianderflow/kv-lease-end/",
} as const;

/** Keys of the metadata store. */
export const KEYS = {
  configuration: "op/config",
  domainsOut: "op/evacuate/",
  upstreams: "servers/",
  /** Written by the routers themselves. */
  routers: "corianderflow/routers/",
} as const;
