/**
 * Decodes the elements of the metadata store's answers while they arrive.
 */
import type { StoreChange } from "../routing/types.ts";
import { decodeItem, type RawItem } from "./documents.ts";
import {
  isNumberWithin,
  MAX_CONFIGURATION_BYTES,
  MAX_ENTRY_BYTES,
  NUMBERS,
} from "./field_limits.ts";
import { asFields, FieldError } from "./fields.ts";
import { KEYS } from "./names.ts";

/** Unreadable items that are remembered, to report each once. */
const MAX_UNREADABLE = 1_024;
/** Most reports of unreadable items in an interval. */
const MAX_REPORTS = 32;
const REPORT_INTERVAL_MS = 10_000;
/** More than the 200 bytes to which the platform bounds keys. */
const MAX_KEY_LENGTH = 1_024;
/** Characters of base64 for three bytes. */
const BASE64_CHARACTERS = 4;
const BASE64_BYTES = 3;
/** Finds the key in the text of an item before its value. */
const KEY_FIELD = /"key"\s*:\s*("(?:[^"\\]|\\.)*")/;

/** Prefixes of the keys that a router reads, besides the configuration's. */
export const READ_PREFIXES = [
  KEYS.routers,
  KEYS.versions,
  KEYS.domainsOut,
  KEYS.rolloutOrders,
  KEYS.upstreams,
  KEYS.rolloutRecords,
] as const;

function getEncodedLength(bytes: number): number {
  return Math.ceil(bytes / BASE64_BYTES) * BASE64_CHARACTERS;
}

/**
 * Returns the number of characters up to which the value of an item may be of
 * use, by the text of the item before it.
 */
export function getMaxValueLength(textBefore: string): number {
  const text = KEY_FIELD.exec(textBefore)?.[1];
  const key = text === undefined ? undefined : JSON.parse(text);
  if (key === undefined || key === KEYS.configuration) {
    return getEncodedLength(MAX_CONFIGURATION_BYTES);
  }
  const isRead = READ_PREFIXES.some((prefix) => key.startsWith(prefix));
  return isRead ? getEncodedLength(MAX_ENTRY_BYTES) : 0;
}

/**
 * Reads the fields of an item or of its removal. The value of one that is
 * oversized was not received.
 */
export function toRawItem(item: unknown, isOversized = false): RawItem {
  const { key, value, deleted, rev } = asFields(item, "item");
  const isDeleted = deleted === true || typeof value !== "string";
  const text = String(key);
  if (text.length > MAX_KEY_LENGTH) {
    throw new FieldError("key", `at most ${MAX_KEY_LENGTH} characters long`);
  }
  return {
    key: text,
    value: isDeleted ? undefined : value,
    isOversized,
    revision: isNumberWithin(rev, NUMBERS.counter) ? rev : undefined,
  };
}

/** Drops the report of an item that is known not to be valid. */
function hideReport(change: StoreChange): StoreChange[] {
  if (change.kind !== "unreadable") return [change];
  // The configuration before it may not be confirmed, whether or not this is new.
  return change.isConfiguration ? [{ ...change, isRepeated: true }] : [];
}

/** Options of an `ItemDecoder`. */
export interface ItemDecoderOptions {
  /** Reads a monotonic clock, in milliseconds. */
  readonly clock: () => number;
}

/** An item that was decoded. */
export interface DecodedItem {
  readonly changes: readonly StoreChange[];
  /** False for one that is unreadable, whether that is reported or not. */
  readonly isValid: boolean;
}

/** Decodes items and limits the reports of those that are unreadable. */
export class ItemDecoder {
  readonly #clock: () => number;
  /** Why items can't be decoded, by key, as last returned. */
  readonly #unreadable = new Map<string, string>();
  #reports = 0;
  #reportsEndAt = -Infinity;

  constructor({ clock }: ItemDecoderOptions) {
    this.#clock = clock;
  }

  /**
   * Decodes an item. One that stays unreadable for the same reason is not
   * reported again: its writer repeats it with each heartbeat.
   */
  decode(raw: RawItem): DecodedItem {
    const changes = decodeItem(raw);
    const unreadable = changes.find(({ kind }) => kind === "unreadable");
    const known = this.#unreadable.get(raw.key);
    this.#unreadable.delete(raw.key);
    if (unreadable?.kind !== "unreadable") return { changes, isValid: true };
    this.#unreadable.set(raw.key, unreadable.reason);
    if (this.#unreadable.size > MAX_UNREADABLE) {
      const [oldest] = this.#unreadable.keys();
      this.#unreadable.delete(oldest!);
    }
    const isReported = known !== unreadable.reason && this.#takeReport();
    return {
      changes: isReported ? changes : changes.flatMap(hideReport),
      isValid: false,
    };
  }

  #takeReport(): boolean {
    const now = this.#clock();
    if (now >= this.#reportsEndAt) {
      this.#reports = 0;
      this.#reportsEndAt = now + REPORT_INTERVAL_MS;
    }
    return ++this.#reports <= MAX_REPORTS;
  }
}

/** Checks that an answer holds only items below the prefix that was asked for. */
export function checkPrefix({ key }: RawItem, prefix: string): void {
  if (!key.startsWith(prefix)) {
    throw new FieldError("key of an item", `below ${prefix}`);
  }
}
