/**
 * Reads fields of documents that others wrote, by name and type.
 */

/** A document that lacks a field, or has one of another type. */
export class FieldFault extends Error {
  constructor(field: string, expected: string) {
    super(`${field} is not ${expected}`);
    this.name = "FieldFault";
  }
}

/** An object with fields of any type. */
export type Fields = Readonly<Record<string, unknown>>;

/** Takes `value` for an object. */
export function asFields(value: unknown, name: string): Fields {
  if (typeof value === "object" && value !== null && !Array.isArray(value)) {
    return value as Fields;
  }
  throw new FieldFault(name, "an object");
}

/** Reads a list. */
export function getList(fields: Fields, name: string): readonly unknown[] {
  const value = fields[name];
  if (Array.isArray(value)) return value;
  throw new FieldFault(name, "a list");
}

/** Reads a text that is not empty. */
export function getText(fields: Fields, name: string): string {
  const value = fields[name];
  if (typeof value === "string" && value !== "") return value;
  throw new FieldFault(name, "a text");
}

/** Reads a finite number of 0 or more. */
export function getNumber(fields: Fields, name: string): number {
  const value = fields[name];
  if (typeof value === "number" && Number.isFinite(value) && value >= 0) {
    return value;
  }
  throw new FieldFault(name, "a number of 0 or more");
}

/** Reads a number of 0 or more, or undefined where the field is absent. */
export function tryNumber(fields: Fields, name: string): number | undefined {
  return fields[name] === undefined ? undefined : getNumber(fields, name);
}

/** Reads a flag; false where the field is absent. */
export function getFlag(fields: Fields, name: string): boolean {
  const value = fields[name] ?? false;
  if (typeof value === "boolean") return value;
  throw new FieldFault(name, "true or false");
}
