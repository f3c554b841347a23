/**
 * Compaction of the configuration log: writes a snapshot, then drops what only
 * older snapshots and old history need. Any process may do it at any time.
 */
import { Ok, type Result } from "ts-results/result";
import type {
  ConditionalWrite,
  Item,
  KeyValue,
  PlatformFailure,
} from "../store/key_value.ts";
import { encodeCompacted } from "./configuration_codec.ts";
import type { Configuration } from "./configuration.ts";
import { entryKey } from "./configuration_log.ts";
import {
  type Chunk,
  createSnapshot,
  decodeSnapshotHead,
  encodeSnapshotHead,
  getChunkVersion,
  SNAPSHOT_HEAD_KEY,
  SNAPSHOT_PREFIX,
  type SnapshotHead,
} from "./configuration_snapshot.ts";

/** Options of a compaction. */
export interface CompactionOptions {
  /** Entries between two snapshots. */
  readonly snapshotInterval: number;
  /** Entries before the snapshot that are kept for the history. */
  readonly historyLimit: number;
}

type Write = Result<ConditionalWrite, PlatformFailure>;

/** Chunks removed at a time; the rest is left to the next compaction. */
const MAX_REMOVED_CHUNKS = 64;

/**
 * Writes a snapshot of `configuration` if the newest one is an interval older;
 * the value says whether one was written. It may stop anywhere: the pointer is
 * written last, and what is left over goes with a later compaction.
 */
export async function compactLog(
  keyValue: KeyValue,
  configuration: Configuration,
  { snapshotInterval, historyLimit }: CompactionOptions,
): Promise<Result<boolean, PlatformFailure>> {
  const current = await keyValue.get(SNAPSHOT_HEAD_KEY);
  if (current.err) return current;
  const previous = getVersion(current.val);
  const { version } = configuration;
  if (version < previous + snapshotInterval) return Ok(false);

  const { head, chunks } = createSnapshot(configuration);
  for (const chunk of chunks) {
    const isThere = await writeChunk(keyValue, chunk);
    if (isThere.err || !isThere.val) return isThere;
  }
  const written = await writeHead(keyValue, head, { current: current.val });
  if (written.err) return written;
  if (written.val.kind === "conflict") return Ok(false);

  const removed = await removeChunks(keyValue, previous);
  if (removed.err) return removed;
  const last = version - historyLimit;
  // Goes back twice the interval to catch what a broken-off compaction left.
  const first = Math.max(1, last - 2 * snapshotInterval);
  const dropped = await dropEntries(keyValue, { first, last });
  return dropped.err ? dropped : Ok(true);
}

function getVersion(item: Item | undefined): number {
  if (item === undefined) return 0;
  const head = decodeSnapshotHead(item.value);
  return head.ok ? head.val.version : 0;
}

/** The value is false if another program wrote a different chunk there. */
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
): Promise<Write> {
  const text = encodeSnapshotHead(head);
  if (current === undefined) return keyValue.create(SNAPSHOT_HEAD_KEY, text);
  const { revision } = current;
  return keyValue.replace(SNAPSHOT_HEAD_KEY, text, { revision });
}

/** Removes chunks below `version`; a reader may still be at that version. */
async function removeChunks(
  keyValue: KeyValue,
  version: number,
): Promise<Result<void, PlatformFailure>> {
  const listing = await keyValue.list(SNAPSHOT_PREFIX, {
    limit: MAX_REMOVED_CHUNKS,
  });
  if (listing.err) return listing;
  for (const { key, revision } of listing.val.items) {
    const chunkVersion = getChunkVersion(key);
    if (chunkVersion === undefined || chunkVersion >= version) continue;
    const write: Write = await keyValue.remove(key, revision);
    if (write.err) return write;
  }
  return Ok(undefined);
}

async function dropEntries(
  keyValue: KeyValue,
  { first, last }: { first: number; last: number },
): Promise<Result<void, PlatformFailure>> {
  for (let version = first; version <= last; version++) {
    const dropped = await dropEntry(keyValue, version);
    if (dropped.err) return dropped;
  }
  return Ok(undefined);
}

async function dropEntry(
  keyValue: KeyValue,
  version: number,
): Promise<Result<void, PlatformFailure>> {
  const key = entryKey(version);
  const item = await keyValue.get(key);
  if (item.err) return item;
  const mark = encodeCompacted(version);
  if (item.val === undefined || item.val.value === mark) return Ok(undefined);
  const { revision } = item.val;
  const write: Write = await keyValue.replace(key, mark, { revision });
  return write.err ? write : Ok(undefined);
}
