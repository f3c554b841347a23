/**
 * Reads a JSON object with one long list while its text arrives. Each element is
 * handed over and dropped before the next one is read, and long strings that are
 * of no use are dropped as they arrive, so that neither the number of elements
 * nor their length bounds what can be read.
 */
import type { Buffer } from "node:buffer";
import { ByteCollector } from "../transport/byte_collector.ts";

/** An answer is longer, or has more values, than a client reads. */
export class OversizeError extends RangeError {}

/** Options of a `JsonListReader`. */
export interface JsonListOptions {
  /** Name of the list, a field of the outermost object. */
  readonly name: string;
  /**
   * Receives each element, an object. With `isShortened`, a string of it was
   * longer than allowed and is empty here. A thrown error is thrown by `finish`.
   */
  readonly onElement: (element: unknown, isShortened: boolean) => void;
  /**
   * Returns the allowed length of a string in bytes, by the text of its element
   * before it. Not called for short strings.
   */
  readonly getMaxStringBytes: (textBefore: string) => number;
}

const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const QUOTE = 0x22;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;
const OPENING_BRACKET = 0x5b;
const CLOSING_BRACKET = 0x5d;
/** Space, tab, carriage return and line feed. */
const WHITE_SPACE: ReadonlySet<number> = new Set([0x20, 0x09, 0x0d, 0x0a]);
/** Depth of the fields of the outermost object. */
const FIELD_DEPTH = 1;
/** Depth between the elements of the list. */
const LIST_DEPTH = 2;
/** Strings up to this length are always kept. */
const SHORT_STRING_BYTES = 16_384;
/** Text outside the list, and of an element without its long strings. */
const MAX_TEXT_BYTES = 65_536;
/** Values of an element; items of the known services have up to eight fields. */
const MAX_ELEMENT_VALUES = 64;
/** Values that are read after an element that is not valid. */
const MAX_INVALID_VALUES = 131_072;

/** Reads one text. */
export class JsonListReader {
  readonly #options: JsonListOptions;
  /** Text outside the list. */
  readonly #rest = new ByteCollector();
  /** Text of an element that began in an earlier part. */
  readonly #element = new ByteCollector();
  #depth = 0;
  #isInList = false;
  #isInString = false;
  /** Whether the last byte was a backslash that escapes the next one. */
  #isEscaped = false;
  /** Length of the current string so far, in bytes. */
  #stringBytes = 0;
  /** Allowed length of the current string; undefined while it is short. */
  #maxStringBytes: number | undefined;
  /** Whether the rest of the current string is dropped. */
  #isDropping = false;
  #isShortened = false;
  #elementValues = 0;
  /** Bytes of long strings of the element. */
  #longBytes = 0;
  /** Why the text is not valid; its rest is only counted. */
  #fault: { readonly cause: unknown } | undefined;
  #invalidValues = 0;
  #count = 0;

  constructor(options: JsonListOptions) {
    this.#options = options;
  }

  /** Number of elements that were handed over. */
  get count(): number {
    return this.#count;
  }

