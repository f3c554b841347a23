/**
 * Compacted snapshots of the configuration, cut into chunks that stay below the
 * size limit of the key-value service. The pointer `config/snapshot/head` is
 * written last, so a snapshot that it names is whole.
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
export const SNAPSHOT_PREFIX = "config/snapshot/";
/** Key of the pointer to the newest whole snapshot. */
export const SNAPSHOT_HEAD_KEY = "config/snapshot/head";
/** Largest chunk in bytes. */
export const CHUNK_BYTES = 500 * 1024;

const VERSION_DIGITS = 12;
const CHUNK_DIGITS = 4;

const SnapshotHeadSchema = Type.Object({
  version: Type.Integer({ minimum: 1 }),
  chunks: Type.Integer({ minimum: 1 }),
  /** SHA-256 of the whole text, in hex. */
  digest: Type.String(),
});

/** The pointer to a whole snapshot. */
export type SnapshotHead = Static<typeof SnapshotHeadSchema>;

/** One piece of a snapshot under its key. */
export interface Chunk {
  readonly key: string;
  readonly value: string;
}

/** A snapshot as it is stored. */
export interface Snapshot {
  readonly head: SnapshotHead;
  readonly chunks: readonly Chunk[];
}

const isSnapshotHead = new Ajv().compile<SnapshotHead>(SnapshotHeadSchema);

/** Prefix of the chunks of the snapshot of `version`. */
export function chunkPrefix(version: number): string {
  return `${SNAPSHOT_PREFIX}${String(version).padStart(VERSION_DIGITS, "0")}/`;
}

/** Version of the snapshot that a chunk belongs to; undefined for the head. */
export function getChunkVersion(key: string): number | undefined {
  const match = /^config\/snapshot\/([0-9]+)\//.exec(key);
  return match === null ? undefined : Number(match[1]);
}

/** Cuts a configuration into chunks of at most `chunkBytes`. */
export function createSnapshot(
  configuration: Configuration,
  { chunkBytes = CHUNK_BYTES }: { chunkBytes?: number } = {},
): Snapshot {
  const text = encodeConfiguration(configuration);
  const prefix = chunkPrefix(configuration.version);
  const chunks: Chunk[] = [];
  for (let start = 0; start < text.length; start += chunkBytes) {
    chunks.push({
      key: prefix + String(chunks.length).padStart(CHUNK_DIGITS, "0"),
      value: text.slice(start, start + chunkBytes),
    });
  }
  const { version } = configuration;
  const head = { version, chunks: chunks.length, digest: digest(text) };
  return { head, chunks };
}

/** Joins the chunks of a snapshot, in the order of their keys. */
export function readSnapshot(
  head: SnapshotHead,
  chunks: readonly Chunk[],
): Result<Configuration, UnreadableText> {
  if (chunks.length !== head.chunks) {
    return unreadable(`${chunks.length} of ${head.chunks} chunks are there`);
  }
  const text = chunks.map(({ value }) => value).join("");
  if (digest(text) !== head.digest) return unreadable("the digest differs");
  const configuration = decodeConfiguration(text);
  if (configuration.err) return configuration;
  if (configuration.val.version === head.version) return configuration;
  return unreadable("the version differs from the pointer's");
}

/** Writes the pointer as JSON. */
export function encodeSnapshotHead(head: SnapshotHead): string {
  return JSON.stringify(head);
}

/** Reads the pointer. */
export function decodeSnapshotHead(
  text: string,
): Result<SnapshotHead, UnreadableText> {
  const document = parseJson(text);
  if (document.err) return document;
  if (isSnapshotHead(document.val)) return Ok(document.val);
  return unreadable("the pointer to the snapshot is malformed");
}

function digest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function unreadable(detail: string): Err<UnreadableText> {
  return Err({ kind: "unreadable", detail });
}
