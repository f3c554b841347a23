/**
 * Create-if-absent that resolves a lost response by reading the key back.
 *
 * A create whose response was lost may have taken effect, may never take effect
 * or may take effect later. Reading this call's own value shows that it took
 * effect. A missing key shows nothing, since the write may still be in flight.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Err, Ok, type Result } from "ts-results/result";
import {
  type ConditionalWrite,
  type Item,
  type KeyValue,
  PlatformFailure,
} from "./key_value.ts";

/** Options of {@link createResolved}. */
export interface ResolvedCreateOptions {
  lease?: string;
  /**
   * Whether the key can be deleted; true by default. If so, reading another
   * writer's value shows nothing: this call's write may still be in flight and
   * take effect once that value has been deleted.
   */
  isRemovable?: boolean;
  /**
   * Whether an item holds this call's value or one that has replaced it since.
   * By default, the item's value must equal this call's.
   */
  isOwn?: (item: Item) => boolean;
  /** Maximum number of reads after a lost response; 4 by default. */
  maxReads?: number;
  /**
   * Delay before the second read, in milliseconds; doubles with each further
   * read. 50 by default.
   */
  readDelayMs?: number;
}

const DEFAULT_MAX_READS = 4;
const DEFAULT_READ_DELAY_MS = 50;

type Outcome = Result<ConditionalWrite, PlatformFailure>;

/**
 * Writes `key` if it does not exist. The value must contain a unique ID, so
 * that an item with this value can only come from this call or an earlier
 * attempt.
 *
 * `conflict` means that the write did not and will not take effect. A failure
 * of kind `unknown` means that it may have taken effect or may still do so; the
 * caller can repeat the same call to find out.
 */
export async function createResolved(
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
  if (created.ok) return Ok(toOwnWrite(created.val, isOwn));
  if (created.val.kind !== "unknown") return created;
  for (let i = 0; i < maxReads; i++) {
    if (i > 0) await sleep(readDelayMs * 2 ** (i - 1));
    const read = await kv.get(key);
    if (read.err || read.val === undefined) continue;
    const found: Item = read.val;
    if (isOwn(found)) return Ok({ kind: "written", revision: found.revision });
    if (!isRemovable) return Ok({ kind: "conflict", current: found });
    return Err(
      new PlatformFailure(
        "unknown",
        "the key holds another value; the write may still take effect",
      ),
    );
  }
  return Err(created.val);
}

/** Converts a conflict with the value of an earlier attempt to a success. */
function toOwnWrite(
  outcome: ConditionalWrite,
  isOwn: (item: Item) => boolean,
): ConditionalWrite {
  if (outcome.kind === "written") return outcome;
  const { current } = outcome;
  if (current === undefined || !isOwn(current)) return outcome;
  return { kind: "written", revision: current.revision };
}
