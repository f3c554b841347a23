/**
 * Messages between routers about streams that callers may resume, and their
 * validation.
 *
 * `streams` is a JSON-RPC notification, `find-stream` a JSON-RPC request whose
 * result is a `StreamFinding`.
 */
import type { JSONRPCID } from "json-rpc-2.0";
import { isEventId, type StreamPosition } from "../policy/event_order.ts";
import {
  MAX_STREAM_MS,
  type StreamRecord,
  type UnprovenOrigin,
} from "../policy/stream_origins.ts";

/** Streams that `router` has begun. */
export interface StreamsMessage {
  readonly router: string;
  readonly streams: readonly StreamRecord[];
}

/** Question for what began a stream. */
export interface StreamQuestion {
  readonly router: string;
  readonly key: string;
  readonly service: string;
  /** Time in which the stream may have begun, in milliseconds. */
  readonly spanMs: number;
}

/** What `router` knows of a stream. */
export interface StreamFinding {
  readonly router: string;
  /** Absent if the router doesn't know the stream. */
  readonly stream?: StreamRecord;
  /** Only version that the service had in the span. */
  readonly soleVersion?: string;
  /** Whether it had several; absent, as `soleVersion`, if that is unknown. */
  readonly hasSeveralVersions?: boolean;
  /**
   * Time since the store confirmed what the router knows of the versions, in
   * milliseconds; absent if it never did, and from older builds.
   */
  readonly viewAgeMs?: number;
}

/** A message about streams that was parsed and validated. */
export type StreamMessage =
  | { readonly kind: "streams"; readonly message: StreamsMessage }
  | {
    readonly kind: "find-stream";
    readonly id: JSONRPCID;
    readonly question: StreamQuestion;
  }
  | {
    readonly kind: "stream-finding";
    readonly id: JSONRPCID;
    readonly finding: StreamFinding;
  };

/** Streams in one message, which keep it below the size of a datagram. */
export const MAX_MESSAGE_STREAMS = 64;
/** Exceeds the length of names of services and versions. */
const MAX_NAME_LENGTH = 200;
/** Exceeds the length of the keys of streams. */
const MAX_KEY_LENGTH = 32;

function isText(value: unknown, maxLength: number): value is string {
  return typeof value === "string" && value.length <= maxLength;
}

function isSpan(value: unknown): boolean {
  return Number.isInteger(value) && (value as number) >= 0 &&
    (value as number) <= MAX_STREAM_MS;
}

function isWholeNumber(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isUnprovenOrigin(value: unknown): value is UnprovenOrigin {
  if (typeof value !== "object" || value === null) return false;
  const { upstream, bornAt, softwareVersion } = value as Record<
    string,
    unknown
  >;
  return isText(upstream, MAX_NAME_LENGTH) && isWholeNumber(bornAt) &&
    isText(softwareVersion, MAX_NAME_LENGTH);
}

function isPositionId(value: unknown): boolean {
  return typeof value === "string" && isEventId(value);
}

function isStreamPosition(value: unknown): value is StreamPosition {
  if (typeof value !== "object" || value === null) return false;
  const { lastId, secondLastId, isCounted } = value as Record<string, unknown>;
  return isPositionId(lastId) && typeof isCounted === "boolean" &&
    (secondLastId === undefined || isPositionId(secondLastId));
}

function isStreamRecord(value: unknown): value is StreamRecord {
  if (typeof value !== "object" || value === null) return false;
  const { key, service, softwareVersion, unproven, position, remainingMs } =
    value as Partial<Record<keyof StreamRecord, unknown>>;
  return isText(key, MAX_KEY_LENGTH) && isText(service, MAX_NAME_LENGTH) &&
    isText(softwareVersion, MAX_NAME_LENGTH) && isSpan(remainingMs) &&
    (unproven === undefined || isUnprovenOrigin(unproven)) &&
    (position === undefined || isStreamPosition(position));
}

/** Whether `value` is the content of a `streams` notification. */
export function isStreamsMessage(value: unknown): value is StreamsMessage {
  if (typeof value !== "object" || value === null) return false;
  const { router, streams } = value as Record<string, unknown>;
  return typeof router === "string" && Array.isArray(streams) &&
    streams.length <= MAX_MESSAGE_STREAMS && streams.every(isStreamRecord);
}

/** Whether `value` is the content of a `find-stream` request. */
export function isStreamQuestion(value: unknown): value is StreamQuestion {
  if (typeof value !== "object" || value === null) return false;
  const { router, key, service, spanMs } = value as Record<string, unknown>;
  return typeof router === "string" && isText(key, MAX_KEY_LENGTH) &&
    isText(service, MAX_NAME_LENGTH) && isSpan(spanMs);
}

/** Whether `value` is the result of a `find-stream` request. */
export function isStreamFinding(value: unknown): value is StreamFinding {
  if (typeof value !== "object" || value === null) return false;
  const { router, stream, soleVersion, hasSeveralVersions, viewAgeMs } =
    value as Record<string, unknown>;
  return typeof router === "string" &&
    (stream === undefined || isStreamRecord(stream)) &&
    (soleVersion === undefined || isText(soleVersion, MAX_NAME_LENGTH)) &&
    (hasSeveralVersions === undefined ||
      typeof hasSeveralVersions === "boolean") &&
    (viewAgeMs === undefined || isWholeNumber(viewAgeMs));
}
