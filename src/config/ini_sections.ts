/**
 * Reads INI text into validated sections. Keys are in snake case in the file
 * and in camel case in the result; every fault names its section, key and line.
 */
import { type Static, type TObject, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Ajv, type ErrorObject } from "ajv";
import { parse } from "ini";
import { Err, Ok, type Result } from "ts-results/result";

/** One error in a settings file. */
export interface SettingFault {
  readonly fileName: string;
  /** Line number from 1; the section header's if the key is missing. */
  readonly line: number;
  /** Name of the section; empty before the first section header. */
  readonly section: string;
  readonly key?: string;
  readonly message: string;
}

/** Options of `readSections`. */
export interface SectionOptions<S extends TObject> {
  readonly fileName: string;
  /** An object of sections, each an object of values. */
  readonly schema: S;
  /** Values of keys that are missing from the file, by section. */
  readonly defaults?: Defaults;
  /**
   * Finds faults that the schema can't express. It is also called if values
   * don't match the schema, so that all faults are reported at once: any value
   * may have another type than declared.
   */
  readonly findConflicts?: (sections: Static<S>) => SettingConflict[];
}

/** A fault that the schema can't express, as of two keys that conflict. */
export interface SettingConflict {
  readonly section: string;
  /** Key as written in the file, in snake case. */
  readonly key: string;
  readonly message: string;
}

/** Default values by section and key, in camel case. */
export type Defaults = Readonly<Record<string, Readonly<Values>>>;

type Values = Record<string, unknown>;

interface ParsedLine {
  readonly number: number;
  readonly section: string;
  /** Absent on a section header. */
  readonly key?: string;
  readonly value?: string;
}

const ADDRESS_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
const ADDRESS_PORT =
  "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[0-9]{1,4})";
const SECTION_LINE = /^\s*\[(.*)\]\s*$/;
const IGNORED_LINE = /^\s*([;#].*)?$/;
const KEY_PATTERN = /^[a-z][a-z0-9_]*$/;

/** Schema of an address, `ip:port`. */
export const AddressSchema = Type.String({
  pattern: `^${ADDRESS_OCTET}(\\.${ADDRESS_OCTET}){3}:${ADDRESS_PORT}$`,
  description: "an address, ip:port",
});

/** Schema of the minimum severity that is logged. */
export const LogLevelSchema = Type.Union(
  [
    Type.Literal("debug"),
    Type.Literal("info"),
    Type.Literal("warn"),
    Type.Literal("error"),
  ],
  { description: "one of debug, info, warn, error" },
);

/** Reads `text` by `schema`; on failure, returns all faults in line order. */
export function readSections<S extends TObject>(
  text: string,
  { fileName, schema, defaults = {}, findConflicts }: SectionOptions<S>,
): Result<Static<S>, SettingFault[]> {
  const lines = parseLines(text);
  const faults = findLineFaults(lines, schema);
  const sections = collectValues(lines, { schema, defaults });
  const typed = coerceSections(sections, schema);
  if (!Value.Check(schema, typed)) {
    faults.push(
      ...findValueFaults(sections, schema).map((error) =>
        toFault(error, lines)
      ),
    );
  }
  const conflicts = findConflicts?.(typed as Static<S>) ?? [];
  faults.push(...conflicts.map((clash) => locateConflict(clash, lines)));
  if (faults.length === 0) return Ok(typed as Static<S>);
  faults.sort((left, right) => left.line - right.line);
  return Err(faults.map((fault) => ({ fileName, ...fault })));
}

/**
 * Returns the schema errors of the sections. Compiling a schema is slow, so
 * this is called only for values that are known to be invalid.
 */
function findValueFaults(sections: unknown, schema: TObject): ErrorObject[] {
  const validate = new Ajv({
    allErrors: true,
    coerceTypes: true,
    verbose: true,
    validateSchema: false,
    meta: false,
  }).compile(schema);
  validate(sections);
  return (validate.errors ?? []).filter(isOutsideUnion);
}

/** Converts strings to the numbers and booleans that the schema requires. */
function coerceSections(
  sections: object,
  schema: TObject,
): Record<string, unknown> {
  return mapValues(sections, (section, name) => {
    const { properties = {} } = (schema.properties[name] ?? {}) as {
      properties?: Record<string, { type?: string }>;
    };
    return mapValues(
      section as object,
      (value, key) => coerceValue(value, properties[key]?.type),
    );
  });
}

function mapValues(
  fields: object,
  map: (value: unknown, name: string) => unknown,
): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [name, map(value, name)]),
  );
}

function coerceValue(value: unknown, type: string | undefined): unknown {
  if (typeof value !== "string") return value;
  if (type === "boolean" && value === "true") return true;
  if (type === "boolean" && value === "false") return false;
  const isNumber = type === "number" || type === "integer";
  if (!isNumber || value.trim() === "") return value;
  const number = Number(value);
  return Number.isNaN(number) ? value : number;
}

/** Formats a fault as one line of text. */
export function formatSettingFault(fault: SettingFault): string {
  const place = `${fault.fileName}:${fault.line}: [${fault.section}]`;
  if (fault.key === undefined) return `${place} ${fault.message}`;
  return `${place} ${fault.key} ${fault.message}`;
}

