/**
 * Reads typed fields of untrusted JSON documents. The functions throw
 * `FieldError` if a value is missing, malformed or out of its limits.
 */
import {
  isNumberWithin,
  isTextWithin,
  MAX_DEPTH,
  type NumberLimit,
  type TextLimit,
} from "./field_limits.ts";

/** A field of a document is missing or not of the expected type or range. */
export class FieldError extends Error {
  constructor(field: string, expected: string) {
    // Documents of other programs may cause many; the message says where.
    const { stackTraceLimit } = Error;
    Error.stackTraceLimit = 0;
    super(`${field} is not ${expected}`);
    Error.stackTraceLimit = stackTraceLimit;
    this.name = "FieldError";
  }
}

/** A JSON object whose fields are not checked yet. */
export type Fields = Readonly<Record<string, unknown>>;

const BACKSLASH = 0x5c;
const QUOTE = 0x22;
/** By this bit braces differ from brackets. */
const BRACE_BIT = 0x20;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;

/** Whether the nesting of a JSON text is deeper than `maxDepth`. */
function isDeeper(text: string, maxDepth: number): boolean {
  let depth = 0;
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) index = findEndOfString(text, index);
    else if ((code | BRACE_BIT) === OPENING_BRACE) depth++;
    else if ((code | BRACE_BIT) === CLOSING_BRACE) depth--;
    if (depth > maxDepth) return true;
  }
  return false;
}

/** Returns the index of the quote that ends the string that begins at `start`. */
function findEndOfString(text: string, start: number): number {
  let index = start + 1;
  for (; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (code === BACKSLASH) index++;
    else if (code === QUOTE) break;
  }
  return index;
}

/**
 * Replaces the objects and arrays of a JSON text that are nested deeper than
 * `maxDepth` by null.
 */
function dropDeeper(text: string, maxDepth: number): string {
  let kept = "";
  let keptFrom = 0;
  let depth = 0;
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) index = findEndOfString(text, index);
    else if ((code | BRACE_BIT) === OPENING_BRACE) {
      if (depth++ === maxDepth) kept += `${text.slice(keptFrom, index)}null`;
    } else if ((code | BRACE_BIT) === CLOSING_BRACE) {
      if (--depth === maxDepth) keptFrom = index + 1;
    }
  }
  return depth > maxDepth ? kept : kept + text.slice(keptFrom);
}

/** Options of `parseJson`. */
export interface ParseOptions {
  /** Name of the text in errors, which don't quote it. */
  readonly name: string;
  /** In UTF-16 units. */
  readonly maxLength: number;
  /** Whether values that are nested too deep are null; an error by default. */
  readonly dropsDeepValues?: boolean;
}

/**
 * Parses a JSON text. The nesting is bounded first: `JSON.parse` accepts any, on
 * which all that recurses later overflows the stack.
 */
export function parseJson(
  text: string,
  { name, maxLength, dropsDeepValues = false }: ParseOptions,
): unknown {
  if (text.length > maxLength) {
    throw new FieldError(name, `at most ${maxLength} characters long`);
  }
  const isTooDeep = isDeeper(text, MAX_DEPTH);
  if (isTooDeep && !dropsDeepValues) {
    throw new FieldError(name, `nested at most ${MAX_DEPTH} levels deep`);
  }
  try {
    return JSON.parse(isTooDeep ? dropDeeper(text, MAX_DEPTH) : text);
  } catch {
    // The message of the error holds parts of the text.
    throw new FieldError(name, "JSON");
  }
}

/** Checks that `value`, called `name` in errors, is a JSON object. */
export function asFields(value: unknown, name: string): Fields {
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return value as Fields;
  }
  throw new FieldError(name, "an object");
}

/** Reads an array. */
export function getList(fields: Fields, name: string): readonly unknown[] {
  const value = fields[name];
  if (Array.isArray(value)) return value;
  throw new FieldError(name, "an array");
}

/** Checks a text, called `name` in errors. */
export function asText(value: unknown, name: string, limit: TextLimit): string {
  if (isTextWithin(value, limit)) return value;
  throw new FieldError(name, limit.expected);
}

/** Reads a text. */
export function getText(
  fields: Fields,
  name: string,
  limit: TextLimit,
): string {
  return asText(fields[name], name, limit);
}

/** Reads a text like `getText`; undefined if the field is absent. */
export function tryText(
  fields: Fields,
  name: string,
  limit: TextLimit,
): string | undefined {
  return fields[name] === undefined ? undefined : getText(fields, name, limit);
}

/** Reads a number. */
export function getNumber(
  fields: Fields,
  name: string,
  limit: NumberLimit,
): number {
  const value = fields[name];
  if (isNumberWithin(value, limit)) {
    // Without the sign of a zero, by which equal entries would differ.
    return value === 0 ? 0 : value;
  }
  const { min, max, isInteger } = limit;
  const kind = isInteger ? "an integer" : "a number";
  throw new FieldError(name, `${kind} from ${min} to ${max}`);
}

/** Reads a number like `getNumber`; undefined if the field is absent. */
export function tryNumber(
  fields: Fields,
  name: string,
  limit: NumberLimit,
): number | undefined {
  return fields[name] === undefined
    ? undefined
    : getNumber(fields, name, limit);
}

/** Reads a boolean; false if the field is absent. */
export function getFlag(fields: Fields, name: string): boolean {
  const value = fields[name] ?? false;
  if (typeof value === "boolean") return value;
  throw new FieldError(name, "a boolean");
}