  /** Reads the next part of the text; throws `OversizeError`. */
  push(chunk: Buffer): void {
    let index = 0;
    // Start of what was read of the part and is not kept yet.
    let runStart = 0;
    while (index < chunk.length) {
      if (this.#fault !== undefined) return this.#countValues(chunk, index);
      if (this.#isInString) {
        const start = index;
        index = this.#findStringEnd(chunk, start);
        runStart = this.#readString(chunk, { runStart, start, end: index });
        if (index === chunk.length) break;
        this.#isInString = false;
        index++;
        continue;
      }
      const byte = chunk[index]!;
      const isBetween = this.#isInList && this.#depth === LIST_DEPTH;
      if (isBetween && byte !== CLOSING_BRACKET) {
        runStart = this.#readBetween(byte, index);
        index++;
        continue;
      }
      index++;
      switch (byte) {
        case QUOTE:
          this.#beginString();
          break;
        case COMMA:
          this.#elementValues++;
          break;
        case OPENING_BRACE:
        case OPENING_BRACKET:
          this.#elementValues++;
          this.#depth++;
          if (byte === OPENING_BRACKET && this.#depth === LIST_DEPTH) {
            this.#keep(chunk, runStart, index);
            runStart = index;
            this.#isInList ||= this.#isAtList();
          }
          break;
        case CLOSING_BRACE:
        case CLOSING_BRACKET:
          this.#depth--;
          if (this.#isInList && this.#depth === LIST_DEPTH) {
            this.#endElement(chunk, runStart, index);
            runStart = index;
          } else if (this.#depth === FIELD_DEPTH) this.#isInList = false;
          break;
      }
    }
    if (this.#fault === undefined) this.#keep(chunk, runStart, chunk.length);
  }

  /**
   * Returns the object with an empty list. Throws if the text was not complete
   * or not valid.
   */
  finish(): unknown {
    if (this.#fault !== undefined) throw this.#fault.cause;
    return JSON.parse(this.#rest.take().toString("utf8"));
  }

  /** Whether the position is within an element. */
  get #isInElement(): boolean {
    return this.#isInList && this.#depth > LIST_DEPTH;
  }

  /** Reads a byte between two elements; returns where the next run begins. */
  #readBetween(byte: number, index: number): number {
    if (byte === COMMA || WHITE_SPACE.has(byte)) return index + 1;
    if (byte !== OPENING_BRACE) {
      this.#fault = { cause: new SyntaxError("an element is no object") };
      return index;
    }
    this.#depth++;
    this.#elementValues = 0;
    this.#longBytes = 0;
    return index;
  }

  /** Whether the text so far ends where the list begins. */
  #isAtList(): boolean {
    const text = this.#rest.take();
    this.#rest.push(text);
    const tail = text.toString("utf8").replace(/\s*:\s*\[$/, "");
    return tail.endsWith(JSON.stringify(this.#options.name));
  }

  #beginString(): void {
    this.#isInString = true;
    this.#stringBytes = 0;
    this.#maxStringBytes = undefined;
    this.#isDropping = false;
  }

  /**
   * Reads the part of a string from `start` to `end`. Returns where the run then
   * begins, which is later if the string is dropped.
   */
  #readString(
    chunk: Buffer,
    { runStart, start, end }: { runStart: number; start: number; end: number },
  ): number {
    if (!this.#isInElement) return runStart;
    if (this.#isDropping) return end;
    const before = this.#stringBytes;
    this.#stringBytes += end - start;
    if (this.#stringBytes <= SHORT_STRING_BYTES) return runStart;
    this.#element.push(chunk.subarray(runStart, start));
    this.#maxStringBytes ??= this.#options.getMaxStringBytes(
      this.#takeTextBefore(before, { isKept: true }).toString("utf8"),
    );
    if (this.#longBytes + this.#stringBytes > this.#maxStringBytes) {
      this.#isDropping = true;
      this.#isShortened = true;
      this.#takeTextBefore(before, { isKept: false });
      return end;
    }
    this.#element.push(chunk.subarray(start, end));
    if (end < chunk.length) this.#longBytes += this.#stringBytes;
    return end;
  }

  /**
   * Returns the text of the element without its last `bytes`, which stay in it
   * only if they are kept.
   */
  #takeTextBefore(bytes: number, { isKept }: { isKept: boolean }): Buffer {
    const text = this.#element.take();
    const before = text.subarray(0, text.length - bytes);
    this.#element.push(isKept ? text : before);
    return before;
  }

  /** Returns the index of the closing quote, or the length without one. */
  #findStringEnd(chunk: Buffer, start: number): number {
    let index = this.#isEscaped ? start + 1 : start;
    this.#isEscaped = false;
    let quote = -1;
    for (;;) {
      if (quote < index) quote = chunk.indexOf(QUOTE, index);
      if (quote < 0) quote = chunk.length;
      const offset = chunk.subarray(index, quote).indexOf(BACKSLASH);
      if (offset < 0) return quote;
      index += offset + 2;
      if (index > chunk.length) {
        this.#isEscaped = true;
        return chunk.length;
      }
    }
  }

  #keep(chunk: Buffer, start: number, end: number): void {
    if (start >= end) return;
    const part = chunk.subarray(start, end);
    if (this.#isInElement) {
      this.#element.push(part);
      this.#checkElement(this.#element.length);
      return;
    }
    this.#rest.push(part);
    if (this.#rest.length > MAX_TEXT_BYTES) {
      throw new OversizeError("the text around the list is too large");
    }
  }

  /** Checks an element with `bytes` so far, apart from its long strings. */
  #checkElement(bytes: number): void {
    const openBytes = this.#maxStringBytes === undefined || !this.#isInString
      ? 0
      : this.#stringBytes;
    const isTooLong = bytes - this.#longBytes - openBytes > MAX_TEXT_BYTES;
    if (isTooLong || this.#elementValues > MAX_ELEMENT_VALUES) {
      throw new OversizeError("an element of the list is too large");
    }
  }

  #endElement(chunk: Buffer, start: number, end: number): void {
    this.#checkElement(this.#element.length + end - start);
    let text: string;
    if (this.#element.length === 0) text = chunk.toString("utf8", start, end);
    else {
      this.#element.push(chunk.subarray(start, end));
      text = this.#element.take().toString("utf8");
    }
    const isShortened = this.#isShortened;
    this.#isShortened = false;
    try {
      this.#options.onElement(JSON.parse(text), isShortened);
      this.#count++;
    } catch (cause) {
      this.#fault = { cause };
    }
  }

  /** Counts the marks that precede values, also those within strings. */
  #countValues(chunk: Buffer, start: number): void {
    for (let index = start; index < chunk.length; index++) {
      const byte = chunk[index];
      const isMark = byte === COMMA || byte === OPENING_BRACE ||
        byte === OPENING_BRACKET;
      if (isMark) this.#invalidValues++;
    }
    if (this.#invalidValues > MAX_INVALID_VALUES) {
      throw new OversizeError(
        `more than ${MAX_INVALID_VALUES} values follow an invalid element`,
      );
    }
  }
}