function parseLines(text: string): ParsedLine[] {
  const lines: ParsedLine[] = [];
  let section = "";
  text.split(/\r?\n/).forEach((line, index) => {
    if (IGNORED_LINE.test(line)) return;
    const number = index + 1;
    const sectionMatch = SECTION_LINE.exec(line);
    if (sectionMatch !== null) {
      section = (sectionMatch[1] ?? "").trim();
      lines.push({ number, section });
      return;
    }
    const [pair] = Object.entries(parse(line, { bracketedArray: false }));
    const [key, value] = pair ?? [line.split("=")[0]!.trim(), ""];
    lines.push({ number, section, key, value: String(value) });
  });
  return lines;
}

function findLineFaults(
  lines: readonly ParsedLine[],
  schema: TObject,
): Omit<SettingFault, "fileName">[] {
  const seen = new Set<string>();
  const faults: Omit<SettingFault, "fileName">[] = [];
  for (const { number, section, key } of lines) {
    const message = findLineFault({ section, key }, { schema, seen });
    seen.add(createLineKey(section, key));
    if (message !== undefined) {
      faults.push({ line: number, section, key, message });
    }
  }
  return faults;
}

function findLineFault(
  { section, key }: Pick<ParsedLine, "section" | "key">,
  { schema, seen }: { schema: TObject; seen: ReadonlySet<string> },
): string | undefined {
  const properties = getProperties(schema, section);
  if (key === undefined) {
    if (properties === undefined) return "is not a known section";
    if (seen.has(createLineKey(section))) return "stands twice";
    return undefined;
  }
  // The header of an unknown section has already been reported.
  if (properties === undefined && section !== "") return undefined;
  if (properties === undefined) return "stands above the first section";
  if (!isKnownKey(key, properties)) return "is not a known key";
  if (seen.has(createLineKey(section, key))) return "stands twice";
  return undefined;
}

function isKnownKey(key: string, properties: Values): boolean {
  return KEY_PATTERN.test(key) && Object.hasOwn(properties, toCamelCase(key));
}

function getProperties(schema: TObject, section: string): Values | undefined {
  if (!Object.hasOwn(schema.properties, section)) return undefined;
  return schema.properties[section]?.properties as Values | undefined;
}

function collectValues(
  lines: readonly ParsedLine[],
  { schema, defaults }: { schema: TObject; defaults: Defaults },
): Record<string, Values> {
  const sections: Record<string, Values> = {};
  for (const section of Object.keys(schema.properties)) {
    sections[section] = structuredClone(defaults[section] ?? {});
  }
  for (const { section, key, value } of lines) {
    const properties = getProperties(schema, section);
    if (key === undefined || properties === undefined) continue;
    if (!isKnownKey(key, properties)) continue;
    const name = toCamelCase(key);
    const isList = (properties[name] as { type?: string }).type === "array";
    sections[section]![name] = isList ? splitList(value ?? "") : value;
  }
  return sections;
}

function splitList(value: string): string[] {
  if (value.trim() === "") return [];
  return value.split(",").map((part) => part.trim());
}

/** Excludes errors of single union members; the union has its own error. */
function isOutsideUnion({ schemaPath }: ErrorObject): boolean {
  return !schemaPath.includes("/anyOf/");
}

function toFault(
  error: ErrorObject,
  lines: readonly ParsedLine[],
): Omit<SettingFault, "fileName"> {
  const [, section = "", property] = error.instancePath.split("/");
  if (error.keyword === "required") {
    const key = toSnakeCase(String(error.params.missingProperty));
    const line = findLineNumber(lines, { section }) ?? 1;
    return { line, section, key, message: "is missing" };
  }
  const key = property === undefined ? undefined : toSnakeCase(property);
  const line = findLineNumber(lines, { section, key }) ?? 1;
  return { line, section, key, message: describeError(error) };
}

function locateConflict(
  conflict: SettingConflict,
  lines: readonly ParsedLine[],
): Omit<SettingFault, "fileName"> {
  const { section } = conflict;
  const line = findLineNumber(lines, conflict) ??
    findLineNumber(lines, { section }) ?? 1;
  return { line, ...conflict };
}

function describeError({ parentSchema, message }: ErrorObject): string {
  const description: unknown = parentSchema?.description;
  if (typeof description === "string") return `must be ${description}`;
  return message ?? "is not valid";
}

function findLineNumber(
  lines: readonly ParsedLine[],
  { section, key }: { section: string; key?: string },
): number | undefined {
  const id = createLineKey(section, key);
  return lines.findLast((line) => createLineKey(line.section, line.key) === id)
    ?.number;
}

function createLineKey(section: string, key?: string): string {
  return key === undefined ? `[${section}]` : `[${section}]${key}`;
}

function toCamelCase(key: string): string {
  return key.replaceAll(
    /_([a-z0-9])/g,
    (_, letter: string) => letter.toUpperCase(),
  );
}

function toSnakeCase(name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
