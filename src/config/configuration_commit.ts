/**
 * Writes one entry of the configuration log and learns whether it was written.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Item, KeyValue, PlatformFailure } from "../store/key_value.ts";
import type { Entry } from "./configuration.ts";
import { decodeLogItem, encodeEntry } from "./configuration_codec.ts";
import { entryKey } from "./configuration_log.ts";
import type { ReadFailure } from "./configuration_reader.ts";
import type { Refusal } from "./configuration_rebase.ts";

/** Why a change was not committed, or may not have been. */
export type CommitFailure =
  /** Another author's entry came first; nothing was committed. */
  | {
    readonly kind: "conflict";
    /** The entry that came first; undefined if it has been compacted. */
    readonly winner: Entry | undefined;
    /** Version of the newest entry. */
    readonly version: number;
  }
  /** The change makes no sense; nothing was committed. */
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The author's base is above the newest version; nothing was committed. */
  | { readonly kind: "ahead"; readonly version: number }
  /** The entry is above the size limit; nothing was committed. */
  | {
    readonly kind: "too-large";
    readonly bytes: number;
    readonly limit: number;
  }
  /** The platform failed before the write; nothing was committed. */
  | { readonly kind: "unavailable"; readonly failure: ReadFailure }
  | OutcomeUnknown;

/**
 * The write may have taken effect. It has if, and only if, the history shows an
 * entry `version` with the id `id`.
 */
export interface OutcomeUnknown {
  readonly kind: "outcome-unknown";
  readonly version: number;
  readonly id: string;
}

/** What became of an entry. */
export type WriteOutcome =
  | { readonly kind: "written" }
  /** Another entry has this version, and this one never will. */
  | { readonly kind: "lost" }
  /** The platform failed; the entry was not written. */
  | { readonly kind: "failed"; readonly failure: PlatformFailure }
  | OutcomeUnknown;

const MAX_WRITES = 5;

/**
 * Creates the key of `entry`. When an answer is lost, the key is read, and the
 * same entry is created again if it isn't there: both may take effect, since
 * only one of them can.
 */
export async function writeEntry(
  keyValue: KeyValue,
  entry: Entry,
  { retryDelayMs }: { retryDelayMs: number },
): Promise<WriteOutcome> {
  const first = await createEntry(keyValue, entry);
  if (first !== "unclear") return first;
  for (let writes = 1; writes < MAX_WRITES; writes++) {
    await sleep(retryDelayMs * 2 ** (writes - 1));
    const outcome = await resolveEntry(keyValue, entry);
    if (outcome !== "unclear") return outcome;
  }
  return toUnknown(entry);
}

async function createEntry(
  keyValue: KeyValue,
  entry: Entry,
): Promise<WriteOutcome | "unclear"> {
  const write = await keyValue.create(
    entryKey(entry.version),
    encodeEntry(entry),
  );
  if (write.err) {
    if (write.val.kind === "unknown") return "unclear";
    return { kind: "failed", failure: write.val };
  }
  if (write.val.kind === "written") return { kind: "written" };
  return compareItem(write.val.current, entry);
}

async function resolveEntry(
  keyValue: KeyValue,
  entry: Entry,
): Promise<WriteOutcome | "unclear"> {
  const item = await keyValue.get(entryKey(entry.version));
  if (item.err) return "unclear";
  if (item.val !== undefined) return compareItem(item.val, entry);
  const again = await createEntry(keyValue, entry);
  // A failed second write says nothing about the first.
  return again !== "unclear" && again.kind === "failed" ? "unclear" : again;
}

function compareItem(item: Item | undefined, entry: Entry): WriteOutcome {
  if (item === undefined) return toUnknown(entry);
  const stored = decodeLogItem(item.value);
  if (stored.err) return { kind: "lost" };
  if (stored.val.kind === "compacted") return toUnknown(entry);
  return { kind: stored.val.entry.id === entry.id ? "written" : "lost" };
}

function toUnknown({ version, id }: Entry): OutcomeUnknown {
  return { kind: "outcome-unknown", version, id };
}
