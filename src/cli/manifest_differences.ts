/**
 * Finds the differences between two manifests. List elements are matched by
 * name, or by method and path, so a different order is not a difference.
 */
import { isDeepStrictEqual } from "node:util";
import type { Manifest } from "../config/manifest.ts";

/** A difference between two manifests. */
export interface Difference {
  readonly kind: "added" | "removed" | "changed";
  /** Path in the manifest, with list elements identified by name. */
  readonly path: string;
  /** Absent for an added value. */
  readonly before?: unknown;
  /** Absent for a removed value. */
  readonly after?: unknown;
}

type Fields = Readonly<Record<string, unknown>>;

const SECRET_FIELD = "key";
const REDACTED = "(hidden)";
const MARKS = { added: "+", removed: "-", changed: "~" } as const;

/** Returns the differences between two manifests, with the keys redacted. */
export function findDifferences(
  before: Manifest | undefined,
  after: Manifest,
): Difference[] {
  return compareValues(before ?? {}, after, { path: "" });
}

/** Returns a copy of a manifest with redacted workspace keys. */
export function redactKeys(manifest: Manifest): Manifest {
  const workspaces = manifest.workspaces.map((workspace) => ({
    ...workspace,
    key: REDACTED,
  }));
  return { ...manifest, workspaces };
}

/** Formats a difference as one line. */
export function formatDifference(difference: Difference): string {
  const { kind, path, before, after } = difference;
  const line = `${MARKS[kind]} ${path}`;
  if (kind !== "changed") return line;
  return `${line}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

function compareValues(
  before: unknown,
  after: unknown,
  { path }: { path: string },
): Difference[] {
  if (isDeepStrictEqual(before, after)) return [];
  const left = toFields(before);
  const right = toFields(after);
  if (left === undefined || right === undefined) {
    return [{ kind: "changed", path, before, after }];
  }
  const names = new Set([...Object.keys(left), ...Object.keys(right)]);
  return [...names].flatMap((name) =>
    compareField(name, { left, right, path })
  );
}

function compareField(
  name: string,
  { left, right, path }: { left: Fields; right: Fields; path: string },
): Difference[] {
  const fieldPath = `${path}/${name}`;
  const before = left[name];
  const after = right[name];
  if (name === SECRET_FIELD && before !== after) {
    return [{
      kind: "changed",
      path: fieldPath,
      before: REDACTED,
      after: REDACTED,
    }];
  }
  if (before === undefined) {
    return [{ kind: "added", path: fieldPath, after: redactFields(after) }];
  }
  if (after === undefined) {
    return [{ kind: "removed", path: fieldPath, before: redactFields(before) }];
  }
  return compareValues(before, after, { path: fieldPath });
}

/**
 * Returns the fields of an object, or the elements of a list by name; undefined
 * for any other value.
 */
function toFields(value: unknown): Fields | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  if (!Array.isArray(value)) return value as Fields;
  return Object.fromEntries(
    value.map((element: unknown) => [getElementName(element), element]),
  );
}

function getElementName(element: unknown): string {
  if (typeof element !== "object" || element === null) return String(element);
  const { name, method, path } = element as Record<string, string>;
  return name ?? `${method} ${path}`;
}

function redactFields(value: unknown): unknown {
  if (typeof value !== "object" || value === null) return value;
  if (Array.isArray(value)) return value.map(redactFields);
  return Object.fromEntries(
    Object.entries(value).map((
      [name, field],
    ) => [name, name === SECRET_FIELD ? REDACTED : redactFields(field)]),
  );
}
