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
  /** Text of the current element up to the current string. */
  readonly #element = new ByteCollector();
  /** The current string of an element without its quotes. */
  readonly #string = new ByteCollector();
  #depth = 0;
  #isInList = false;
  #isInString = false;
  /** Whether the last byte was a backslash that escapes the next one. */
  #isEscaped = false;
  /** Allowed length of the current string; undefined while it is short. */
  #maxStringBytes: number | undefined;
  #isStringDropped = false;
  #isShortened = false;
  #elementValues = 0;
  /** Bytes of the element without long strings. */
  #elementBytes = 0;
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
    while (index < chunk.length) {
      if (this.#fault !== undefined) return this.#countValues(chunk, index);
      index = this.#isInString
        ? this.#readString(chunk, index)
        : this.#readStructure(chunk, index);
    }
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

  /** Reads up to the next string or part; returns where that begins. */
  #readStructure(chunk: Buffer, start: number): number {
    let runStart = start;
    for (let index = start; index < chunk.length; index++) {
      const byte = chunk[index]!;
      if (this.#isInList && this.#depth === LIST_DEPTH) {
        const isSkipped = byte === COMMA || WHITE_SPACE.has(byte);
        if (!isSkipped && byte !== OPENING_BRACE && byte !== CLOSING_BRACKET) {
          this.#fault = { cause: new SyntaxError("an element is no object") };
          return index;
        }
        runStart = isSkipped ? index + 1 : index;
        if (isSkipped) continue;
        this.#elementValues = 0;
        this.#elementBytes = 0;
      }
      if (byte === QUOTE) {
        this.#keep(chunk.subarray(runStart, index + 1));
        this.#isInString = true;
        return index + 1;
      }
      if (byte === COMMA) this.#elementValues++;
      if (byte === OPENING_BRACE || byte === OPENING_BRACKET) {
        this.#depth++;
        this.#elementValues++;
        if (byte === OPENING_BRACKET && this.#depth === LIST_DEPTH) {
          this.#keep(chunk.subarray(runStart, index + 1));
          runStart = index + 1;
          this.#isInList ||= this.#isAtList();
        }
      } else if (byte === CLOSING_BRACE || byte === CLOSING_BRACKET) {
        this.#depth--;
        if (this.#isInList && this.#depth === LIST_DEPTH) {
          this.#keepElement(chunk.subarray(runStart, index + 1));
          this.#endElement();
          if (this.#fault !== undefined) return index + 1;
          runStart = index + 1;
        } else if (this.#depth === FIELD_DEPTH) this.#isInList = false;
      }
    }
    this.#keep(chunk.subarray(runStart));
    return chunk.length;
  }

  /** Whether the text so far ends where the list begins. */
  #isAtList(): boolean {
    const text = this.#rest.take();
    this.#rest.push(text);
    const tail = text.toString("utf8").replace(/\s*:\s*\[$/, "");
    return tail.endsWith(JSON.stringify(this.#options.name));
  }

  #readString(chunk: Buffer, start: number): number {
    const end = this.#findStringEnd(chunk, start);
    const part = chunk.subarray(start, end);
    if (this.#isInElement) this.#keepString(part);
    else this.#keep(part);
    if (end === chunk.length) return end;
    this.#isInString = false;
    if (this.#isInElement) this.#endString();
    this.#keep(chunk.subarray(end, end + 1));
    return end + 1;
  }

  /** Returns the index of the closing quote, or the length without one. */
  #findStringEnd(chunk: Buffer, start: number): number {
    let index = this.#isEscaped ? start + 1 : start;
    this.#isEscaped = false;
    let quote = -1;
    for (;;) {
      if (quote < index) quote = chunk.indexOf(QUOTE, index);
      const end = quote < 0 ? chunk.length : quote;
      const offset = chunk.subarray(index, end).indexOf(BACKSLASH);
      if (offset < 0) return end;
      index += offset + 2;
      if (index > chunk.length) {
        this.#isEscaped = true;
        return chunk.length;
      }
      if (quote < 0) quote = chunk.length;
    }
  }

  #keep(part: Buffer): void {
    if (this.#isInElement) return this.#keepElement(part);
    this.#rest.push(part);
    if (this.#rest.length > MAX_TEXT_BYTES) {
      throw new OversizeError("the text around the list is too large");
    }
  }

  #keepElement(part: Buffer): void {
    this.#element.push(part);
    this.#elementBytes += part.length;
    if (
      this.#elementBytes > MAX_TEXT_BYTES ||
      this.#elementValues > MAX_ELEMENT_VALUES
    ) {
      throw new OversizeError("an element of the list is too large");
    }
  }

  #keepString(part: Buffer): void {
    if (this.#isStringDropped) return;
    this.#string.push(part);
    if (this.#string.length <= SHORT_STRING_BYTES) return;
    if (this.#maxStringBytes === undefined) {
      const before = this.#element.take();
      this.#element.push(before);
      this.#maxStringBytes = this.#options.getMaxStringBytes(
        before.toString("utf8"),
      );
    }
    const longBytes = this.#element.length - this.#elementBytes;
    if (this.#string.length + longBytes <= this.#maxStringBytes) return;
    this.#string.clear();
    this.#isStringDropped = true;
    this.#isShortened = true;
  }

  #endString(): void {
    const text = this.#string.take();
    // The rest of a long string counts against the limit of long strings.
    this.#elementBytes += Math.min(text.length, SHORT_STRING_BYTES);
    this.#element.push(text);
    this.#isStringDropped = false;
    this.#maxStringBytes = undefined;
  }

  #endElement(): void {
    const isShortened = this.#isShortened;
    const text = this.#element.take().toString("utf8");
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
