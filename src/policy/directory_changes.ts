/**
 * Changes of a pool's chat directory that are replicated to the other replicas.
 * Without them, a replica that becomes the owner would start with an empty
 * directory.
 *
 * Only a chat that is new or has moved to another upstream is a change; a
 * request to the upstream that the replicas already have for the chat is not.
 * On the wire, a change is 14 bytes in base64: both halves of the chat's hash,
 * the tokens, and the index of the upstream in a table of names.
 */
import { Buffer } from "node:buffer";
import type { ChatHash } from "./chat_directory.ts";

/** Where one chat was last served. */
export interface ChatChange {
  readonly chat: ChatHash;
  /** Name of the upstream, because indices differ between routers. */
  readonly upstream: string;
  readonly tokens: number;
}

/** Changes as they are sent over the wire. */
export interface EncodedChanges {
  /** Upstream names that the rows refer to by index. */
  readonly names: readonly string[];
  /** Rows of 14 bytes each, in base64. */
  readonly rows: string;
}

/** Changes that are waiting to be sent; only the newest of each chat. */
export interface DirectoryChanges {
  /** Number of waiting changes. */
  readonly size: number;
  /** Records a change; replaces an earlier change of the same chat. */
  recordChange(change: ChatChange): void;
  /** Removes and returns up to `limit` changes, oldest first. */
  take(limit: number): ChatChange[];
}

const ROW_BYTES = 14;
const TOKENS_OFFSET = 8;
const NAME_INDEX_OFFSET = 12;

/** Creates an empty set of changes. */
export function createDirectoryChanges(): DirectoryChanges {
  const changes = new Map<string, ChatChange>();
  return {
    get size() {
      return changes.size;
    },
    recordChange(change) {
      const { hi, lo } = change.chat;
      changes.set(`${hi}:${lo}`, change);
    },
    take(limit) {
      const taken: ChatChange[] = [];
      for (const [key, change] of changes) {
        if (taken.length >= limit) break;
        changes.delete(key);
        taken.push(change);
      }
      return taken;
    },
  };
}

/** Encodes changes for the wire. */
export function encodeChanges(changes: readonly ChatChange[]): EncodedChanges {
  const names = [...new Set(changes.map(({ upstream }) => upstream))];
  const indices = new Map(names.map((name, index) => [name, index]));
  const rows = Buffer.alloc(changes.length * ROW_BYTES);
  changes.forEach(({ chat, upstream, tokens }, index) => {
    const at = index * ROW_BYTES;
    rows.writeUInt32LE(chat.hi >>> 0, at);
    rows.writeUInt32LE(chat.lo >>> 0, at + 4);
    rows.writeUInt32LE(Math.max(0, Math.trunc(tokens)), at + TOKENS_OFFSET);
    rows.writeUInt16LE(indices.get(upstream)!, at + NAME_INDEX_OFFSET);
  });
  return { names, rows: rows.toString("base64") };
}

/** Decodes changes; undefined if they are malformed. */
export function tryDecodeChanges(
  { names, rows }: EncodedChanges,
): ChatChange[] | undefined {
  const bytes = Buffer.from(rows, "base64");
  if (bytes.length % ROW_BYTES !== 0) return undefined;
  const changes: ChatChange[] = [];
  for (let at = 0; at < bytes.length; at += ROW_BYTES) {
    const upstream = names[bytes.readUInt16LE(at + NAME_INDEX_OFFSET)];
    if (upstream === undefined) return undefined;
    const hi = bytes.readUInt32LE(at);
    const lo = bytes.readUInt32LE(at + 4);
    const tokens = bytes.readUInt32LE(at + TOKENS_OFFSET);
    changes.push({ chat: { hi, lo }, upstream, tokens });
  }
  return changes;
}
