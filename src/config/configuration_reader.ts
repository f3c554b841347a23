/**
 * Reads the configuration from the key-value service: a snapshot where that is
 * shorter, then the entries after it.
 */
import { Err, Ok, type Result } from "ts-results/result";
import type { Item, KeyValue, PlatformFailure } from "../store/key_value.ts";
import { decodeLogItem, type LogItem } from "./configuration_codec.ts";
import type { Configuration, Entry } from "./configuration.ts";
import { applyEntry, entryKey, LOG_PREFIX } from "./configuration_log.ts";
import {
  chunkPrefix,
  decodeSnapshotHead,
  readSnapshot,
  SNAPSHOT_HEAD_KEY,
} from "./configuration_snapshot.ts";

/** Why the configuration could not be read. */
export type ReadFailure =
  | { readonly kind: "platform"; readonly failure: PlatformFailure }
  /** A key holds what this program can't read, or is missing. */
  | {
    readonly kind: "unreadable";
    readonly key: string;
    readonly detail: string;
  };

/** A configuration and how it was come by. */
export interface Reading {
  readonly configuration: Configuration;
  /** Entries that were folded one by one. */
  readonly entryCount: number;
}

interface Page {
  readonly items: readonly LogItem[];
  readonly isLast: boolean;
}

/** Small, since an entry may hold a whole manifest. */
const PAGE_ENTRIES = 16;
const MAX_PAGES = 4_096;
const SNAPSHOT_ATTEMPTS = 2;

/** Brings `after` up to the newest entry; the version never falls. */
export async function readConfiguration(
  keyValue: KeyValue,
  after: Configuration,
): Promise<Result<Reading, ReadFailure>> {
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
    const before = configuration;
    configuration = foldPage(configuration, page.val.items);
    entryCount += configuration.version - before.version;
    const isCompacted = page.val.items.some(({ kind }) => kind !== "entry");
    if (page.val.isLast && !isCompacted) {
      return Ok({ configuration, entryCount });
    }
    if (!mayUseSnapshot && !isCompacted) continue;
    const snapshot = await readNewerSnapshot(keyValue, configuration);
    if (snapshot.err) return snapshot;
    if (isCompacted && snapshot.val === configuration) {
      const key = entryKey(configuration.version + 1);
      return unreadable(key, "compacted, and no snapshot covers it");
    }
    configuration = snapshot.val;
    mayUseSnapshot = false;
  }
  return unreadable(LOG_PREFIX, "the log does not come to an end");
}

/**
 * Lists the entries `first` to `last`, oldest first; those that have been
 * compacted are left out.
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
    from: entryKey(version),
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
  const expected = entryKey(version);
  if (key !== expected) return unreadable(expected, "the entry is missing");
  const item = decodeLogItem(value);
  if (item.err) return unreadable(key, item.val.detail);
  const found = item.val.kind === "entry"
    ? item.val.entry.version
    : item.val.version;
  if (found === version) return item;
  return unreadable(key, `holds version ${found}`);
}

function foldPage(
  configuration: Configuration,
  items: readonly LogItem[],
): Configuration {
  let folded = configuration;
  for (const item of items) {
    if (item.kind === "compacted") break;
    folded = applyEntry(folded, item.entry);
  }
  return folded;
}

/** Returns the newest snapshot if it is newer than `configuration`. */
async function readNewerSnapshot(
  keyValue: KeyValue,
  configuration: Configuration,
): Promise<Result<Configuration, ReadFailure>> {
  // A newer snapshot may take the place of the one that is being read.
  for (let attempt = 0; attempt < SNAPSHOT_ATTEMPTS; attempt++) {
    const item = await keyValue.get(SNAPSHOT_HEAD_KEY);
    if (item.err) return Err({ kind: "platform", failure: item.val });
    if (item.val === undefined) return Ok(configuration);
    const head = decodeSnapshotHead(item.val.value);
    if (head.err || head.val.version <= configuration.version) break;
    const chunks = await keyValue.list(chunkPrefix(head.val.version));
    if (chunks.err) return Err({ kind: "platform", failure: chunks.val });
    const snapshot = readSnapshot(head.val, chunks.val.items);
    if (snapshot.ok) return snapshot;
  }
  // The entries may still be there; if they aren't, their marks say so.
  return Ok(configuration);
}

function unreadable(key: string, detail: string): Err<ReadFailure> {
  return Err({ kind: "unreadable", key, detail });
}
