/**
 * Create-if-absent that resolves a lost answer by reading.
 *
 * A create whose answer was lost may be in effect, may never take effect, or
 * may take effect later. Finding the own value settles it. Finding nothing
 * settles nothing, since the write may still be under way.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Err, Ok, type Result } from "ts-results/result";
import {
  type ConditionalWrite,
  type Item,
  type KeyValue,
  PlatformFailure,
} from "./key_value.ts";

/** Options of a resolved create. */
export interface ResolvedCreateOptions {
  lease?: string;
  /**
   * Whether the key can be deleted. While it can, another's value settles
   * nothing: an own write under way takes effect once that value is gone.
   */
  isRemovable?: boolean;
  /**
   * Tells an item that holds the own value, or what the own value has been
   * replaced by since. The default compares the values.
   */
  isOwn?: (item: Item) => boolean;
  /** Number of reads after a lost answer. */
  maxReads?: number;
  /** Delay before the second read, in milliseconds; doubles with each read. */
  readDelayMs?: number;
}

const DEFAULT_MAX_READS = 4;
const DEFAULT_READ_DELAY_MS = 50;

type Outcome = Result<ConditionalWrite, PlatformFailure>;

/**
 * Writes `key` if it does not exist. The value must carry a unique id, so that
 * an item with this value can only be of this call or an earlier one for it.
 *
 * `conflict` says that the write did not and will not take effect. A failure
 * `unknown` says that it may have, or may yet; the same call can be repeated
 * to find out.
 */
export async function createWithId(
  kv: KeyValue,
  key: string,
  {
    value,
    lease,
    isRemovable = true,
    isOwn = (item) => item.value === value,
    maxReads = DEFAULT_MAX_READS,
    readDelayMs = DEFAULT_READ_DELAY_MS,
  }: ResolvedCreateOptions & { value: string },
): Promise<Outcome> {
  const created = await kv.create(key, value, { lease });
  if (created.ok) return Ok(claimOwn(created.val, isOwn));
  if (created.val.kind !== "unknown") return created;
  for (let i = 0; i < maxReads; i++) {
    if (i > 0) await sleep(readDelayMs * 2 ** (i - 1));
    const read = await kv.get(key);
    if (read.err || read.val === undefined) continue;
    const found: Item = read.val;
    if (isOwn(found)) return Ok({ kind: "written", revision: found.revision });
    if (!isRemovable) return Ok({ kind: "conflict", current: found });
    return Err(
      new PlatformFailure("unknown", "another value stands for now"),
    );
  }
  return Err(created.val);
}

/** Turns a conflict with the own value, from an earlier call, into a success. */
function claimOwn(
  outcome: ConditionalWrite,
  isOwn: (item: Item) => boolean,
): ConditionalWrite {
  if (outcome.kind === "written") return outcome;
  const { current } = outcome;
  if (current === undefined || !isOwn(current)) return outcome;
  return { kind: "written", revision: current.revision };
}
