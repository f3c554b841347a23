/**
 * Reads INI text into checked sections. Keys are in snake case in the file and
 * in camel case in the result; every fault names its section, key and line.
 */
import { type Static, type TObject, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { Ajv, type ErrorObject } from "ajv";
import { parse } from "ini";
import { Err, Ok, type Result } from "ts-results/result";

/** One thing that is wrong with a settings file. */
export interface SettingFault {
  readonly fileName: string;
  /** Line from 1; of the section where the key itself is missing. */
  readonly line: number;
  /** Empty above the first section. */
  readonly section: string;
  readonly key?: string;
  readonly message: string;
}

/** Options of the reader. */
export interface SectionOptions<S extends TObject> {
  readonly fileName: string;
  /** An object of sections, each an object of values. */
  readonly schema: S;
  /** Values of the keys that the file leaves out, by section. */
  readonly defaults?: Defaults;
  /**
   * Finds what the schema can't say. It's called for faulty values too, so that
   * all faults are listed at once: any value may be of another type.
   */
  readonly findClashes?: (sections: Static<S>) => Clash[];
}

/** A fault of a value that its own schema allows. */
export interface Clash {
  readonly section: string;
  /** Key as it is written in the file. */
  readonly key: string;
  readonly message: string;
}

/** Default values by section and key, in camel case. */
export type Defaults = Readonly<Record<string, Readonly<Values>>>;

type Values = Record<string, unknown>;

interface Line {
  readonly number: number;
  readonly section: string;
  /** Absent on the line that opens a section. */
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

/** Schema of the least severity that is logged. */
export const LogLevelSchema = Type.Union(
  [
    Type.Literal("debug"),
    Type.Literal("info"),
    Type.Literal("warn"),
    Type.Literal("error"),
  ],
  { description: "one of debug, info, warn, error" },
);

/** Reads `text` by `schema`; lists every fault in the order of the lines. */
export function readSections<S extends TObject>(
  text: string,
  { fileName, schema, defaults = {}, findClashes }: SectionOptions<S>,
): Result<Static<S>, SettingFault[]> {
  const lines = parseLines(text);
  const faults = findLineFaults(lines, schema);
  const sections = collectValues(lines, { schema, defaults });
  const typed = toTyped(sections, schema);
  if (!Value.Check(schema, typed)) {
    faults.push(
      ...findValueFaults(sections, schema).map((error) =>
        toFault(error, lines)
      ),
    );
  }
  const clashes = findClashes?.(typed as Static<S>) ?? [];
  faults.push(...clashes.map((clash) => locateClash(clash, lines)));
  if (faults.length === 0) return Ok(typed as Static<S>);
  faults.sort((left, right) => left.line - right.line);
  return Err(faults.map((fault) => ({ fileName, ...fault })));
}

/**
 * Describes what is wrong with values. A schema takes long to compile, so that
 * this is done only for values that are known to be faulty.
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
  return (validate.errors ?? []).filter(isWholeError);
}

/** Turns texts into the numbers and flags that the schema asks for. */
function toTyped(sections: object, schema: TObject): Record<string, unknown> {
  return mapValues(sections, (section, name) => {
    const { properties = {} } = (schema.properties[name] ?? {}) as {
      properties?: Record<string, { type?: string }>;
    };
    return mapValues(
      section as object,
      (value, key) => toType(value, properties[key]?.type),
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

function toType(value: unknown, type: string | undefined): unknown {
  if (typeof value !== "string") return value;
  if (type === "boolean" && value === "true") return true;
  if (type === "boolean" && value === "false") return false;
  const isNumber = type === "number" || type === "integer";
  if (!isNumber || value.trim() === "") return value;
  const number = Number(value);
  return Number.isNaN(number) ? value : number;
}

/** Writes a fault as one line of text. */
export function formatSettingFault(fault: SettingFault): string {
  const place = `${fault.fileName}:${fault.line}: [${fault.section}]`;
  if (fault.key === undefined) return `${place} ${fault.message}`;
  return `${place} ${fault.key} ${fault.message}`;
}

function parseLines(text: string): Line[] {
  const lines: Line[] = [];
  let section = "";
  text.split(/\r?\n/).forEach((line, index) => {
    if (IGNORED_LINE.test(line)) return;
    const number = index + 1;
    const opened = SECTION_LINE.exec(line);
    if (opened !== null) {
      section = (opened[1] ?? "").trim();
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
  lines: readonly Line[],
  schema: TObject,
): Omit<SettingFault, "fileName">[] {
  const seen = new Set<string>();
  const faults: Omit<SettingFault, "fileName">[] = [];
  for (const { number, section, key } of lines) {
    const message = findLineFault({ section, key }, { schema, seen });
    seen.add(lineId(section, key));
    if (message !== undefined) {
      faults.push({ line: number, section, key, message });
    }
  }
  return faults;
}

function findLineFault(
  { section, key }: Pick<Line, "section" | "key">,
  { schema, seen }: { schema: TObject; seen: ReadonlySet<string> },
): string | undefined {
  const properties = getProperties(schema, section);
  if (key === undefined) {
    if (properties === undefined) return "is not a known section";
    if (seen.has(lineId(section))) return "stands twice";
    return undefined;
  }
  // The line that opened an unknown section has been reported.
  if (properties === undefined && section !== "") return undefined;
  if (properties === undefined) return "stands above the first section";
  if (!isKnownKey(key, properties)) return "is not a known key";
  if (seen.has(lineId(section, key))) return "stands twice";
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
  lines: readonly Line[],
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

/** Tells a failed union apart from the failures of its members. */
function isWholeError({ schemaPath }: ErrorObject): boolean {
  return !schemaPath.includes("/anyOf/");
}

function toFault(
  error: ErrorObject,
  lines: readonly Line[],
): Omit<SettingFault, "fileName"> {
  const [, section = "", property] = error.instancePath.split("/");
  if (error.keyword === "required") {
    const key = toSnakeCase(String(error.params.missingProperty));
    const line = findLine(lines, { section }) ?? 1;
    return { line, section, key, message: "is missing" };
  }
  const key = property === undefined ? undefined : toSnakeCase(property);
  const line = findLine(lines, { section, key }) ?? 1;
  return { line, section, key, message: describeError(error) };
}

function locateClash(
  clash: Clash,
  lines: readonly Line[],
): Omit<SettingFault, "fileName"> {
  const { section } = clash;
  const line = findLine(lines, clash) ?? findLine(lines, { section }) ?? 1;
  return { line, ...clash };
}

function describeError({ parentSchema, message }: ErrorObject): string {
  const description: unknown = parentSchema?.description;
  if (typeof description === "string") return `must be ${description}`;
  return message ?? "is not valid";
}

function findLine(
  lines: readonly Line[],
  { section, key }: { section: string; key?: string },
): number | undefined {
  const id = lineId(section, key);
  return lines.findLast((line) => lineId(line.section, line.key) === id)
    ?.number;
}

function lineId(section: string, key?: string): string {
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
