/**
 * Reads the configuration from the key-value service: a snapshot if that needs
 * fewer entries, then the entries after it.
 */
import { Err, Ok, type Result } from "ts-results/result";
import type { Item, KeyValue, PlatformFailure } from "../store/key_value.ts";
import { decodeLogItem, type LogItem } from "./configuration_codec.ts";
import type { Configuration, Entry } from "./configuration.ts";
import { applyEntry, getEntryKey, LOG_PREFIX } from "./configuration_log.ts";
import {
  decodeSnapshotHead,
  getChunkKeyPrefix,
  readSnapshot,
  SNAPSHOT_HEAD_KEY,
} from "./configuration_snapshot.ts";

/** Why the configuration could not be read. */
export type ReadFailure =
  | { readonly kind: "platform"; readonly failure: PlatformFailure }
  /** The value under the key can't be decoded, or the key is missing. */
  | {
    readonly kind: "unreadable";
    readonly key: string;
    readonly detail: string;
  };

/** Result of reading the configuration. */
export interface ConfigurationReading {
  readonly configuration: Configuration;
  /** Number of entries that were applied one by one. */
  readonly entryCount: number;
}

interface Page {
  readonly items: readonly LogItem[];
  readonly isLast: boolean;
}

/** Entries per list request; few, since an entry may hold a whole manifest. */
const PAGE_ENTRIES = 16;
const MAX_PAGES = 4_096;
const MAX_SNAPSHOT_ATTEMPTS = 2;

/** Brings `after` up to the newest entry; the version never decreases. */
export async function readConfiguration(
  keyValue: KeyValue,
  after: Configuration,
): Promise<Result<ConfigurationReading, ReadFailure>> {
  let configuration = after;
  let entryCount = 0;
  let mayUseSnapshot = true;
  if (after.version === 0) {
    const snapshot = await readNewerSnapshot(keyValue, after);
    if (snapshot.err) return snapshot;
    configuration = snapshot.val;
    mayUseSnapshot = false;
  }
  for (let pages = 0; pages < MAX_PAGES; pages++) {
    const page = await readPage(keyValue, configuration.version + 1);
    if (page.err) return page;
    const previous = configuration;
    configuration = applyPage(configuration, page.val.items);
    entryCount += configuration.version - previous.version;
    const isCompacted = page.val.items.some(({ kind }) => kind !== "entry");
    if (page.val.isLast && !isCompacted) {
      return Ok({ configuration, entryCount });
    }
    if (!mayUseSnapshot && !isCompacted) continue;
    const snapshot = await readNewerSnapshot(keyValue, configuration);
    if (snapshot.err) return snapshot;
    if (isCompacted && snapshot.val === configuration) {
      const key = getEntryKey(configuration.version + 1);
      return unreadable(
        key,
        "the entry is compacted, and no snapshot covers it",
      );
    }
    configuration = snapshot.val;
    mayUseSnapshot = false;
  }
  return unreadable(LOG_PREFIX, "the end of the log was not reached");
}

/**
 * Lists the entries `first` to `last`, oldest first, without those that have
 * been compacted.
 */
export async function listEntries(
  keyValue: KeyValue,
  first: number,
  { last }: { last: number },
): Promise<Result<Entry[], ReadFailure>> {
  const entries: Entry[] = [];
  for (let version = first; version <= last; version += PAGE_ENTRIES) {
    const page = await readPage(keyValue, version);
    if (page.err) return page;
    for (const item of page.val.items) {
      if (item.kind === "entry") entries.push(item.entry);
    }
  }
  return Ok(entries.filter(({ version }) => version <= last));
}

async function readPage(
  keyValue: KeyValue,
  version: number,
): Promise<Result<Page, ReadFailure>> {
  const listing = await keyValue.list(LOG_PREFIX, {
    from: getEntryKey(version),
    limit: PAGE_ENTRIES,
  });
  if (listing.err) return Err({ kind: "platform", failure: listing.val });
  const items: LogItem[] = [];
  for (const item of listing.val.items) {
    const decoded = decodeItem(item, version + items.length);
    if (decoded.err) return decoded;
    items.push(decoded.val);
  }
  return Ok({ items, isLast: items.length < PAGE_ENTRIES });
}

function decodeItem(
  { key, value }: Item,
  version: number,
): Result<LogItem, ReadFailure> {
  const expected = getEntryKey(version);
  if (key !== expected) return unreadable(expected, "the entry is missing");
  const item = decodeLogItem(value);
  if (item.err) return unreadable(key, item.val.detail);
  const storedVersion = item.val.kind === "entry"
    ? item.val.entry.version
    : item.val.version;
  if (storedVersion === version) return item;
  return unreadable(key, `the stored entry has version ${storedVersion}`);
}

function applyPage(
  configuration: Configuration,
  items: readonly LogItem[],
): Configuration {
  let updated = configuration;
  for (const item of items) {
    if (item.kind === "compacted") break;
    updated = applyEntry(updated, item.entry);
  }
  return updated;
}

/** Returns the newest snapshot if it is newer than `configuration`. */
async function readNewerSnapshot(
  keyValue: KeyValue,
  configuration: Configuration,
): Promise<Result<Configuration, ReadFailure>> {
  // A newer snapshot may replace this one while its chunks are being read.
  for (let attempt = 0; attempt < MAX_SNAPSHOT_ATTEMPTS; attempt++) {
    const item = await keyValue.get(SNAPSHOT_HEAD_KEY);
    if (item.err) return Err({ kind: "platform", failure: item.val });
    if (item.val === undefined) return Ok(configuration);
    const head = decodeSnapshotHead(item.val.value);
    if (head.err || head.val.version <= configuration.version) break;
    const chunks = await keyValue.list(getChunkKeyPrefix(head.val.version));
    if (chunks.err) return Err({ kind: "platform", failure: chunks.val });
    const snapshot = readSnapshot(head.val, chunks.val.items);
    if (snapshot.ok) return snapshot;
  }
  // The entries may still exist; if they were compacted, markers show it.
  return Ok(configuration);
}

function unreadable(key: string, detail: string): Err<ReadFailure> {
  return Err({ kind: "unreadable", key, detail });
}
