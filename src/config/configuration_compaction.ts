/**
 * Compaction of the configuration log: writes a snapshot, then removes older
 * snapshots and replaces old entries with markers. Any process may run it at
 * any time.
 */
import { Ok, type Result } from "ts-results/result";
import type {
  ConditionalWrite,
  Item,
  KeyValue,
  PlatformFailure,
} from "../store/key_value.ts";
import { encodeCompactionMarker } from "./configuration_codec.ts";
import type { Configuration } from "./configuration.ts";
import { getEntryKey } from "./configuration_log.ts";
import {
  type Chunk,
  createSnapshot,
  decodeSnapshotHead,
  encodeSnapshotHead,
  getChunkVersion,
  SNAPSHOT_HEAD_KEY,
  SNAPSHOT_KEY_PREFIX,
  type SnapshotHead,
} from "./configuration_snapshot.ts";

/** Options of a compaction. */
export interface CompactionOptions {
  /** Number of entries between two snapshots. */
  readonly snapshotInterval: number;
  /** Number of entries before the snapshot that are kept for the history. */
  readonly historyLimit: number;
}

type WriteResult = Result<ConditionalWrite, PlatformFailure>;

/** Chunks listed for removal per compaction; later ones remove the rest. */
const MAX_REMOVED_CHUNKS = 64;

/**
 * Writes a snapshot of `configuration` if the newest snapshot is at least an
 * interval older, then compacts; the value tells whether this was done. It may
 * be interrupted at any call: the pointer is written after all chunks, and a
 * later compaction removes what remains.
 */
export async function compactLog(
  keyValue: KeyValue,
  configuration: Configuration,
  { snapshotInterval, historyLimit }: CompactionOptions,
): Promise<Result<boolean, PlatformFailure>> {
  const current = await keyValue.get(SNAPSHOT_HEAD_KEY);
  if (current.err) return current;
  const previousVersion = getSnapshotVersion(current.val);
  const { version } = configuration;
  if (version < previousVersion + snapshotInterval) return Ok(false);

  const { head, chunks } = createSnapshot(configuration);
  for (const chunk of chunks) {
    const isStored = await writeChunk(keyValue, chunk);
    if (isStored.err || !isStored.val) return isStored;
  }
  const written = await writeHead(keyValue, head, { current: current.val });
  if (written.err) return written;
  if (written.val.kind === "conflict") return Ok(false);

  const removed = await removeChunks(keyValue, previousVersion);
  if (removed.err) return removed;
  const last = version - historyLimit;
  // Starts two intervals earlier to cover what an interrupted compaction left.
  const first = Math.max(1, last - 2 * snapshotInterval);
  const compaction = await compactEntries(keyValue, { first, last });
  return compaction.err ? compaction : Ok(true);
}

function getSnapshotVersion(item: Item | undefined): number {
  if (item === undefined) return 0;
  const head = decodeSnapshotHead(item.value);
  return head.ok ? head.val.version : 0;
}

/** The value is false if another process stored a different chunk. */
async function writeChunk(
  keyValue: KeyValue,
  { key, value }: Chunk,
): Promise<Result<boolean, PlatformFailure>> {
  const write = await keyValue.create(key, value);
  if (write.err) return write;
  if (write.val.kind === "written") return Ok(true);
  return Ok(write.val.current?.value === value);
}

function writeHead(
  keyValue: KeyValue,
  head: SnapshotHead,
  { current }: { current: Item | undefined },
): Promise<WriteResult> {
  const text = encodeSnapshotHead(head);
  if (current === undefined) return keyValue.create(SNAPSHOT_HEAD_KEY, text);
  const { revision } = current;
  return keyValue.replace(SNAPSHOT_HEAD_KEY, text, { revision });
}

/**
 * Removes the chunks of snapshots before `version`. A reader may still be
 * reading the snapshot `version` itself.
 */
async function removeChunks(
  keyValue: KeyValue,
  version: number,
): Promise<Result<void, PlatformFailure>> {
  const listing = await keyValue.list(SNAPSHOT_KEY_PREFIX, {
    limit: MAX_REMOVED_CHUNKS,
  });
  if (listing.err) return listing;
  for (const { key, revision } of listing.val.items) {
    const chunkVersion = getChunkVersion(key);
    if (chunkVersion === undefined || chunkVersion >= version) continue;
    const write: WriteResult = await keyValue.remove(key, revision);
    if (write.err) return write;
  }
  return Ok(undefined);
}

async function compactEntries(
  keyValue: KeyValue,
  { first, last }: { first: number; last: number },
): Promise<Result<void, PlatformFailure>> {
  for (let version = first; version <= last; version++) {
    const compaction = await compactEntry(keyValue, version);
    if (compaction.err) return compaction;
  }
  return Ok(undefined);
}

async function compactEntry(
  keyValue: KeyValue,
  version: number,
): Promise<Result<void, PlatformFailure>> {
  const key = getEntryKey(version);
  const item = await keyValue.get(key);
  if (item.err) return item;
  const marker = encodeCompactionMarker(version);
  if (item.val === undefined || item.val.value === marker) return Ok(undefined);
  const { revision } = item.val;
  const write: WriteResult = await keyValue.replace(key, marker, { revision });
  return write.err ? write : Ok(undefined);
}
