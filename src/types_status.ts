/**
 * What a router says of itself on its `/admin` paths.
 *
 * The schemas are the shapes on the wire; the types come from them.
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
  /** Requests that this router has in flight there. */
  inFlight: Type.Integer(),
  /** Requests that this router may have in flight there now. */
  limit: Type.Integer(),
  /** Age of the newest load report in milliseconds; null before the first. */
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
  /** Version of the configuration that the peer last named. */
  version: Type.Integer(),
});

/** Shape of the answer to `GET /admin/status`. */
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
  /** Breaches of invariants since the start. */
  breaches: Type.Integer(),
});

/** Shape of the answer to `GET /admin/explain?service=S&workspace=W&chat=C`. */
export const ExplanationSchema = Type.Object({
  /** Router that gives the answer. */
  router: Type.String(),
  pool: Type.String(),
  owner: Type.Union([Type.String(), Type.Null()]),
  /** Candidates, best first, each with the reason of its place. */
  order: Type.Array(Type.Object({
    upstream: Type.String(),
    reason: Type.String(),
  })),
  /** Upstream that holds the chat's cache, where one is known. */
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
/** Where a chat would be placed, and why. */
export type Explanation = Static<typeof ExplanationSchema>;
