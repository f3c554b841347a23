/**
 * Key-value lease that limits how long the records of non-idempotent calls are
 * kept.
 *
 * The lease is granted for the retention plus the reuse period and is never
 * renewed. It is attached to new records during the reuse period only, so each
 * record is kept for at least the retention. A router thus requests one lease
 * an hour instead of one for each record, and no record expires early when the
 * router exits.
 */
import { Ok, type Result } from "ts-results";
import type { KeyValue, PlatformFailure } from "../store/key_value.ts";
import type { Clock } from "./views.ts";

/** Options of `createRetentionLease`. */
export interface RetentionOptions {
  readonly keyValue: KeyValue;
  readonly clock: Clock;
  /** Minimum time for which a record is kept, in seconds. */
  readonly retentionSeconds?: number;
  /**
   * Reuse period: time since its grant for which a lease is attached to new
   * records, in seconds. The time to live of the lease is the retention plus
   * this period.
   */
  readonly reuseSeconds?: number;
}

/** Provides the lease for new records. */
export interface RetentionLease {
  /**
   * Returns the id of a lease that lasts at least the retention. Fails if a new
   * lease is needed and the key-value service does not grant one.
   */
  get(): Promise<Result<string, PlatformFailure>>;
}

const RETENTION_SECONDS = 86_400;
const REUSE_SECONDS = 3_600;
const MS_PER_SECOND = 1_000;

/** Creates a retention lease. The first call of `get` requests it. */
export function createRetentionLease(
  {
    keyValue,
    clock,
    retentionSeconds = RETENTION_SECONDS,
    reuseSeconds = REUSE_SECONDS,
  }: RetentionOptions,
): RetentionLease {
  let lease: string | undefined;
  let grantedAt = -Infinity;
  return {
    async get() {
      const now = clock();
      const isFresh = now - grantedAt < reuseSeconds * MS_PER_SECOND;
      if (lease !== undefined && isFresh) return Ok(lease);
      const granted = await keyValue.grantLease(
        retentionSeconds + reuseSeconds,
      );
      if (granted.err) return granted;
      lease = granted.val;
      grantedAt = now;
      return Ok(lease);
    },
  };
}
