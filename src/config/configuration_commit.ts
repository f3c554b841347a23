/**
 * Writes one entry of the configuration log and determines the outcome.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Item, KeyValue, PlatformFailure } from "../store/key_value.ts";
import type { Entry } from "./configuration.ts";
import { decodeLogItem, encodeEntry } from "./configuration_codec.ts";
import { getEntryKey } from "./configuration_log.ts";
import type { ReadFailure } from "./configuration_reader.ts";
import type { Refusal } from "./configuration_rebase.ts";

/** Why a change was not committed, or may not have been committed. */
export type CommitFailure =
  /** Another author's entry was committed first; nothing was committed. */
  | {
    readonly kind: "conflict";
    /** The conflicting entry; undefined if it has been compacted. */
    readonly winner: Entry | undefined;
    /** Version of the newest entry. */
    readonly version: number;
  }
  /** The change is invalid; nothing was committed. */
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The author's base version does not exist yet; nothing was committed. */
  | { readonly kind: "ahead"; readonly version: number }
  /** The entry exceeds the size limit; nothing was committed. */
  | {
    readonly kind: "too-large";
    readonly bytes: number;
    readonly limit: number;
  }
  /** The platform failed before the write; nothing was committed. */
  | { readonly kind: "unavailable"; readonly failure: ReadFailure }
  | OutcomeUnknown;

/**
 * The write may have taken effect. It did if, and only if, the history contains
 * an entry with this version and id.
 */
export interface OutcomeUnknown {
  readonly kind: "outcome-unknown";
  readonly version: number;
  readonly id: string;
}

/** Outcome of writing an entry. */
export type WriteOutcome =
  | { readonly kind: "written" }
  /** The version is taken by another entry; this one will never be written. */
  | { readonly kind: "lost" }
  /** The platform failed; the entry was not written. */
  | { readonly kind: "failed"; readonly failure: PlatformFailure }
  | OutcomeUnknown;

const MAX_WRITE_ATTEMPTS = 5;

/**
 * Creates the key of `entry`. If the response is lost, reads the key and, if it
 * does not exist, creates the same entry again. Repeating the write is safe:
 * create-if-absent lets at most one of the writes take effect.
 */
export async function writeEntry(
  keyValue: KeyValue,
  entry: Entry,
  { retryDelayMs }: { retryDelayMs: number },
): Promise<WriteOutcome> {
  const first = await createEntry(keyValue, entry);
  if (first !== "unclear") return first;
  for (let attempts = 1; attempts < MAX_WRITE_ATTEMPTS; attempts++) {
    await sleep(retryDelayMs * 2 ** (attempts - 1));
    const outcome = await resolveWrite(keyValue, entry);
    if (outcome !== "unclear") return outcome;
  }
  return createOutcomeUnknown(entry);
}

async function createEntry(
  keyValue: KeyValue,
  entry: Entry,
): Promise<WriteOutcome | "unclear"> {
  const write = await keyValue.create(
    getEntryKey(entry.version),
    encodeEntry(entry),
  );
  if (write.err) {
    if (write.val.kind === "unknown") return "unclear";
    return { kind: "failed", failure: write.val };
  }
  if (write.val.kind === "written") return { kind: "written" };
  return compareStoredEntry(write.val.current, entry);
}

async function resolveWrite(
  keyValue: KeyValue,
  entry: Entry,
): Promise<WriteOutcome | "unclear"> {
  const item = await keyValue.get(getEntryKey(entry.version));
  if (item.err) return "unclear";
  if (item.val !== undefined) return compareStoredEntry(item.val, entry);
  const repeatedWrite = await createEntry(keyValue, entry);
  // A failed repetition does not show whether the first write took effect.
  return repeatedWrite !== "unclear" && repeatedWrite.kind === "failed"
    ? "unclear"
    : repeatedWrite;
}

function compareStoredEntry(
  item: Item | undefined,
  entry: Entry,
): WriteOutcome {
  if (item === undefined) return createOutcomeUnknown(entry);
  const stored = decodeLogItem(item.value);
  if (stored.err) return { kind: "lost" };
  if (stored.val.kind === "compacted") return createOutcomeUnknown(entry);
  return { kind: stored.val.entry.id === entry.id ? "written" : "lost" };
}

function createOutcomeUnknown({ version, id }: Entry): OutcomeUnknown {
  return { kind: "outcome-unknown", version, id };
}
