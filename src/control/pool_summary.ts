/**
 * State of a pool and its upstreams as operators see it.
 */
import type { Upstream } from "../config/manifest.ts";

/** State of an upstream as operators see it. */
export interface UpstreamSummary {
  readonly upstream: Upstream;
  readonly isInService: boolean;
  readonly isLeaving: boolean;
  readonly isCold: boolean;
  readonly incarnation: string | undefined;
  /** Attempts that ended well under this controller. */
  readonly answers: number;
  readonly inFlight: number;
  readonly limit: number;
  readonly room: number;
  readonly reportAgeMs: number;
}

/** State of a pool as operators see it. */
export interface PoolSummary {
  readonly id: string;
  readonly service: string;
  readonly replicas: readonly string[];
  readonly owner: string | undefined;
  readonly heldRanks: readonly string[];
  readonly queued: number;
  readonly chats: number;
  readonly upstreams: readonly UpstreamSummary[];
}
