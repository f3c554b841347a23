/**
 * Compacted snapshots of the configuration, split into chunks below the size
 * limit of the key-value service. The pointer `config/snapshot/head` is written
 * last, so the snapshot that it names is complete.
 */
import { createHash } from "node:crypto";
import { type Static, Type } from "@sinclair/typebox";
import { Ajv } from "ajv";
import { Err, Ok, type Result } from "ts-results/result";
import type { Configuration } from "./configuration.ts";
import {
  decodeConfiguration,
  encodeConfiguration,
  parseJson,
  type UnreadableText,
} from "./configuration_codec.ts";

/** Prefix of the keys of all snapshots. */
export const SNAPSHOT_KEY_PREFIX = "config/snapshot/";
/** Key of the pointer to the newest complete snapshot. */
export const SNAPSHOT_HEAD_KEY = "config/snapshot/head";
/** Maximum size of a chunk; the encoded text is ASCII, a byte a character. */
export const MAX_CHUNK_BYTES = 500 * 1024;

const VERSION_DIGITS = 12;
const CHUNK_DIGITS = 4;

const SnapshotHeadSchema = Type.Object({
  version: Type.Integer({ minimum: 1 }),
  chunks: Type.Integer({ minimum: 1 }),
  /** SHA-256 of the joined chunks, in hexadecimal. */
  digest: Type.String(),
});

/** The pointer to a complete snapshot. */
export type SnapshotHead = Static<typeof SnapshotHeadSchema>;

/** A part of a snapshot's text and the key that it is stored under. */
export interface Chunk {
  readonly key: string;
  readonly value: string;
}

/** A snapshot in its stored form. */
export interface Snapshot {
  readonly head: SnapshotHead;
  readonly chunks: readonly Chunk[];
}

const isSnapshotHead = new Ajv().compile<SnapshotHead>(SnapshotHeadSchema);

/** Returns the key prefix of the chunks of the snapshot of `version`. */
export function getChunkKeyPrefix(version: number): string {
  return `${SNAPSHOT_KEY_PREFIX}${
    String(version).padStart(VERSION_DIGITS, "0")
  }/`;
}

/** Returns the snapshot version in a chunk's key; undefined for the pointer. */
export function getChunkVersion(key: string): number | undefined {
  const match = /^config\/snapshot\/([0-9]+)\//.exec(key);
  return match === null ? undefined : Number(match[1]);
}

/** Encodes a configuration and splits it into chunks of up to `chunkBytes`. */
export function createSnapshot(
  configuration: Configuration,
  { chunkBytes = MAX_CHUNK_BYTES }: { chunkBytes?: number } = {},
): Snapshot {
  const text = encodeConfiguration(configuration);
  const prefix = getChunkKeyPrefix(configuration.version);
  const chunks: Chunk[] = [];
  for (let start = 0; start < text.length; start += chunkBytes) {
    chunks.push({
      key: prefix + String(chunks.length).padStart(CHUNK_DIGITS, "0"),
      value: text.slice(start, start + chunkBytes),
    });
  }
  const { version } = configuration;
  const head = { version, chunks: chunks.length, digest: computeDigest(text) };
  return { head, chunks };
}

/**
 * Decodes a snapshot from its chunks, which must be in the order of their keys.
 * Fails when a chunk is missing or the text does not match the pointer.
 */
export function readSnapshot(
  head: SnapshotHead,
  chunks: readonly Chunk[],
): Result<Configuration, UnreadableText> {
  if (chunks.length !== head.chunks) {
    return createUnreadable(`found ${chunks.length} of ${head.chunks} chunks`);
  }
  const text = chunks.map(({ value }) => value).join("");
  if (computeDigest(text) !== head.digest) {
    return createUnreadable("the digest does not match the pointer");
  }
  const configuration = decodeConfiguration(text);
  if (configuration.err) return configuration;
  if (configuration.val.version === head.version) return configuration;
  return createUnreadable("the version does not match the pointer");
}

/** Encodes the pointer as JSON. */
export function encodeSnapshotHead(head: SnapshotHead): string {
  return JSON.stringify(head);
}

/** Decodes the pointer; fails when the text is malformed. */
export function decodeSnapshotHead(
  text: string,
): Result<SnapshotHead, UnreadableText> {
  const document = parseJson(text);
  if (document.err) return document;
  if (isSnapshotHead(document.val)) return Ok(document.val);
  return createUnreadable("the pointer to the snapshot is malformed");
}

function computeDigest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function createUnreadable(detail: string): Err<UnreadableText> {
  return Err({ kind: "unreadable", detail });
}
