/**
 * Summary of a pool and its upstreams for operators.
 */
import type { Upstream } from "../config/manifest.ts";

/** State of an upstream, as reported to operators. */
export interface UpstreamSummary {
  readonly upstream: Upstream;
  readonly isInService: boolean;
  readonly isLeaving: boolean;
  readonly isCold: boolean;
  readonly incarnation: string | undefined;
  /** Number of attempts that have succeeded under this controller. */
  readonly answers: number;
  readonly inFlight: number;
  readonly limit: number;
  /** Number of further requests that this router may admit. */
  readonly room: number;
  readonly reportAgeMs: number;
}

/** State of a pool, as reported to operators. */
export interface PoolSummary {
  readonly id: string;
  readonly service: string;
  readonly replicas: readonly string[];
  readonly owner: string | undefined;
  /** Names of the routers whose ranks this router holds. */
  readonly heldRanks: readonly string[];
  readonly queued: number;
  readonly chats: number;
  readonly upstreams: readonly UpstreamSummary[];
}
