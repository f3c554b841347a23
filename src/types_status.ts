/**
 * Responses of a router on its `/admin` paths.
 *
 * The schemas describe the JSON that is sent; the types are derived from them.
 */
import { type Static, Type } from "@sinclair/typebox";

const UpstreamStatusSchema = Type.Object({
  name: Type.String(),
  host: Type.String(),
  failureDomain: Type.String(),
  state: Type.Union([
    Type.Literal("in"),
    Type.Literal("out"),
    Type.Literal("leaving"),
  ]),
  cold: Type.Boolean(),
  /** Requests that this router has in flight at the upstream. */
  inFlight: Type.Integer(),
  /** Requests that this router may currently have in flight at the upstream. */
  limit: Type.Integer(),
  /** Age of the latest load report, in milliseconds; null before the first. */
  lastReportAgeMs: Type.Union([Type.Number(), Type.Null()]),
});

const PoolStatusSchema = Type.Object({
  service: Type.String(),
  pool: Type.String(),
  /** Router that this one believes to own the pool; null if none is live. */
  owner: Type.Union([Type.String(), Type.Null()]),
  replicas: Type.Array(Type.Object({
    name: Type.String(),
    rank: Type.Integer(),
  })),
  upstreams: Type.Array(UpstreamStatusSchema),
});

const PeerStatusSchema = Type.Object({
  name: Type.String(),
  live: Type.Boolean(),
  /** Configuration version that the peer last reported. */
  version: Type.Integer(),
});

/** Schema of the response to `GET /admin/status`. */
export const RouterStatusSchema = Type.Object({
  name: Type.String(),
  /** Version of the configuration in force. */
  version: Type.Integer(),
  ready: Type.Boolean(),
  leaving: Type.Boolean(),
  pools: Type.Array(PoolStatusSchema),
  peers: Type.Array(PeerStatusSchema),
  failureDomainsOut: Type.Array(Type.String()),
  hostsOut: Type.Array(Type.String()),
  /** Invariant violations since the start of the process. */
  breaches: Type.Integer(),
});

/**
 * Schema of the response to
 * `GET /admin/explain?service=S&workspace=W&chat=C`.
 */
export const ExplanationSchema = Type.Object({
  /** Router that responds. */
  router: Type.String(),
  pool: Type.String(),
  owner: Type.Union([Type.String(), Type.Null()]),
  /** Candidate upstreams, best first, with the reason for the position. */
  order: Type.Array(Type.Object({
    upstream: Type.String(),
    reason: Type.String(),
  })),
  /** Upstream that has the chat cached, if one is known. */
  home: Type.Optional(Type.String()),
});

/** State of one router. */
export type RouterStatus = Static<typeof RouterStatusSchema>;
/** One pool as a router sees it. */
export type PoolStatus = Static<typeof PoolStatusSchema>;
/** One upstream as a router sees it. */
export type UpstreamStatus = Static<typeof UpstreamStatusSchema>;
/** One peer as a router sees it. */
export type PeerStatus = Static<typeof PeerStatusSchema>;
/** Upstreams that a chat could be placed at, and why in this order. */
export type Explanation = Static<typeof ExplanationSchema>;
