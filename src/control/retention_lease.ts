/**
 * Lease that gives the records of non-idempotent calls their retention.
 *
 * It is granted for longer than the retention and never renewed; a record gets
 * one that has at least the retention left. A router thus grants a lease an
 * hour, not one for each record, and its death ends no record early.
 */
import { Ok, type Result } from "ts-results";
import type { KeyValue, PlatformFailure } from "../store/key_value.ts";
import type { Clock } from "./views.ts";

/** Options of the lease. */
export interface RetentionOptions {
  readonly keyValue: KeyValue;
  readonly clock: Clock;
  readonly retentionSeconds?: number;
  readonly reuseSeconds?: number;
}

/** Hands out the lease for new records. */
export interface RetentionLease {
  get(): Promise<Result<string, PlatformFailure>>;
}

const RETENTION_SECONDS = 86_400;
const REUSE_SECONDS = 3_600;
const MS_PER_SECOND = 1_000;

/** Creates a lease that is granted when it is first needed. */
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
