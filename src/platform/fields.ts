/**
 * Reads typed fields of untrusted JSON documents. The functions throw
 * `FieldError` if a value is missing or malformed.
 */

/** A field of a document is missing or not of the expected type or range. */
export class FieldError extends Error {
  constructor(field: string, expected: string) {
    super(`${field} is not ${expected}`);
    this.name = "FieldError";
  }
}

/** A JSON object whose fields are not checked yet. */
export type Fields = Readonly<Record<string, unknown>>;

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

/** Reads a non-empty string. */
export function getString(fields: Fields, name: string): string {
  const value = fields[name];
  if (typeof value === "string" && value !== "") return value;
  throw new FieldError(name, "a non-empty string");
}

/** Reads a finite number that is 0 or greater. */
export function getNumber(fields: Fields, name: string): number {
  const value = fields[name];
  if (typeof value === "number" && Number.isFinite(value) && value >= 0) {
    return value;
  }
  throw new FieldError(name, "a finite number of 0 or greater");
}

/** Reads a number like `getNumber`; undefined if the field is absent. */
export function tryNumber(fields: Fields, name: string): number | undefined {
  return fields[name] === undefined ? undefined : getNumber(fields, name);
}

/** Reads a boolean; false if the field is absent. */
export function getFlag(fields: Fields, name: string): boolean {
  const value = fields[name] ?? false;
  if (typeof value === "boolean") return value;
  throw new FieldError(name, "a boolean");
}
